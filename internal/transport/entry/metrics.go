package entry

import (
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/transport/execution"
)

// The names of the metrics that count callers' requests.
const (
	MetricRequests = "Requests"
	MetricAnswers  = "Answers"
	MetricRefusals = "Refusals"
	// MetricBroken counts the answers that broke off. The counters by their cause have
	// the name of the cause after it.
	MetricBroken = "BrokenAnswers"
	// MetricLeft counts the requests whose callers had left before they were read.
	MetricLeft = "CallersLeft"
	// MetricDuration is in microseconds.
	MetricDuration = "RequestDurationMicros"
	// MetricAnsweredTokens and MetricRefusedTokens are the lengths of the prompts of
	// answered and of refused requests.
	MetricAnsweredTokens = "AnsweredPromptTokens"
	MetricRefusedTokens  = "RefusedPromptTokens"
)

const (
	// sampleSize is the number of values that a histogram retains.
	sampleSize = 1028
	// sampleDecay is the exponential decay rate of the histograms, which gives the
	// last five minutes the most weight.
	sampleDecay = 0.015
)

// Metrics counts callers' requests and how they end.
type Metrics struct {
	registry                                  metrics.Registry
	requests, answers, refusals, broken, left metrics.Counter
	durations, answeredTokens, refusedTokens  metrics.Histogram
}

// NewMetrics returns the metrics in the registry.
func NewMetrics(r metrics.Registry) *Metrics {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
	}
	return &Metrics{
		registry: r,
		requests: metrics.GetOrRegisterCounter(MetricRequests, r), answers: metrics.GetOrRegisterCounter(MetricAnswers, r),
		refusals: metrics.GetOrRegisterCounter(MetricRefusals, r), broken: metrics.GetOrRegisterCounter(MetricBroken, r),
		left: metrics.GetOrRegisterCounter(MetricLeft, r), durations: histogram(MetricDuration),
		answeredTokens: histogram(MetricAnsweredTokens), refusedTokens: histogram(MetricRefusedTokens),
	}
}

// Arrived counts a request that has arrived.
func (m *Metrics) Arrived() { m.requests.Inc(1) }

// Left counts a request whose caller had left before it was read.
func (m *Metrics) Left() { m.left.Inc(1) }

// Ran records how long a request took that began to run at the given time.
func (m *Metrics) Ran(begun time.Time) { m.durations.Update(time.Since(begun).Microseconds()) }

// Answered counts a complete answer; the prompt is nil if the request has none.
func (m *Metrics) Answered(p *schedule.Prompt) {
	m.answers.Inc(1)
	if p != nil {
		m.answeredTokens.Update(p.InputTokens)
	}
}

// Refused counts a refused request; the prompt is nil if the request has none.
func (m *Metrics) Refused(p *schedule.Prompt) {
	m.refusals.Inc(1)
	if p != nil {
		m.refusedTokens.Update(p.InputTokens)
	}
}

// Broken counts an answer that broke off because of err, and logs it.
func (m *Metrics) Broken(logger log.Interface, requestID string, err error) {
	m.broken.Inc(1)
	fields := log.Fields{"RequestID": requestID, "Error": err}
	var broken *execution.BrokenError
	if errors.As(err, &broken) {
		metrics.GetOrRegisterCounter(MetricBroken+string(broken.Cause), m.registry).Inc(1)
		fields["Cause"], fields["Silence"], fields["Tries"] = broken.Cause, broken.Silence.Round(time.Millisecond), broken.Attempts
	}
	logger.WithFields(fields).Warn("AnswerBroken")
}
