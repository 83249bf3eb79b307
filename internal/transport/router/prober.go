package router

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/execution"
)

const (
	// questionSpacing is the minimum time between two questions to one endpoint that no
	// repetition causes: all attempts that end meanwhile share the next one.
	questionSpacing = 5 * time.Millisecond
	// questionTimeout bounds one question, and maxQuestions those that are open at an
	// endpoint.
	questionTimeout = time.Second
	maxQuestions    = 4
	// repeatUnanswered is the time after which a question without an answer is repeated
	// on another connection, since a packet may be lost; it doubles with each repetition.
	repeatUnanswered = 300 * time.Millisecond
	// repeatFailed is the time after which a question is repeated if its connection broke:
	// an endpoint that is full resets connections too. It doubles with each repetition.
	repeatFailed = 20 * time.Millisecond
	// maxProbeAnswers bounds the answers that are retained.
	maxProbeAnswers = 256
	// MetricProbes counts the questions that were sent to find out whether an
	// endpoint still runs.
	MetricProbes = "EndpointProbes"
)

// prober asks endpoints which instances they are. Attempts share a question that is sent
// after the instants that all of them state.
type prober struct {
	asker   InstanceAsker
	probes  metrics.Counter
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	inquiries map[view.EndpointID]*inquiry    // guarded by mu
	answers   map[view.EndpointID]probeAnswer // guarded by mu
}

// probeAnswer is what a question that was sent at askedAt has shown.
type probeAnswer struct {
	state   execution.ProcessState
	askedAt time.Time
}

// inquiry asks one endpoint as long as somebody waits for an answer.
type inquiry struct {
	endpoint view.Endpoint
	waiters  map[*probeWaiter]struct{} // guarded by prober.mu
	// changed holds an element if there is a new waiter, or one less.
	changed chan struct{}

	// The other fields belong to the goroutine of the inquiry.
	askedAt  time.Time
	repeatAt time.Time
	// open is the number of questions without a result.
	open int
	// unanswered and failed are the times until the next repetition.
	unanswered, failed time.Duration
}

// probeWaiter waits for the answer to a question that is sent at notBefore or later.
type probeWaiter struct {
	notBefore time.Time
	state     chan execution.ProcessState
}

func newProber(a InstanceAsker, r metrics.Registry) *prober {
	p := &prober{
		asker: a, probes: metrics.GetOrRegisterCounter(MetricProbes, r),
		inquiries: map[view.EndpointID]*inquiry{}, answers: map[view.EndpointID]probeAnswer{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close ends all inquiries.
func (p *prober) Close() {
	p.mu.Lock()
	p.cancel()
	p.mu.Unlock()
	p.running.Wait()
}

// Probe implements execution.Prober.
func (p *prober) Probe(ctx context.Context, e *view.Endpoint, notBefore time.Time) execution.ProcessState {
	w := &probeWaiter{notBefore: notBefore, state: make(chan execution.ProcessState, 1)}
	p.join(e, w)
	select {
	case s := <-w.state:
		return s
	case <-p.ctx.Done():
		return execution.ProcessUnknown
	case <-ctx.Done():
	}
	p.leave(e.ID, w)
	select {
	case s := <-w.state:
		return s
	default:
		return execution.ProcessUnknown
	}
}

// join adds a waiter to the inquiry about the endpoint, unless an answer is known.
func (p *prober) join(e *view.Endpoint, w *probeWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.answers[e.ID]; ok && !a.askedAt.Before(w.notBefore) {
		w.state <- a.state
		return
	}
	q := p.inquiries[e.ID]
	if q == nil {
		if p.ctx.Err() != nil {
			return
		}
		q = &inquiry{
			endpoint: *e, waiters: map[*probeWaiter]struct{}{}, changed: make(chan struct{}, 1),
		}
		p.inquiries[e.ID] = q
		p.running.Go(func() { p.run(q) })
	}
	q.waiters[w] = struct{}{}
	q.notify()
}

func (p *prober) leave(id view.EndpointID, w *probeWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if q := p.inquiries[id]; q != nil {
		delete(q.waiters, w)
		q.notify()
	}
}

func (q *inquiry) notify() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// run asks the endpoint until nobody waits for an answer.
func (p *prober) run(q *inquiry) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	answers := make(chan probeAnswer, maxQuestions)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at, repeated, waited := p.nextQuestion(q)
		if !waited {
			return
		}
		due := timer.C
		if q.open == maxQuestions {
			due = nil
		}
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
		case a := <-answers:
			q.open--
			p.answered(q, a)
		case <-due:
			q.open++
			now := time.Now()
			if repeated {
				q.unanswered, q.failed = 2*q.unanswered, 2*q.failed
			} else {
				q.unanswered, q.failed = repeatUnanswered, repeatFailed
			}
			q.askedAt, q.repeatAt = now, now.Add(q.unanswered)
			p.probes.Inc(1)
			p.running.Go(func() { answers <- p.ask(ctx, &q.endpoint, now) })
		}
	}
}

// nextQuestion returns when to ask next, and whether that repeats a question that was sent
// late enough for all who wait. It ends the inquiry if nobody waits.
func (p *prober) nextQuestion(q *inquiry) (at time.Time, repeated, waited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(q.waiters) == 0 {
		delete(p.inquiries, q.endpoint.ID)
		return time.Time{}, false, false
	}
	for w := range q.waiters {
		due, repeats := q.repeatAt, !w.notBefore.After(q.askedAt)
		if !repeats {
			due = w.notBefore
			if spaced := q.askedAt.Add(questionSpacing); due.Before(spaced) {
				due = spaced
			}
		}
		if at.IsZero() || due.Before(at) {
			at, repeated = due, repeats
		}
	}
	return at, repeated, true
}

// answered passes an answer to all waiters whose instants lie before its question. Without
// one, it brings the repetition of the question forward.
func (p *prober) answered(q *inquiry, a probeAnswer) {
	if a.state == execution.ProcessUnknown {
		now := time.Now()
		if now.Sub(a.askedAt) >= questionTimeout {
			return
		}
		if at := now.Add(q.failed); at.Before(q.repeatAt) {
			q.repeatAt = at
		}
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answers) >= maxProbeAnswers {
		clear(p.answers)
	}
	if a.askedAt.After(p.answers[q.endpoint.ID].askedAt) {
		p.answers[q.endpoint.ID] = a
	}
	for w := range q.waiters {
		if !a.askedAt.Before(w.notBefore) {
			w.state <- a.state
			delete(q.waiters, w)
		}
	}
}

// ask sends one question.
func (p *prober) ask(ctx context.Context, e *view.Endpoint, askedAt time.Time) probeAnswer {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	same, err := p.asker.AskInstance(ctx, e)
	switch {
	case err == nil && same:
		return probeAnswer{execution.ProcessAlive, askedAt}
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		return probeAnswer{execution.ProcessGone, askedAt}
	default:
		return probeAnswer{execution.ProcessUnknown, askedAt}
	}
}
