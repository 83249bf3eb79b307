package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/execution"
)

var errBroke = errors.New("the connection broke")

// scriptedAsker answers the questions in turn, and further ones like the last.
type scriptedAsker struct {
	answers []func(ctx context.Context) (bool, error)
	asked   atomic.Int64

	mu   sync.Mutex
	last time.Time // guarded by mu; when the last question was asked
}

func (a *scriptedAsker) AskInstance(ctx context.Context, _ *view.Endpoint) (bool, error) {
	a.mu.Lock()
	a.last = time.Now()
	a.mu.Unlock()
	return a.answers[min(int(a.asked.Add(1)), len(a.answers))-1](ctx)
}

// answerAfter returns an answer that arrives after the given time.
func answerAfter(after time.Duration, same bool, err error) func(context.Context) (bool, error) {
	return func(ctx context.Context) (bool, error) {
		select {
		case <-time.After(after):
			return same, err
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// never is longer than each question waits.
const never = time.Hour

// TestOnlyTheInstanceItselfIsAlive guards against taking an endpoint that died for one that
// lives: its listener may accept connections without an answer, or belong to another
// instance. It also guards against the opposite, where a question is lost or slow.
func TestOnlyTheInstanceItselfIsAlive(t *testing.T) {
	alive, refused := answerAfter(time.Millisecond, true, nil), answerAfter(0, false, syscall.ECONNREFUSED)
	for _, test := range []struct {
		name    string
		answers []func(context.Context) (bool, error)
		want    execution.ProcessState
		within  time.Duration
		asked   int64
	}{
		{"itself", []func(context.Context) (bool, error){alive}, execution.ProcessAlive, time.Millisecond, 1},
		{"refused", []func(context.Context) (bool, error){refused}, execution.ProcessGone, 0, 1},
		{"another instance", []func(context.Context) (bool, error){answerAfter(0, false, nil)}, execution.ProcessGone, 0, 1},
		{"accepts and closes, then refuses", []func(context.Context) (bool, error){answerAfter(0, false, errBroke), refused}, execution.ProcessGone, repeatFailed, 2},
		{"reset since it is full", []func(context.Context) (bool, error){answerAfter(0, false, errBroke), answerAfter(0, false, errBroke), alive}, execution.ProcessAlive, 3*repeatFailed + time.Millisecond, 3},
		{"far away", []func(context.Context) (bool, error){answerAfter(200*time.Millisecond, true, nil)}, execution.ProcessAlive, 200 * time.Millisecond, 1},
		{"first question lost", []func(context.Context) (bool, error){answerAfter(never, true, nil), alive}, execution.ProcessAlive, repeatUnanswered + time.Millisecond, 2},
		{"silent for a second", []func(context.Context) (bool, error){answerAfter(990*time.Millisecond, true, nil), answerAfter(700*time.Millisecond, true, nil)}, execution.ProcessAlive, 990 * time.Millisecond, 3},
		{"accepts and never answers", []func(context.Context) (bool, error){answerAfter(never, true, nil)}, execution.ProcessUnknown, 2 * time.Second, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				asker := &scriptedAsker{answers: test.answers}
				p := newProber(asker, metrics.NewRegistry())
				defer p.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				begun := time.Now()
				is.Equal(p.Probe(ctx, &view.Endpoint{ID: "a#1"}, begun), test.want)
				is.Equal(time.Since(begun), test.within)
				is.Equal(asker.asked.Load(), test.asked)
			})
		})
	}
}

// TestProbeIsSharedByEarlierEndsOnly guards against an answer that is older than the end of
// an attempt as evidence about it, and against a question for each of the attempts that end
// together.
func TestProbeIsSharedByEarlierEndsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asker := &scriptedAsker{answers: []func(context.Context) (bool, error){
			answerAfter(time.Millisecond, true, nil), answerAfter(time.Millisecond, true, nil), answerAfter(0, false, syscall.ECONNREFUSED),
		}}
		p := newProber(asker, metrics.NewRegistry())
		defer p.Close()
		at := time.Now().Add(10 * time.Millisecond)
		var attempts sync.WaitGroup
		for i := range 50 {
			attempts.Go(func() {
				if s := p.Probe(context.Background(), &view.Endpoint{ID: "a#1"}, at.Add(-time.Duration(i)*10*time.Microsecond)); s != execution.ProcessAlive {
					t.Errorf("a running endpoint is %v", s)
				}
			})
		}
		attempts.Wait()
		is.True(asker.asked.Load() <= 2)
		is.True(!asker.last.Before(at))
		for asker.asked.Load() < 2 {
			is.Equal(p.Probe(t.Context(), &view.Endpoint{ID: "a#1"}, time.Now()), execution.ProcessAlive)
		}
		// The endpoint dies right after its last answer.
		time.Sleep(time.Nanosecond)
		is.Equal(p.Probe(t.Context(), &view.Endpoint{ID: "a#1"}, time.Now()), execution.ProcessGone)
		is.Equal(p.Probe(t.Context(), &view.Endpoint{ID: "a#1"}, asker.last), execution.ProcessGone)
		is.Equal(asker.asked.Load(), int64(3)) // the second one used the retained answer
	})
}

// TestProbeEndsWithItsWaiters guards against questions that go on when nobody waits, and
// against a prober that does not close.
func TestProbeEndsWithItsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		asker := &scriptedAsker{answers: []func(context.Context) (bool, error){answerAfter(never, true, nil)}}
		p := newProber(asker, metrics.NewRegistry())
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		is.Equal(p.Probe(ctx, &view.Endpoint{ID: "a#1"}, time.Now()), execution.ProcessUnknown)
		time.Sleep(never)
		is.Equal(asker.asked.Load(), int64(1))
		go p.Probe(t.Context(), &view.Endpoint{ID: "a#1"}, time.Now())
		synctest.Wait()
		p.Close()
		is.Equal(p.Probe(t.Context(), &view.Endpoint{ID: "a#2"}, time.Now()), execution.ProcessUnknown)
	})
}

// TestManyEndsAtAFailingEndpointAreAnswered guards against complete answers that count as
// broken, although their endpoint answers again in time, since the questions of later ends
// put off the repetition; and against questions without a pause between them.
func TestManyEndsAtAFailingEndpointAreAnswered(t *testing.T) {
	for _, test := range []struct {
		name string
		// failing is the time for which the endpoint does not answer.
		failing time.Duration
		answer  func(ctx context.Context, until time.Time) (bool, error)
		ends    int
	}{
		{"resets", 300 * time.Millisecond, func(ctx context.Context, _ time.Time) (bool, error) {
			return answerAfter(100*time.Microsecond, false, errBroke)(ctx)
		}, 20},
		{"resets for long", 900 * time.Millisecond, func(ctx context.Context, _ time.Time) (bool, error) {
			return answerAfter(100*time.Microsecond, false, errBroke)(ctx)
		}, 100},
		{"silent", 1200 * time.Millisecond, func(ctx context.Context, until time.Time) (bool, error) {
			return answerAfter(time.Until(until), true, nil)(ctx)
		}, maxQuestions},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				until := time.Now().Add(test.failing)
				asker := &scriptedAsker{answers: []func(context.Context) (bool, error){func(ctx context.Context) (bool, error) {
					if time.Now().Before(until) {
						return test.answer(ctx, until)
					}
					return answerAfter(time.Millisecond, true, nil)(ctx)
				}}}
				p := newProber(asker, metrics.NewRegistry())
				defer p.Close()
				var ends sync.WaitGroup
				var unanswered atomic.Int64
				for range test.ends {
					ends.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
						defer cancel()
						if p.Probe(ctx, &view.Endpoint{ID: "a#1"}, time.Now()) != execution.ProcessAlive {
							unanswered.Add(1)
						}
					})
					time.Sleep(questionSpacing + time.Millisecond)
				}
				ends.Wait()
				t.Logf("%d of %d without an answer, %d questions", unanswered.Load(), test.ends, asker.asked.Load())
				is.Equal(unanswered.Load(), int64(0))
				is.True(asker.asked.Load() <= 2*int64(test.ends))
			})
		})
	}
}
