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
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

var errEndedByCrash = errors.New("the endpoint has crashed at the end of an answer without a length")

// examinedAnswer is an answer that ends with its connection. Its end is that of the answer
// only if the endpoint has not crashed.
type examinedAnswer struct {
	Answer
	crashed func() bool
}

// Read returns io.EOF only if the endpoint has not crashed.
func (a examinedAnswer) Read(p []byte) (int, error) {
	n, err := a.Answer.Read(p)
	if errors.Is(err, io.EOF) && a.crashed() {
		return n, errEndedByCrash
	}
	return n, err
}

// examineEnd returns the answer of an attempt so that its end is examined if it ends with
// its connection.
func (r *Runner) examineEnd(ctx context.Context, a *Attempt, answer Answer) Answer {
	if r.Prober == nil || !a.CloseDelimited {
		return answer
	}
	return examinedAnswer{answer, func() bool {
		return r.Prober.Probe(ctx, &a.Endpoint) == ProcessGone && !r.isLeaving(a.Endpoint.ID)
	}}
}

// isLeaving reports whether an endpoint may end as planned.
func (r *Runner) isLeaving(id view.EndpointID) bool {
	e, listed := r.Views.View().Endpoint(id)
	return !listed || e.Leaving
}

// examineBreak reports whether the endpoint crashed under an attempt that broke
// off there, and logs it. The fingerprint in the log shows which attempts were
// sent for the same request.
func (r *Runner) examineBreak(ctx context.Context, a *Attempt, begin time.Time) bool {
	if r.Prober == nil {
		return false
	}
	elapsed := time.Since(begin)
	state := r.Prober.Probe(ctx, &a.Endpoint)
	leaving := r.isLeaving(a.Endpoint.ID)
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
	return state == ProcessGone && !leaving
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
