package router

import (
	"github.com/rcrowley/go-metrics"
)

// Metrics of the predictions.
const (
	// MetricLengthError is the name of the histogram of the errors of the predicted length
	// of answers: 1,000 times the factor between the predicted and the actual length.
	MetricLengthError = "LengthErrorPermille"
	// MetricEndError is the name of that of the time to the end of a request.
	MetricEndError = "EndErrorPermille"
	// predictionSamples and predictionDecay are the parameters of their samples, which
	// cover about the last five minutes.
	predictionSamples, predictionDecay = 1028, 0.015
)

// predictionErrors records the errors of predictions as metrics.
type predictionErrors struct{ length, end metrics.Histogram }

func newPredictionErrors(r metrics.Registry) *predictionErrors {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(predictionSamples, predictionDecay))
	}
	return &predictionErrors{length: histogram(MetricLengthError), end: histogram(MetricEndError)}
}

// RecordLengthError implements admission.PredictionRecorder.
func (p *predictionErrors) RecordLengthError(factor float64) { p.length.Update(permille(factor)) }

// RecordEndError implements admission.PredictionRecorder.
func (p *predictionErrors) RecordEndError(factor float64) { p.end.Update(permille(factor)) }

// permille returns 1,000 times the factor, which is at most a million.
func permille(factor float64) int64 { return int64(1000 * min(factor, 1e6)) }
