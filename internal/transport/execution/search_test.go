package execution

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// delayedScheduler starts each request after a random time, at an endpoint that it has
// not tried, and counts the starts that have not ended.
type delayedScheduler struct {
	random  *rand.Rand
	waiting []delayedStart
	running map[schedule.RequestID]bool
}

type delayedStart struct {
	request schedule.Request
	at      time.Time
}

func (s *delayedScheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	switch in := in.(type) {
	case schedule.Arrival:
		s.waiting = append(s.waiting, delayedStart{in.Request, now.Add(time.Duration(s.random.Int64N(int64(10 * time.Millisecond))))})
	case schedule.Departure:
		for i := range s.waiting {
			if s.waiting[i].request.ID == in.ID {
				s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
				break
			}
		}
	case schedule.Completion:
		delete(s.running, in.ID)
	}
	var out []schedule.Output
	var rest []delayedStart
	for _, w := range s.waiting {
		if now.Before(w.at) {
			rest = append(rest, w)
			continue
		}
		s.running[w.request.ID] = true
		out = append(out, schedule.Start{ID: w.request.ID, Endpoint: otherEndpoint(w.request.Tried)})
	}
	if s.waiting = rest; len(rest) > 0 {
		out = append(out, schedule.Wake{At: now.Add(time.Millisecond)})
	}
	return out
}

func otherEndpoint(tried []view.EndpointID) view.EndpointID {
	for _, id := range []view.EndpointID{"e1", "e2", "e3"} {
		found := false
		for _, t := range tried {
			found = found || t == id
		}
		if !found {
			return id
		}
	}
	return "e1"
}

// racingBackend sends the events of a stream from the one after Attempt.LastEvent. Its
// pauses end at about the moment at which a search for a continuation starts or ends.
type racingBackend struct {
	mu      sync.Mutex
	running int // guarded by mu
	// overlapped is set once two attempts ran beside each other. Guarded by mu.
	overlapped bool
}

const racingEvents = 8

func (b *racingBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	next := 1
	if a.LastEvent != "" {
		if _, err := fmt.Sscan(a.LastEvent, &next); err != nil {
			return nil, err
		}
		next++
	}
	b.mu.Lock()
	b.running++
	b.overlapped = b.overlapped || b.running > 1
	b.mu.Unlock()
	answer := &timedAnswer{ctx: ctx, backend: &timedBackend{}}
	for ; next <= racingEvents; next++ {
		pause := testSilence - 2*time.Millisecond + time.Duration(rand.Int64N(int64(16*time.Millisecond)))
		answer.parts = append(answer.parts, timedPart{pause, fmt.Sprintf("id: %d\n\n", next)})
	}
	return &racingAnswer{answer, b}, nil
}

type racingAnswer struct {
	*timedAnswer
	racing *racingBackend
}

func (a *racingAnswer) Close() error {
	a.once.Do(func() {
		a.racing.mu.Lock()
		a.racing.running--
		a.racing.mu.Unlock()
	})
	return nil
}

// TestSearchIsRepeatedWhileTheCallerWaits guards against a stream that stays at a silent
// endpoint until its caller gives up, since a search that found nothing is repeated only
// at the time of a refusal, although another endpoint has room by then.
func TestSearchIsRepeatedWhileTheCallerWaits(t *testing.T) {
	is := is.New(t)
	backend := &timedBackend{exchanges: []timedExchange{{parts: []timedPart{{0, "id: 1\n\n"}, {forever, ""}}}, {parts: []timedPart{{0, "id: 2\n\n"}}}}}
	scheduler := &scriptedScheduler{decisions: []view.EndpointID{"e1", "", "e2"}, retryAfter: 3 * time.Second}
	r, stop := newTimedRunner(t, backend, scheduler)
	call := silentCall(true)
	call.Patience = 2 * time.Second
	out := &recordingSink{}
	begun := time.Now()
	is.NoErr(r.Run(t.Context(), call, out))
	stop()
	is.Equal(out.String(), "id: 1\n\nid: 2\n\n")
	is.True(time.Since(begun) < call.Patience)
}

// countingGate counts admissions that have not ended.
type countingGate struct {
	admitAllGate
	mu   sync.Mutex
	open int // guarded by mu
}

func (g *countingGate) Admit(context.Context, *Call) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open++
	return false, nil
}

func (g *countingGate) Done(*Call, *Outcome) (confirmed func(context.Context)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	return nil
}

// TestEventsThatRaceWithSearches guards against events that are missing or repeated,
// runs beside each other, and places and admissions that remain, where an event arrives
// while a continuation is found, and where the caller leaves meanwhile.
func TestEventsThatRaceWithSearches(t *testing.T) {
	var want strings.Builder
	for i := 1; i <= racingEvents; i++ {
		fmt.Fprintf(&want, "id: %d\n\n", i)
	}
	for i := range 40 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			backend := &racingBackend{}
			scheduler := &delayedScheduler{random: rand.New(rand.NewPCG(uint64(i), 1)), running: map[schedule.RequestID]bool{}}
			r, stop := newTimedRunner(t, backend, scheduler)
			gate := &countingGate{}
			r.Gate = gate
			call := silentCall(true)
			call.MaxAttempts = maxAttempts
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			leaves := i%4 == 3
			if leaves {
				time.AfterFunc(testSilence+time.Duration(i)*time.Millisecond, cancel)
			}
			out := &recordingSink{}
			err := r.Run(ctx, call, out)
			is.Equal(r.Scheduling.Waiting(), 0)
			stop()
			is.Equal(len(scheduler.running), 0)
			is.Equal(gate.open, 0)
			is.Equal(backend.running, 0)
			is.True(!backend.overlapped)
			if leaves {
				is.True(strings.HasPrefix(want.String(), out.String()))
				return
			}
			is.NoErr(err)
			is.True(out.complete)
			is.Equal(out.String(), want.String())
		})
	}
}
