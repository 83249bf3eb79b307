package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssopreach/internal/tool/disruption"
)

const (
	// The kinds of requests, which are the first parts of their paths.
	kindOnce, kindSafe, kindStream = "once", "safe", "stream"
	// streamEvents and eventPause shape a stream.
	streamEvents = 20
	eventPause   = 25 * time.Millisecond
	// plainTime is the longest time that a plain call works; there must be
	// calls under way when an endpoint is broken.
	plainTime = 250 * time.Millisecond
	slots     = 16
	service   = "pool"
	host      = "h"
)

// endpoint stands in for one endpoint over its starts.
type endpoint struct {
	number int
	proxy  *disruption.Proxy
	ledger *Ledger
	speak  Dialect
	// judge is told of every run, and since when its endpoint has been leaving.
	judge func(endpoint string, draining time.Time, a *ask)

	mu sync.Mutex
	// The fields below are guarded by mu.
	current *start
	failing bool
	starts  int
}

// start is one start of an endpoint.
type start struct {
	id     string
	server *http.Server
	// draining is when the store acknowledged that it leaves; zero if it
	// doesn't. Guarded by the endpoint's mu.
	draining time.Time
}

func newEndpoint(number int, speak Dialect, l *Ledger, judge func(string, time.Time, *ask)) (*endpoint, error) {
	p, err := disruption.NewProxy(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	e := &endpoint{number: number, proxy: p, speak: speak, ledger: l, judge: judge}
	return e, e.begin()
}

// begin starts the endpoint anew under a new name.
func (e *endpoint) begin() error {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start endpoint %d: %w", e.number, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	s := &start{id: fmt.Sprintf("e%d-%d", e.number, e.starts)}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(s, w, r) }), ReadHeaderTimeout: time.Minute}
	e.current = s
	e.proxy.Retarget(netip.MustParseAddrPort(l.Addr().String()))
	go func() { _ = s.server.Serve(l) }() // It always ends with an error, ErrServerClosed.
	return nil
}

// end ends the current start at once.
func (e *endpoint) end() {
	e.mu.Lock()
	s := e.current
	e.current = nil
	e.mu.Unlock()
	if s != nil {
		_ = s.server.Close()
	}
}

// drain says that the current start will leave.
func (e *endpoint) drain(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		e.current.draining = now
	}
}

func (e *endpoint) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// entry is what the endpoint writes of itself; false while it is down.
func (e *endpoint) entry() (key, value string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return "", "", false
	}
	return e.current.id, e.speak.Entry(&Entry{
		Service: service, FailureDomain: domain(e.number), Address: e.proxy.Address, Slots: slots,
		Leaving: !e.current.draining.IsZero(), Sequence: time.Now().UnixMilli(),
	}), true
}

// domain is the FailureDomain of the router or endpoint of a number.
func domain(number int) string { return fmt.Sprint("z", number%2) }

func (e *endpoint) serve(s *start, w http.ResponseWriter, r *http.Request) {
	names := e.speak.Names()
	id := r.Header.Get(names.ID)
	w.Header().Set(names.ID, id)
	if wanted := r.Header.Get(names.Instance); wanted != s.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The router has gone; nothing runs.
	}
	a := e.ledger.ran(time.Now(), s.id, id, r, string(body))
	if a == nil {
		return
	}
	e.mu.Lock()
	draining := s.draining
	e.mu.Unlock()
	e.judge(s.id, draining, a)
	w.Header().Set(names.Stamp, s.id)
	if a.Kind == kindStream {
		stream(w, r, a, r.Header.Get(names.LastEvent))
		return
	}
	time.Sleep(plainTime * time.Duration(len(body)%10) / 10)
	e.mu.Lock()
	failing := e.failing
	e.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := wholeAnswer(a)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // The router may have gone.
}

// stream sends the events after the one that the router says it has.
func stream(w http.ResponseWriter, r *http.Request, a *ask, lastEvent string) {
	first := 1
	if last, err := strconv.Atoi(lastEvent); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= streamEvents; n++ {
		if _, err := io.WriteString(w, event(a, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func event(a *ask, n int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, a.ID, n) }

// wholeAnswer is what a caller must get, a function of the request alone.
func wholeAnswer(a *ask) string {
	if a.Kind != kindStream {
		return "answer to " + a.ID + " " + strings.Repeat(a.ID[len(a.ID)-1:], 600)
	}
	var all strings.Builder
	for n := 1; n <= streamEvents; n++ {
		all.WriteString(event(a, n))
	}
	return all.String()
}
