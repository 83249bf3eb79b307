package main

import (
	"context"
	_ "embed" // for the entry
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssopreach/platform/contract"
)

// endpoint is a stand-in for a worker of a plain service: it runs up to slots requests at
// once, queues a few more, and turns others away with the statement that it has not run
// them.
type endpoint struct {
	id, service string
	slots       int
	work        time.Duration
	address     netip.AddrPort
	server      *http.Server
	record      *record
	free        chan struct{}
	stop        context.CancelFunc

	mu sync.Mutex
	// The fields below are guarded by mu.
	// runs are the instants at which requests began to run, by their IDs.
	runs map[string][]time.Time
}

// queueLength is the number of requests that wait for a slot at an endpoint.
const queueLength = 24

// startEndpoint starts a worker that lists itself in the store.
func (s *stage) startEndpoint(service string, slots int, work time.Duration) (*endpoint, error) {
	l, address, err := listen(context.Background())
	if err != nil {
		return nil, fmt.Errorf("start an endpoint: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &endpoint{
		id: fmt.Sprint("i-", service, "-", len(s.endpoints)+1), service: service, slots: slots, work: work, address: address,
		record: s.record, free: make(chan struct{}, slots+queueLength), stop: stop, runs: map[string][]time.Time{},
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, IdleTimeout: 5 * time.Second}
	go serve(e.server, l)
	s.store.setEntry(e.id, e.entry(contract.StateReady, 1))
	go e.list(ctx, s.store)
	s.endpoints = append(s.endpoints, e)
	return e, nil
}

// list renews the entry.
func (e *endpoint) list(ctx context.Context, to *store) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			to.setEntry(e.id, e.entry(contract.StateReady, sequence))
		}
	}
}

// entryTemplate is the entry of an endpoint in the store.
//
//go:embed entry.json
var entryTemplate string

// entry returns the entry of the endpoint.
func (e *endpoint) entry(state string, sequence int) string {
	return strings.NewReplacer(
		"SERVICE", e.service, "ADDRESS", e.address.String(), "SLOTS", strconv.Itoa(e.slots), "STATE", state, "SEQUENCE", strconv.Itoa(sequence),
	).Replace(entryTemplate)
}

func (e *endpoint) close() {
	e.stop()
	_ = e.server.Close()
}

// ran returns the instants at which the request began to run here.
func (e *endpoint) ran(id string) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// ServeHTTP runs a request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(contract.HeaderAttempt)
	w.Header().Set(contract.HeaderInstanceName, e.id)
	if wanted := r.Header.Get(contract.HeaderInstance); wanted != "" && wanted != e.id {
		w.Header().Set(contract.HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		// A liveness check.
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set(contract.HeaderAttempt, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.free <- struct{}{}:
		defer func() { <-e.free }()
	default:
		w.Header().Set(contract.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], time.Now())
	e.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		writeStream(w, r, id)
		return
	}
	timer := time.NewTimer(e.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	body := []byte("done " + id + "\n")
	w.Header().Set(contract.HeaderStamp, "s."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // an error means that the router has disconnected
}

// A stream has minEvents to maxEvents events, with eventPause between them.
const (
	minEvents, maxEvents = 20, 50
	eventPause           = 250 * time.Millisecond
)

// writeStream answers with a stream of events.
func writeStream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(contract.HeaderStamp, "s."+id)
	controller := http.NewResponseController(w)
	ticker := time.NewTicker(eventPause)
	defer ticker.Stop()
	for i := range minEvents + rand.IntN(maxEvents-minEvents) {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, id); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}
