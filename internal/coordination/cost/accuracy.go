package cost

import (
	"math"
	"slices"
	"time"
)

const (
	// errorSamples is the number of the last predictions whose errors are reported.
	errorSamples = 512
	// reportInterval is the time between two reports of errors, and minReportSamples the
	// number of new predictions from which there is one.
	reportInterval, minReportSamples = 30 * time.Second, 10
)

// Errors are the errors of the last predictions of one kind: the factors, 1 or more, by
// which predicted and actual value differ.
type Errors struct {
	factors     [errorSamples]float64
	count, next int
}

// Factor returns the factor, 1 or more, between a predicted and an actual value; zero if
// one of them is not positive.
func Factor(predicted, actual float64) float64 {
	if !(predicted > 0) || !(actual > 0) {
		return 0
	}
	return max(predicted/actual, actual/predicted)
}

// Add records a prediction.
func (e *Errors) Add(predicted, actual float64) {
	factor := Factor(predicted, actual)
	if factor == 0 || math.IsInf(factor, 1) {
		return
	}
	e.factors[e.next] = factor
	e.next = (e.next + 1) % errorSamples
	e.count = min(e.count+1, errorSamples)
}

// Quantiles returns the median and the 90th percentile of the last errors; zero if there
// are none.
func (e *Errors) Quantiles() (median, p90 float64) {
	if e.count == 0 {
		return 0, 0
	}
	sorted := slices.Clone(e.factors[:e.count])
	slices.Sort(sorted)
	return sorted[e.count/2], sorted[e.count*9/10]
}

// Accuracy holds the errors of all predictions: of the length of answers, of the caller's
// hint for it, and of the time from the start to the end of a request.
type Accuracy struct {
	Length, Hint, End Errors
	added             int
	nextAt            time.Time
}

// Add records the outcome of a request.
func (a *Accuracy) Add(predicted, hint, length float64, predictedTime, actualTime time.Duration) {
	a.Length.Add(predicted, length)
	a.Hint.Add(hint, length)
	a.End.Add(float64(predictedTime), float64(actualTime))
	a.added++
}

// Due reports whether the errors should be logged now, and if so counts them as logged.
func (a *Accuracy) Due(now time.Time) bool {
	if a.added < minReportSamples || now.Before(a.nextAt) {
		return false
	}
	a.added, a.nextAt = 0, now.Add(reportInterval)
	return true
}
