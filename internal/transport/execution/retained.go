package execution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/memory"
)

// maxRetainedBytes bounds the body of an answer that is retained while its call is
// retried, and the memory of its header.
const maxRetainedBytes = copyBytes

// retainedAnswer is a whole answer with a server error. The caller gets it if the retry
// of the call gets no answer.
type retainedAnswer struct {
	status int
	header http.Header
	body   []byte
	// admitBy is the time by which a retry must be admitted. It leaves time to send
	// the answer before the deadline.
	admitBy time.Time
}

// partlyRead is an answer of which the given part has been read.
type partlyRead struct {
	Answer
	read []byte
}

// Read returns the part that has been read first.
func (a *partlyRead) Read(p []byte) (int, error) {
	if len(a.read) > 0 {
		n := copy(p, a.read)
		a.read = a.read[n:]
		return n, nil
	}
	return a.Answer.Read(p)
}

// mayRetryAnswer reports whether the answer may be discarded in favour of another
// attempt if the retry budget allows one.
func (r *Runner) mayRetryAnswer(answer Answer, p *progress) bool {
	return p.call.RetryServerErrors && answer.Status() >= http.StatusInternalServerError &&
		r.attemptsLeft(p.afterAttempt(schedule.ResultFailed), schedule.ResultFailed)
}

// prepareRetry reads an answer with a server error as far as it can be retained, and
// reports whether it may be discarded: it is then retained, or too large for that, and
// another attempt is certain. Otherwise the answer that prepareRetry returns is the one
// to pass on. The error is one of reading the answer.
func (r *Runner) prepareRetry(ctx context.Context, endpoint view.EndpointID, answer Answer, watch *silenceWatch, p *progress) (Answer, bool, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxRetainedBytes+1))
	if err != nil {
		return answer, false, fmt.Errorf("retain answer: %w", err)
	}
	certain := !watch.hold()
	admitBy := time.Now().Add(time.Until(p.call.Deadline) / 2)
	if len(body) <= maxRetainedBytes && memory.HeaderBytes(answer.Header()) <= maxRetainedBytes {
		if certain || r.retryDenied(p.afterAttempt(schedule.ResultFailed), schedule.ResultFailed) == "" {
			p.retryReserved = !certain
			p.retained = &retainedAnswer{status: answer.Status(), header: answer.Header(), body: body, admitBy: admitBy}
			return answer, true, nil
		}
	} else if certain || r.findRetry(ctx, endpoint, admitBy, watch, p) {
		return answer, true, nil
	}
	return &partlyRead{answer, body}, false, nil
}

// findRetry looks for the continuation of an attempt whose answer is too large to be
// retained. The answer is held meanwhile.
func (r *Runner) findRetry(ctx context.Context, endpoint view.EndpointID, admitBy time.Time, watch *silenceWatch, p *progress) bool {
	ctx, cancel := context.WithDeadline(ctx, admitBy)
	defer cancel()
	watch.searches.Wait() // a search that has been withdrawn may still admit the call
	next := *p
	next.recordFailure(endpoint, schedule.ResultFailed)
	next.stillRuns = true
	start, err := r.findContinuation(ctx, &next)
	if err != nil {
		return false
	}
	if r.retryDenied(&next, schedule.ResultFailed) != "" {
		r.release(p.call, &start, schedule.ResultUnused)
		return false
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.continuation = &start
	return true
}

// admitRetry is admit with the limit of the retained answer, if there is one.
func (r *Runner) admitRetry(ctx context.Context, p *progress) (schedule.Start, error) {
	if p.retained == nil {
		return r.admit(ctx, p)
	}
	ctx, cancel := context.WithDeadline(ctx, p.retained.admitBy)
	defer cancel()
	return r.admit(ctx, p)
}

// ErrStopping is the cause with which the context of a call is cancelled whose caller still
// waits, since the router stops.
var ErrStopping = errors.New("the router stops")

// sendRetained ends a call that failed with the given error: it sends the retained
// answer to the caller. It returns false if there is none, or if the caller has left.
func (r *Runner) sendRetained(ctx context.Context, p *progress, out *sinkTracker, cause error) (bool, error) {
	retained := p.retained
	if retained == nil || out.started || errors.Is(context.Cause(ctx), context.Canceled) {
		return false, nil
	}
	r.Logger.WithFields(log.Fields{
		"RequestID": p.call.RequestID, "Organisation": p.call.Organisation.Name, "Tries": p.attempts, "Status": retained.status, "Error": cause,
	}).Info("RetainedAnswerSent")
	if err := retained.send(out); err != nil {
		return true, p.broken(CauseCaller, &sinkError{fmt.Errorf("send the retained answer to the caller: %w", err)})
	}
	return true, nil
}

func (a *retainedAnswer) send(out Sink) error {
	if err := out.Begin(a.status, a.header); err != nil {
		return err
	}
	if len(a.body) > 0 {
		if _, err := out.Write(a.body); err != nil {
			return err
		}
	}
	return out.End()
}
