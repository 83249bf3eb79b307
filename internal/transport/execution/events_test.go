package execution

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"hyssopreach/internal/coordination/baseline"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/memory"
)

// rejectableAnswer is an answer whose endpoint may state that it has not run
// the attempt.
type rejectableAnswer struct {
	*scriptedAnswer
	rejected bool
}

func (a rejectableAnswer) Rejected() bool { return a.rejected }

// streamBackend is a backend that plays one stream per attempt and records the
// last event ID that each attempt states.
type streamBackend struct {
	scriptedBackend
	rejected   map[int]bool
	silent     map[int]bool
	lastEvents []string
}

func (s *streamBackend) Send(ctx context.Context, a *Attempt) (Answer, error) {
	n := s.attempts
	s.lastEvents = append(s.lastEvents, a.LastEvent)
	if s.silent[n] {
		s.attempts++
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := s.scriptedBackend.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	return rejectableAnswer{answer.(*scriptedAnswer), s.rejected[n]}, nil
}

// TestStreamRetryAndResumption guards against streams that are resumed when
// they must not be, that lose or repeat events when resumed, and that are ended
// as complete although they broke off.
func TestStreamRetryAndResumption(t *testing.T) {
	cut := errors.New("connection reset")
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	tests := []struct {
		name       string
		backend    streamBackend
		resumable  bool
		attempts   int
		want       string
		complete   bool
		lastEvents []string
		notRun     caller.NotRun
	}{
		{
			name: "complete stream", backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first + second}}}},
			want: first + second, complete: true, lastEvents: []string{""},
		},
		{
			name: "resumed after the last complete event", resumable: true, attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first + second[:5], readErr: cut}, {status: 200, body: second + third}}}},
			want:    first + second + third, complete: true, lastEvents: []string{"", "1"},
		},
		{
			name: "not resumable", attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first + second[:5], readErr: cut}, {status: 200, body: second}}}},
			want:    first, lastEvents: []string{""},
		},
		{
			name: "broken before the first event", resumable: true, attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first[:4], readErr: cut}, {status: 200, body: first}}}},
			want:    first, complete: true, lastEvents: []string{"", ""},
		},
		{
			name: "broken before the first event and not resumable", attempts: 2,
			backend:    streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, readErr: cut}, {status: 200, body: first}}}},
			lastEvents: []string{""}, notRun: caller.NotRunUnknown,
		},
		{
			name: "rejected, then complete", attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 503}, {status: 200, body: first}}}, rejected: map[int]bool{0: true}},
			want:    first, complete: true, lastEvents: []string{"", ""},
		},
		{
			name: "rejected on every attempt", attempts: 2,
			backend:    streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 503}, {status: 421}}}, rejected: map[int]bool{0: true, 1: true}},
			lastEvents: []string{"", ""}, notRun: caller.NotRunTrue,
		},
		{
			name: "one attempt allowed", resumable: true, attempts: 1,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first, readErr: cut}, {status: 200, body: second}}}},
			want:    first, lastEvents: []string{""},
		},
		{
			name: "silent, then retried", resumable: true, attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{}, {status: 200, body: first}}}, silent: map[int]bool{0: true}},
			want:    first, complete: true, lastEvents: []string{"", ""},
		},
		{
			name: "ends with an incomplete event", attempts: 1,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first + second[:7]}}}},
			want:    first, lastEvents: []string{""},
		},
		{
			name: "comments before a break are not the beginning of the answer", resumable: true, attempts: 2,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: "\n\n: c\n\n", readErr: cut}, {status: 200, body: ": d\n\n" + first}}}},
			want:    ": d\n\n" + first, complete: true, lastEvents: []string{"", ""},
		},
		{
			name: "comments between events are passed on", attempts: 1,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: first + ": c\n\n" + second + "\n\n"}}}},
			want:    first + ": c\n\n" + second + "\n\n", complete: true, lastEvents: []string{""},
		},
		{
			name: "complete stream of comments", attempts: 1,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 200, body: ": c\n\n"}}}},
			want:    ": c\n\n", complete: true, lastEvents: []string{""},
		},
		{
			name: "server error is forwarded unchanged", attempts: 1,
			backend: streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: 500, body: "broken"}}}},
			want:    "broken", complete: true, lastEvents: []string{""},
		},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRunner(t, &tt.backend)
			call := testCall(tt.resumable)
			call.Events, call.Stream, call.Resumable, call.MaxAttempts = true, true, tt.resumable, max(tt.attempts, 1)
			call.AttemptID = "fixed"
			if tt.resumable {
				call.MaxSilence = 50 * time.Millisecond
			}
			var sink recordingSink
			err := r.Run(t.Context(), call, &sink)
			is.Equal(sink.String(), tt.want)
			is.Equal(sink.complete, tt.complete)
			is.Equal(err == nil, tt.complete)
			is.Equal(tt.backend.lastEvents, tt.lastEvents)
			var problem *caller.Problem
			if errors.As(err, &problem) {
				is.Equal(problem.NotRun, tt.notRun)
			} else {
				is.Equal(tt.notRun, caller.NotRun(""))
			}
		})
	}
}

// TestServerErrorOfIdempotentCallIsRetried checks that RetryServerErrors retries
// an answer with a server error, and that the caller gets that answer if no
// attempt is left.
func TestServerErrorOfIdempotentCallIsRetried(t *testing.T) {
	is := is.New(t)
	backend := &streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: http.StatusInternalServerError, body: "no"}, {status: 200, body: "yes"}}}}
	r := newTestRunner(t, backend)
	call := testCall(true)
	call.RetryServerErrors, call.MaxAttempts = true, 2
	var sink recordingSink
	is.NoErr(r.Run(t.Context(), call, &sink))
	is.Equal(sink.String(), "yes")
	is.Equal(backend.attempts, 2)

	// The server error of the last attempt is forwarded as the answer.
	backend = &streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{{status: http.StatusInternalServerError, body: "no"}}}}
	r = newTestRunner(t, backend)
	sink = recordingSink{}
	is.NoErr(r.Run(t.Context(), call, &sink))
	is.Equal(sink.status, http.StatusInternalServerError)
	is.Equal(backend.attempts, 2)
}

// TestSurvivedStreamIsReportedOnce guards against taking a part of a prompt for harmless
// because its endpoint paused before it crashed.
func TestSurvivedStreamIsReportedOnce(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.Default}
	scheduling := NewScheduling(baseline.New(baseline.Options{Source: rand.NewPCG(1, 2)}), noPeers{}, logger)
	defer scheduling.Close()
	now := time.Unix(1e9, 0)
	reporter := newStreamReporter(now, scheduling, 1, nil)
	survived, count := 0, 0
	reporter.survived = func() { survived++ }
	event := func(after time.Duration) {
		now = now.Add(after)
		count++
		reporter.dataReceived(now)
		reporter.eventsForwarded(count)
	}
	event(3 * time.Second) // the prompt is read
	event(2 * time.Second) // the endpoint pauses
	is.Equal(survived, 0)
	for range 9 {
		event(100 * time.Millisecond)
	}
	is.Equal(survived, 0)
	for range 5 {
		event(100 * time.Millisecond)
	}
	is.Equal(survived, 1)
}

// TestPartFingerprints guards against suspecting the part that is a request's own, and
// against taking a part for that of another service or for a request.
func TestPartFingerprints(t *testing.T) {
	is := is.New(t)
	call := &Call{
		Organisation: &text.Organisation{Name: "o"}, Service: &text.Service{Name: "s"},
		Prompt: &schedule.Prompt{Parts: []schedule.PromptPart{{ID: 1}, {ID: 2}, {ID: 3}}},
	}
	parts := call.PartFingerprints()
	is.Equal(len(parts), 2)
	is.True(parts[0] != parts[1])
	is.True(parts[0]&suspect.PartBit != 0)
	is.Equal(call.SharedPart(parts[1]), uint64(2))
	is.Equal(suspect.Fingerprint(call.Fingerprint())&suspect.PartBit, suspect.Fingerprint(0))
	other := *call
	other.Service = &text.Service{Name: "t"}
	is.True(other.PartFingerprints()[0] != parts[0])
	is.Equal(len((&Call{}).PartFingerprints()), 0)
	call.Prompt.Parts = make([]schedule.PromptPart, 1000)
	is.Equal(len(call.PartFingerprints()), maxPartFingerprints)
}

// TestUnfinishedEventsCountTowardsTheirMemory guards against events of streams that are
// each within their bound and together take more memory than there is.
func TestUnfinishedEventsCountTowardsTheirMemory(t *testing.T) {
	is := is.New(t)
	const total = 200 << 10
	events := memory.NewLimiter(total)
	buffers := make([]eventBuffer, 10)
	part := make([]byte, copyBytes)
	failed := 0
	for i := range buffers {
		b := &buffers[i]
		b.holding = events.NewHolding(freeEventBytes)
		for range 6 {
			if _, err := b.add(part, false); err != nil {
				is.True(errors.Is(err, memory.ErrExhausted))
				failed++
				break
			}
		}
	}
	taken := 0
	for i := range buffers {
		taken += max(cap(buffers[i].buffered)-freeEventBytes, 0)
	}
	is.True(failed > 0 && failed < len(buffers))
	is.True(taken <= total)
	// A stream returns the memory once it has passed on the event.
	for i := range buffers {
		b := &buffers[i]
		b.discard(len(b.buffered) - 5)
		is.Equal(len(b.buffered), 5)
	}
	whole := events.NewHolding(0)
	is.NoErr(whole.Resize(total))
}

// TestStreamEndsWithoutMemoryForItsEvent guards against a stream that is passed on in part
// as if it were complete when there is no memory for an event.
func TestStreamEndsWithoutMemoryForItsEvent(t *testing.T) {
	is := is.New(t)
	large := "id: 2\ndata: " + strings.Repeat("x", 100<<10)
	call := testCall(true)
	call.Events, call.Stream, call.MaxAttempts = true, true, 1
	r := newTestRunner(t, &scriptedBackend{exchanges: []scriptedExchange{{status: http.StatusOK, body: "id: 1\ndata: a\n\n" + large + "\n\n"}}})
	r.AnswerMemory = memory.NewLimiter(10)
	var sink recordingSink
	err := r.Run(t.Context(), call, &sink)
	is.True(errors.Is(err, memory.ErrExhausted))
	is.Equal(sink.String(), "id: 1\ndata: a\n\n")
	is.True(!sink.complete)
}

// TestLongEventIDBreaksOff guards against an ID that the router keeps for each stream, writes
// into the log and sends as a header field, whatever its length.
func TestLongEventIDBreaksOff(t *testing.T) {
	is := is.New(t)
	const first, third = "id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n"
	long := "id: 2" + strings.Repeat("x", 100<<10) + "\ndata: b\n\n"
	backend := &streamBackend{scriptedBackend: scriptedBackend{exchanges: []scriptedExchange{
		{status: http.StatusOK, body: first + long}, {status: http.StatusOK, body: "id: 2\ndata: b\n\n" + third},
	}}}
	r, call := newTestRunner(t, backend), testCall(true)
	call.Events, call.Stream, call.Resumable, call.MaxAttempts, call.AttemptID = true, true, true, 2, "fixed"
	var sink recordingSink
	is.NoErr(r.Run(t.Context(), call, &sink))
	is.Equal(sink.String(), first+"id: 2\ndata: b\n\n"+third)
	is.Equal(backend.lastEvents, []string{"", "1"})
}

// TestUnfinishedEventCostsTimePerByte guards against an event that arrives in small parts,
// of which each made the router search all bytes of the event again.
func TestUnfinishedEventCostsTimePerByte(t *testing.T) {
	for _, unit := range []string{"x", ":\n\n"} {
		is := is.New(t)
		cost := func(size int) time.Duration {
			best := time.Duration(math.MaxInt64)
			for range 3 {
				r, call := newTestRunner(t, &scriptedBackend{}), testCall(true)
				call.Events, call.Stream, call.MaxAttempts = true, true, 1
				answer := &dripAnswer{scriptedAnswer{status: http.StatusOK, rest: []byte(strings.Repeat(unit, size/len(unit))), end: io.ErrUnexpectedEOF}}
				p := &progress{call: call, lastEventAt: time.Now()}
				ctx, watch := r.watchSilence(t.Context(), p, "e", false)
				begun := time.Now()
				err := r.copyEvents(ctx, answer, newStreamReporter(begun, r.Scheduling, 1, nil), watch, &sinkTracker{Sink: &recordingSink{}}, p)
				best = min(best, time.Since(begun))
				watch.stop()
				is.True(errors.Is(err, io.ErrUnexpectedEOF))
			}
			return best
		}
		small, large := cost(16<<10), cost(128<<10)
		t.Logf("%q: %v for 16 KiB, %v for 128 KiB", unit, small, large)
		is.True(large < 24*small) // eight times the bytes
	}
}

// dripAnswer is an answer that arrives byte by byte.
type dripAnswer struct{ scriptedAnswer }

func (a *dripAnswer) Read(p []byte) (int, error) { return a.scriptedAnswer.Read(p[:1]) }
