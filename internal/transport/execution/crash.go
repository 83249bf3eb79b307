package execution

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// SurvivalTime is the time after the first event of a stream after which its
	// endpoint has survived it. Pauses of the endpoint do not count.
	SurvivalTime = time.Second
	// maxLoggedParts bounds the parts of a prompt in a log line.
	maxLoggedParts = 16
)

// examineEnd reports whether the endpoint crashed under an attempt. That is examined where
// the answer broke off, and where it ended with its connection: it looks complete then.
func (r *Runner) examineEnd(ctx context.Context, a *Attempt, result schedule.Result, begin time.Time) bool {
	switch {
	case r.Prober == nil:
		return false
	case result == schedule.ResultFinished && a.CloseDelimited:
		return r.Prober.Probe(ctx, &a.Endpoint) == ProcessGone && r.examineBreak(ctx, a, begin)
	}
	return result == schedule.ResultBroken && r.examineBreak(ctx, a, begin)
}

// examineBreak reports whether the endpoint crashed under an attempt that broke
// off there, and logs it. The fingerprint in the log shows which attempts were
// sent for the same request.
func (r *Runner) examineBreak(ctx context.Context, a *Attempt, begin time.Time) bool {
	elapsed := time.Since(begin)
	state := r.Prober.Probe(ctx, &a.Endpoint)
	e, listed := r.Views.View().Endpoint(a.Endpoint.ID)
	leaving := !listed || e.Leaving
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
