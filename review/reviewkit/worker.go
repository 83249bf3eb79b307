package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hyssopreach/platform/contract"
)

// poisonPart is the part of a path that crashes the worker.
const poisonPart = "poison"

// workerOptions describe a worker process.
type workerOptions struct {
	ID, Address string
	// Unframed is the share of its streams that the worker sends with neither a length nor
	// chunks: they end with their connection.
	Unframed float64
	// PauseAt and PauseMillis make the worker silent for a while in each stream, before
	// the event with the number PauseAt.
	PauseAt, PauseMillis int
}

// worker is a stand-in for one model worker. It writes one line to standard output for each
// request that it begins to run.
type worker struct {
	options workerOptions
	out     sync.Mutex
}

// runWorker serves until the process ends.
func runWorker(description string) error {
	w := &worker{}
	if err := json.Unmarshal([]byte(description), &w.options); err != nil {
		return fmt.Errorf("read the description of a worker: %w", err)
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", w.options.Address)
	if err != nil {
		return fmt.Errorf("start worker %s: %w", w.options.ID, err)
	}
	s := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	return s.Serve(l)
}

// ServeHTTP answers a request as the path asks: "/KIND/EVENTS/STEP/..." is answered with
// EVENTS events, one every STEP milliseconds.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(contract.HeaderAttempt)
	rw.Header().Set(contract.HeaderAttempt, id)
	if r.Header.Get(contract.HeaderInstance) != w.options.ID {
		rw.Header().Set(contract.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.out.Lock()
	_, _ = fmt.Fprintf(os.Stdout, "%s run %s %s %s\n", time.Now().Format(stampFormat), w.options.ID, id, r.RequestURI)
	w.out.Unlock()
	if strings.Contains(r.URL.Path, poisonPart) {
		// The request crashes the process that runs it.
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	events, step := plan(r.URL.Path)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get(contract.HeaderLastEvent)); err == nil {
		first = last + 1
	}
	if rand.Float64() < w.options.Unframed {
		w.writeUnframed(r.Context(), rw, id, first, events, step)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(contract.HeaderStamp, stamp(w.options.ID, id, events))
	for n := first; n <= events; n++ {
		w.pauseBefore(r.Context(), n, step)
		if _, err := io.WriteString(rw, event(id, n)); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}

// pauseBefore waits until the event is due.
func (w *worker) pauseBefore(ctx context.Context, n int, step time.Duration) {
	if n == w.options.PauseAt {
		step += time.Duration(w.options.PauseMillis) * time.Millisecond
	}
	select {
	case <-ctx.Done():
	case <-time.After(step):
	}
}

// writeUnframed sends a stream that ends with its connection.
func (w *worker) writeUnframed(ctx context.Context, rw http.ResponseWriter, id string, first, events int, step time.Duration) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n%s: %s\r\n%s: %s\r\n\r\n",
		contract.HeaderAttempt, id, contract.HeaderStamp, stamp(w.options.ID, id, events))
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	for n := first; n <= events; n++ {
		w.pauseBefore(ctx, n, step)
		if _, err := io.WriteString(conn, event(id, n)); err != nil {
			return
		}
	}
}

// plan returns the number of events that a path asks for, and the time of each.
func plan(path string) (events int, step time.Duration) {
	parts := strings.Split(path, "/")
	if len(parts) < 4 {
		return 1, 0
	}
	events, _ = strconv.Atoi(parts[2])
	millis, _ := strconv.Atoi(parts[3])
	return events, time.Duration(millis) * time.Millisecond
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n) }

// whole returns the whole body of an answer.
func whole(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// stamp names the worker and the digest of the whole body.
func stamp(worker, id string, events int) string { return worker + "." + digest(whole(id, events)) }

func digest(body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body)
	return strconv.FormatUint(h.Sum64(), 16)
}
