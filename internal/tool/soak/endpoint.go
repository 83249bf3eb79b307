package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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
	// The kinds of requests, which are the first segments of their paths.
	kindOnce, kindSafe, kindStream = "once", "safe", "stream"
	// streamEvents is the number of events of a stream, and eventPause the time
	// between two of them.
	streamEvents = 20
	eventPause   = 25 * time.Millisecond
	// maxPlainTime bounds the time that a plain call takes. It is long enough
	// that calls are in flight when a fault hits an endpoint.
	maxPlainTime = 250 * time.Millisecond
	// crashTime is the time after which a request crashes its endpoint, and
	// crashRestartTime the time after which the endpoint starts again.
	crashTime        = 30 * time.Millisecond
	crashRestartTime = 3 * time.Second
	slots            = 16
	service          = "pool"
	host             = "h"
)

// endpoint is a stand-in for one endpoint across its restarts.
type endpoint struct {
	number  int
	proxy   *disruption.Proxy
	checker *Checker
	dialect Dialect
	// checkRun is called for every run. leavingSince is when the endpoint
	// announced that it leaves, or zero.
	checkRun func(e *endpoint, instance string, leavingSince time.Time, req *sentRequest)
	// crashed is called when a request has crashed the endpoint.
	crashed func(e *endpoint, req *sentRequest)
	// steadySince reports whether a router has been free of faults since an instant.
	steadySince func(router int, at time.Time) bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	current   *instance
	failing   bool
	instances int
	// linkFaults is the number of faults of the connections to the endpoint at
	// present, and linkFaultEnd when the last one ended.
	linkFaults   int
	linkFaultEnd time.Time
	// linkReset is when the connections to the endpoint were last reset.
	linkReset time.Time
	random    *rand.Rand
}

// instance is one instance of an endpoint, from a start to the next stop.
type instance struct {
	id     string
	server *http.Server
	// leavingSince is when the endpoint announced that it leaves, or zero. It is
	// guarded by the endpoint's mu.
	leavingSince time.Time
	// pauses are the times that the instance has asked each router for. They are
	// guarded by the endpoint's mu.
	pauses map[int][]pausePeriod
}

func newEndpoint(number int, s *Soak) (*endpoint, error) {
	p, err := disruption.NewProxy(netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		number: number, proxy: p, dialect: s.options.Dialect, checker: s.Checker, checkRun: s.checkRun, crashed: s.recordCrash, steadySince: s.steadySince,
		random: rand.New(rand.NewPCG(s.options.Seed, uint64(number)+endpointStream)),
	}
	return e, e.startInstance()
}

// startInstance starts a new instance of the endpoint under a new id.
func (e *endpoint) startInstance() error {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start endpoint %d: %w", e.number, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.instances++
	s := &instance{id: fmt.Sprintf("e%d-%d", e.number, e.instances), pauses: map[int][]pausePeriod{}}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(s, w, r) }), ReadHeaderTimeout: time.Minute}
	e.current = s
	e.proxy.Retarget(netip.MustParseAddrPort(l.Addr().String()))
	go func() { _ = s.server.Serve(l) }() // Serve always returns an error; after Close it is ErrServerClosed.
	return e.proxy.Resume()
}

// stopInstance stops the current instance at once.
func (e *endpoint) stopInstance() {
	e.mu.Lock()
	s := e.current
	e.current = nil
	e.mu.Unlock()
	if s != nil {
		// A connection that is opened after the first one has broken is refused.
		e.proxy.Suspend()
		_ = s.server.Close()
	}
}

// running reports whether the endpoint runs.
func (e *endpoint) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current != nil
}

// setLeaving marks the current instance as leaving since the given time.
func (e *endpoint) setLeaving(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		e.current.leavingSince = now
	}
}

// linkFaultBegins records a fault of the connections to the endpoint.
func (e *endpoint) linkFaultBegins() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.linkFaults++
}

// linkFaultEnds records that such a fault has ended.
func (e *endpoint) linkFaultEnds(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.linkFaults--
	e.linkFaultEnd = later(e.linkFaultEnd, now)
}

// resetLinks resets the connections to the endpoint.
func (e *endpoint) resetLinks(now time.Time) {
	e.mu.Lock()
	e.linkReset = now
	e.mu.Unlock()
	e.proxy.Reset()
}

// linkDisturbedSince reports whether requests may have been held up on their way to
// the endpoint after the instant.
func (e *endpoint) linkDisturbedSince(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.linkFaults > 0 || e.linkFaultEnd.After(at)
}

func (e *endpoint) setFailing(failing bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failing = failing
}

// entry returns the key and the value of the endpoint's entry in the store. It
// returns false while the endpoint is down.
func (e *endpoint) entry() (key, value string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return "", "", false
	}
	return e.current.id, e.dialect.Entry(&EndpointEntry{
		Service: service, FailureDomain: failureDomain(e.number), Address: e.proxy.Address, Slots: slots,
		Leaving: !e.current.leavingSince.IsZero(), Sequence: time.Now().UnixMilli(),
	}), true
}

// failureDomain returns the failure domain of the router or endpoint with the
// given number.
func failureDomain(number int) string { return fmt.Sprint("z", number%2) }

func (e *endpoint) serve(s *instance, w http.ResponseWriter, r *http.Request) {
	names := e.dialect.HeaderNames()
	id := r.Header.Get(names.ID)
	w.Header().Set(names.ID, id)
	if wanted := r.Header.Get(names.Instance); wanted != s.id {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.leaving(s) {
		w.Header().Set(names.Leaving, "1")
	}
	if e.dialect.AsksInstance(r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The router has closed the connection; nothing runs.
	}
	if e.turnsAway(s, w, e.checker.request(id)) {
		return
	}
	req := e.checker.recordRun(time.Now(), s.id, id, r, string(body))
	if req == nil {
		return
	}
	e.mu.Lock()
	leavingSince := s.leavingSince
	e.mu.Unlock()
	e.checkRun(e, s.id, leavingSince, req)
	if req.Cause != "" {
		time.Sleep(crashTime)
		e.crashed(e, req)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Stamp, s.id)
	if req.Kind == kindStream {
		writeStream(w, r, req, r.Header.Get(names.LastEvent))
		return
	}
	time.Sleep(maxPlainTime * time.Duration(len(body)%10) / 10)
	e.mu.Lock()
	failing := e.failing
	e.mu.Unlock()
	if failing {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := expectedAnswer(req)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // The router may have closed the connection.
}

// writeStream sends the events that follow lastEvent, the last one that the
// router has received.
func writeStream(w http.ResponseWriter, r *http.Request, req *sentRequest, lastEvent string) {
	first := 1
	if last, err := strconv.Atoi(lastEvent); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first; n <= streamEvents; n++ {
		if _, err := io.WriteString(w, event(req, n)); err != nil {
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

func event(req *sentRequest, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, req.ID, n)
}

// expectedAnswer returns the answer that a caller must get. It depends on the
// request alone.
func expectedAnswer(req *sentRequest) string {
	if req.Kind != kindStream {
		return "answer to " + req.ID + " " + strings.Repeat(req.ID[len(req.ID)-1:], 600)
	}
	var all strings.Builder
	for n := 1; n <= streamEvents; n++ {
		all.WriteString(event(req, n))
	}
	return all.String()
}
