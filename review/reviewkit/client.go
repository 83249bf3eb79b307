package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/platform/contract"
)

// request is what a client sends.
type request struct {
	kind, key    string
	events, step int
	deadline     time.Duration
	// path is used in place of one that holds the kind and the ID; empty for none.
	path string
}

// parts describes the prompt: a part that other requests share, and one of its own. The
// prompt of a request that comes again is the same each time.
func (q *request) parts(id string) string {
	if q.path != "" {
		return "77:200,78:400"
	}
	return fmt.Sprintf("%x:200,%s:400", rand.IntN(40)+1, id[:8])
}

// outcome is what a client saw.
type outcome struct {
	id, path, worker string
	status           int
	// complete is set if the answer ended as complete, and events is the number of
	// events that it held.
	complete bool
	events   int
	body     string
	err      error
}

// load is a steady number of clients' requests.
type load struct {
	fleet  *fleet
	fronts []netip.AddrPort
	sent   atomic.Int64
	served atomic.Int64
	wait   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome // guarded by mu
}

// send sends one request and records what the client saw.
func (l *load) send(ctx context.Context, q request) outcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	o := outcome{id: id, path: fmt.Sprintf("/%s/%d/%d/%s", q.kind, q.events, q.step, id)}
	if q.path != "" {
		o.path = q.path
	}
	front := l.fronts[rand.IntN(len(l.fronts))]
	l.fleet.record.addf("sent %s %s to %s", id, o.path, front)
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	l.exchange(ctx, front, &q, &o)
	l.fleet.record.addf("answer %s status=%d worker=%s complete=%t events=%d err=%v", id, o.status, o.worker, o.complete, o.events, o.err)
	l.mu.Lock()
	l.outcomes = append(l.outcomes, o)
	l.mu.Unlock()
	return o
}

func (l *load) exchange(ctx context.Context, front netip.AddrPort, q *request, o *outcome) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.String(), strings.NewReader(strings.Repeat("x", 600)))
	if err != nil {
		o.err = err
		return
	}
	// The path is sent as it stands, without another encoding.
	r.URL.Opaque, r.Host = o.path, "desk.example"
	r.Header.Set(contract.HeaderAttempt, o.id)
	r.Header.Set(contract.HeaderDeadline, strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set(contract.HeaderKey, q.key)
		r.Header.Set("Model", "m")
		r.Header.Set(contract.HeaderTokenCounts, fmt.Sprintf("600,%d", 5*q.events))
		r.Header.Set(contract.HeaderPromptParts, q.parts(o.id))
	}
	response, err := l.fleet.client.Do(r)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	o.worker = response.Header.Get(contract.HeaderStamp)
	body, err := io.ReadAll(response.Body)
	o.body, o.err, o.complete = string(body), err, err == nil
	o.events = strings.Count(o.body, "\n\n")
	if o.status == http.StatusOK && o.complete {
		l.served.Add(1)
	}
}

// run sends requests at the given rate until the context ends; next describes each of
// them. It waits for none of the answers.
func (l *load) run(ctx context.Context, perSecond float64, next func() request) {
	begun := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		l.sent.Add(1)
		l.wait.Go(func() { l.send(context.WithoutCancel(ctx), next()) })
	}
}

// falselyComplete returns the successes whose body is not the whole body of the worker.
func (l *load) falselyComplete() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wrong []outcome
	for _, o := range l.outcomes {
		_, sum, _ := strings.Cut(o.worker, ".")
		if o.status == http.StatusOK && o.complete && digest(o.body) != sum {
			wrong = append(wrong, o)
		}
	}
	return wrong
}
