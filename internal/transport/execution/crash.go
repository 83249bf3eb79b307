package execution

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// SurvivalTime is the time after the first event of a stream after which its
	// endpoint has survived it. Pauses of the endpoint do not count.
	SurvivalTime = time.Second
	// settleTime is the time between the end of an answer and the question whether its
	// endpoint lives: the listener of a process that ends may be open for a moment.
	settleTime = 5 * time.Millisecond
	// malformedSettleTime is the same after bytes that are no answer, after which the endpoint
	// has not closed the connection, and may crash.
	malformedSettleTime = 50 * time.Millisecond
	// endTimeout bounds the time for which the end of an answer that ends with its connection
	// is withheld. Sound endpoints may be silent for a second.
	endTimeout = 1500 * time.Millisecond
	// breakTimeout bounds the delay of a retry after an attempt broke off; see probeLater.
	breakTimeout = 100 * time.Millisecond
	// reachTimeout bounds the question whether another endpoint can continue a stream, and
	// reachableFor is the age up to which the answer to an earlier one serves.
	reachTimeout = 250 * time.Millisecond
	reachableFor = 100 * time.Millisecond
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

var (
	errEndedByCrash   = errors.New("the endpoint has crashed at the end of an answer without a length")
	errEndUnexplained = errors.New("the endpoint does not answer after the end of an answer without a length")
)

// examinedAnswer is an answer that ends with its connection. Its end is that of the answer
// only if its endpoint lives on.
type examinedAnswer struct {
	Answer
	attempt *Attempt
	// examine returns an error unless the endpoint answers a question that is sent after
	// the end.
	examine func() error
}

// Read returns io.EOF only if the endpoint lives on after the end.
func (a *examinedAnswer) Read(p []byte) (int, error) {
	if a.attempt.EndedAt.IsZero() {
		n, err := a.Answer.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		a.attempt.EndedAt = time.Now()
		if n > 0 {
			return n, nil
		}
	}
	if err := a.examine(); err != nil {
		return 0, err
	}
	return 0, io.EOF
}

// examineEnd returns the answer of an attempt so that its end is examined if it ends with
// its connection. The endpoint does not count as silent meanwhile.
func (r *Runner) examineEnd(ctx context.Context, a *Attempt, answer Answer, watch *silenceWatch) Answer {
	if r.Prober == nil || !a.CloseDelimited {
		return answer
	}
	return &examinedAnswer{answer, a, func() error {
		watch.hold()
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		switch r.Prober.Probe(ctx, &a.Endpoint, a.EndedAt.Add(settleTime)) {
		case ProcessAlive:
			return nil
		case ProcessGone:
			return errEndedByCrash
		default:
			return errEndUnexplained
		}
	}}
}

// isLeaving reports whether an endpoint may end as planned.
func (r *Runner) isLeaving(id view.EndpointID) bool {
	e, listed := r.Views.View().Endpoint(id)
	return !listed || e.Leaving
}

// examineBreak returns what is known about the endpoint of an attempt that broke off there,
// and logs it. The fingerprint in the log shows which attempts were sent for the same
// request. The end of the call does not end the probe, since other calls need the evidence.
func (r *Runner) examineBreak(ctx context.Context, a *Attempt, begin time.Time, leaving bool, err error) ProcessState {
	if r.Prober == nil {
		return ProcessUnknown
	}
	elapsed := a.EndedAt.Sub(begin)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), breakTimeout)
	defer cancel()
	settle := settleTime
	if !connectionEnded(err) {
		settle = malformedSettleTime
	}
	state := r.Prober.Probe(ctx, &a.Endpoint, a.EndedAt.Add(settle))
	fields := log.Fields{
		"RequestID": a.Call.RequestID, "Organisation": a.Call.Organisation.Name, "Service": a.Call.Service.Name,
		"Fingerprint": strconv.FormatUint(a.Call.Fingerprint(), 16), "Endpoint": a.Endpoint.ID, "Process": state,
		"Leaving": leaving, "Elapsed": elapsed.Round(time.Millisecond), "Answered": !a.AnsweredAt.IsZero(),
	}
	if !a.FirstEventAt.IsZero() {
		fields["SinceFirstEvent"] = (elapsed - a.FirstEventAt.Sub(begin)).Round(time.Millisecond)
	}
	if parts := a.Call.Prompt.SharedParts(); len(parts) > 0 {
		fields["SharedParts"] = formatParts(parts)
	}
	r.Logger.WithFields(fields).Info("AttemptBroken")
	return state
}

// formatParts formats the IDs of up to maxLoggedParts parts of a prompt.
func formatParts(parts []schedule.PromptPart) string {
	var b strings.Builder
	for i := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(parts[i].ID, 16))
	}
	return b.String()
}
