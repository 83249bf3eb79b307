package router

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/protocol/caller"
)

const (
	// partCrashCount is the number of crashes after which a part must be known, and
	// partCrashRuns the number of its runs that may begin later than partCrashGrace
	// after them. Other requests are judged from twice that time on.
	partCrashCount, partCrashRuns = 5, 3
	partCrashGrace                = 3 * time.Second
)

// partLoad sends requests with a part that crashes endpoints, no two of them alike,
// beside others that crash nothing, through the routers of a fleet.
type partLoad struct {
	fleet *crashFleet
	// crashing is the beginning of the bodies of the requests with the part.
	crashing string
	// part is the one that crashes endpoints.
	part     uint64
	senders  sync.WaitGroup
	stopped  chan struct{}
	lastPart atomic.Uint64

	mu      sync.Mutex
	routers []*Hosted   // guarded by mu
	runs    []time.Time // guarded by mu; of the requests with the part
	sound   []soundSend // guarded by mu
}

// soundSend is a request that crashes nothing.
type soundSend struct {
	at     time.Time
	served bool
}

// startPartLoad starts a fleet as the operators' and the load in front of it.
func startPartLoad(t *testing.T, crashing string) *partLoad {
	l := &partLoad{crashing: crashing, stopped: make(chan struct{})}
	l.fleet = startCrashFleetWith(t, crashOptions{routers: 4, endpoints: 8, slots: 16, downFor: 3 * time.Second, ran: l.ran})
	l.routers = append(l.routers, l.fleet.routers...)
	for _, organisation := range []string{"same", "other"} {
		l.start(time.Second/90, func(n int) {
			path := []string{"/stream/a", "/safe/a"}[n%2]
			at := time.Now()
			served := l.send(n, organisation, path, fmt.Sprint("sound ", organisation, n), l.newPart()) == nil
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sound = append(l.sound, soundSend{at, served})
		})
	}
	t.Cleanup(l.stop)
	return l
}

// startCrashing starts the requests with the part, copies at once each time.
func (l *partLoad) startCrashing(copies int) {
	l.part = l.newPart()
	l.start(time.Second/5, func(n int) {
		for i := range copies {
			l.senders.Go(func() { _ = l.send(n+i, "same", "/stream/x", fmt.Sprint(l.crashing, n, "-", i), l.part) })
		}
	})
}

// start calls send in a goroutine of its own at each interval.
func (l *partLoad) start(interval time.Duration, send func(n int)) {
	l.senders.Go(func() {
		ticks := time.NewTicker(interval)
		defer ticks.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stopped:
				return
			case <-ticks.C:
				l.senders.Go(func() { send(n) })
			}
		}
	})
}

func (l *partLoad) stop() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	l.senders.Wait()
}

func (l *partLoad) newPart() uint64 { return 1000 + l.lastPart.Add(1) }

// send sends a request whose prompt has three parts: one that all requests of the
// organisation share, the given one, and one of its own. It returns why the request was
// not served.
func (l *partLoad) send(n int, organisation, path, body string, second uint64) error {
	l.mu.Lock()
	core := l.routers[n%len(l.routers)].core
	l.mu.Unlock()
	return l.fleet.run(core, organisation, path, body, []schedule.PromptPart{
		{ID: uint64(len(organisation)), Tokens: 100}, {ID: second, Tokens: 100}, {ID: l.newPart(), Tokens: 100},
	})
}

func (l *partLoad) ran(body string) {
	if strings.HasPrefix(body, l.crashing) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.runs = append(l.runs, time.Now())
	}
}

// restartRouter ends the last router and starts one in its place that has no state.
// No requests are sent through it from a while before until it is ready.
func (l *partLoad) restartRouter() {
	l.mu.Lock()
	last := l.routers[len(l.routers)-1]
	l.routers = l.routers[:len(l.routers)-1]
	l.mu.Unlock()
	time.Sleep(time.Second)
	last.Close()
	l.fleet.startRouter(len(l.fleet.routers), l.fleet.routers[0].self.PeerAddress)
	started := l.fleet.routers[len(l.fleet.routers)-1]
	waitFor(l.fleet.t, "the router serves", func() bool { return started.core.Ready() })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.routers = append(l.routers, started)
}

// waitForCrashes waits until the part has crashed partCrashCount endpoints, or has
// crashed none for a while, and returns when the last of these runs began.
func (l *partLoad) waitForCrashes() time.Time {
	for last := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		runs := l.runs
		l.mu.Unlock()
		if len(runs) >= partCrashCount {
			return runs[partCrashCount-1]
		}
		if len(runs) > 0 {
			last = runs[len(runs)-1]
		}
		if time.Since(last) > partCrashGrace {
			return last
		}
	}
}

// runsAfter returns the number of runs of the part that began after the given
// instant.
func (l *partLoad) runsAfter(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, run := range l.runs {
		if run.After(at) {
			count++
		}
	}
	return count
}

// servedBetween returns the share of the other requests sent between two instants
// that were served.
func (l *partLoad) servedBetween(from, to time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	served, sent := 0, 0
	for _, s := range l.sound {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		sent++
		if s.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// TestPartOfPromptsStopsCrashingHostedFleet guards against a part of prompts that
// crashes one endpoint after the other in requests of which no two are alike, and
// against holding back their neighbours.
func TestPartOfPromptsStopsCrashingHostedFleet(t *testing.T) {
	for _, tt := range []struct {
		name, crashing string
		copies         int
	}{
		{"without a byte", bodyCrashPart, 1},
		{"after the first event", bodyCrashPartEvent, 1},
		{"without a length", bodyCrashPartClose, 1},
		{"after malformed bytes", bodyCrashPartMalformed, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checkPart(t, tt.crashing, tt.copies)
		})
	}
}

// TestCopiesWithPartStopCrashingHostedFleet guards against the same where five requests
// with the part are sent at once each time.
func TestCopiesWithPartStopCrashingHostedFleet(t *testing.T) { checkPart(t, bodyCrashPartEvent, 5) }

// checkPart starts requests with a part that crashes endpoints, copies of each at once,
// and checks that the part is held back and its neighbours are served.
func checkPart(t *testing.T, crashing string, copies int) {
	t.Helper()
	is := is.New(t)
	l := startPartLoad(t, crashing)
	time.Sleep(time.Second)
	begin := time.Now()
	l.startCrashing(copies)
	known := l.waitForCrashes()
	l.restartRouter()
	time.Sleep(time.Until(known.Add(2*partCrashGrace + 4*time.Second)))
	l.stop()
	before, later := l.servedBetween(time.Time{}, begin), l.servedBetween(known.Add(2*partCrashGrace), time.Now())
	late := l.runsAfter(known.Add(partCrashGrace))
	t.Logf("%d runs of the part, %d after the time allowed; %d endpoints crashed; others served %.3f before, %.3f later",
		len(l.runs), late, l.fleet.crashes(), before, later)
	is.True(late <= partCrashRuns)
	is.True(before >= 0.9) // the load fits the fleet
	is.True(later >= 0.5)  // of all that were sent, which is stricter than of those served before
	var refusal *caller.Problem
	is.True(errors.As(l.send(0, "same", "/stream/x", "another one", l.part), &refusal))
	is.Equal(refusal.Status, http.StatusServiceUnavailable)
	is.Equal(refusal.NotRun, caller.NotRunTrue)
	is.True(refusal.RetryAt.After(time.Now()))
	is.True(strings.Contains(refusal.Detail, fmt.Sprintf("part %x ", l.part)))
}
