package execution

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
)

var errManyRejections = errors.New("too many endpoints have rejected the rest of the stream")

// next returns the admission of the next attempt: the continuation of the last one,
// or a new one. A stream that has begun is not ended because all endpoints that are left
// have rejected its rest, or were silent, or because the retry budget is empty: it is
// continued later, as long as its caller waits.
func (r *Runner) next(ctx context.Context, p *progress) (schedule.Start, error) {
	if start := p.continuation; start != nil {
		p.continuation = nil
		return *start, nil
	}
	for {
		start, err := schedule.Start{}, errManyRejections
		p.retryOwed = p.retryOwed && !r.Budget.Withdraw(p.call)
		switch {
		case p.retryOwed:
			err = errNoRetryAllowed
		case len(p.rejecting) < maxUnreached:
			start, err = r.admitRetry(ctx, p)
		}
		if err == nil || !p.mayPostpone(err) || !r.postpone(ctx, p, err) {
			return start, err
		}
	}
}

// canPostpone reports whether the call is a stream that has begun, of which it is known
// how long its caller waits.
func (p *progress) canPostpone() bool { return p.canResume() && p.call.Patience > 0 }

// mayPostpone reports whether a stream that has begun, whose continuation failed with the
// given error, can be continued later: at an endpoint that is excluded now, or with a
// retry that is not left now.
func (p *progress) mayPostpone(err error) bool {
	var refused *RefusedError
	switch {
	case !p.canPostpone():
		return false
	case errors.Is(err, errNoRetryAllowed), errors.Is(err, errManyRejections):
		return true
	default:
		return (len(p.rejecting) > 0 || p.silentEndpoint != "") && errors.As(err, &refused) && refused.Reason == schedule.RefusalOverload
	}
}

// postpone waits until endpoints that have not run the rest of a stream, or were silent,
// may be tried again. It returns false if the caller has given up by then.
func (r *Runner) postpone(ctx context.Context, p *progress, err error) bool {
	left := time.Until(p.givesUpAt())
	if left <= 0 {
		return false
	}
	delay := max(min(minSearchInterval<<min(p.postponements, 4), defaultRetryDelay, left/2), minSearchInterval)
	r.Logger.WithFields(log.Fields{
		"RequestID": p.call.RequestID, "Tries": p.attempts, "Silence": time.Since(p.lastEventAt).Round(time.Millisecond), "Delay": delay, "Error": err,
	}).Info("ContinuationPostponed")
	if !wait(ctx, delay) {
		return false
	}
	p.rejecting, p.silentEndpoint = nil, ""
	p.postponements++
	return true
}

// wait returns false if the context ends before the delay.
func wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitUntilNotWithheld waits if err shows that this router withheld the continuation of
// a stream that has begun, and reports whether to try it again. Such an attempt counts
// as none: the stream is not ended by what this router does not know for a moment.
func (p *progress) waitUntilNotWithheld(ctx context.Context, err error) bool {
	if !withheld(err) || !p.canResume() || p.continuation != nil {
		return false
	}
	return wait(ctx, minSearchInterval)
}
