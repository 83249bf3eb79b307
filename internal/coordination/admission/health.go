package admission

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// unreachableBackoff is the time for which an endpoint is avoided after it
	// could not be reached, and failedBackoff that after a failed attempt. Each
	// further consecutive failure doubles the time, up to maxBackoff.
	unreachableBackoff = 250 * time.Millisecond
	failedBackoff      = 400 * time.Millisecond
	maxBackoff         = 3 * time.Second
	// fullBackoff is the time for which an endpoint is avoided after it has
	// rejected a request because it is full or leaving. Earlier consecutive
	// failures double it too.
	fullBackoff = 100 * time.Millisecond
	// failureWeight and successWeight are the weights of a failed and of a
	// successful attempt in the failure rate.
	failureWeight, successWeight = 0.25, 0.1
	// maxFailureRate is the failure rate above which an endpoint is avoided for
	// a while after each attempt that counts as failed in the failure rate.
	maxFailureRate = 0.4
	// failurePenalty is added to the score of an endpoint of failure rate 1,
	// and in proportion at lower rates.
	failurePenalty = time.Second
)

// health summarises the results of the recent attempts at an endpoint.
type health struct {
	// failureRate is the weighted fraction of attempts that failed, 0 to 1.
	// Attempts that were not sent, rejected or cancelled don't count.
	failureRate         float64
	consecutiveFailures int
	// avoidUntil is the instant until which the endpoint is avoided because of failed
	// attempts, and silentUntil that until which it is avoided because it is silent. Its
	// next activity ends the latter.
	avoidUntil, silentUntil time.Time
}

// avoided reports whether the endpoint is avoided.
func (s *health) avoided(now time.Time) bool {
	return now.Before(s.avoidUntil) || now.Before(s.silentUntil)
}

// record processes the result of an attempt. It returns the instant until which
// the endpoint is avoided because of it; zero if it is not avoided.
func (s *health) record(now time.Time, result schedule.Result) time.Time {
	switch result {
	case schedule.ResultFinished:
		s.failureRate -= successWeight * s.failureRate
		s.consecutiveFailures = 0
		return time.Time{}
	case schedule.ResultRejected:
		return s.avoid(now, fullBackoff)
	case schedule.ResultNotSent:
		s.consecutiveFailures++
		return s.avoid(now, unreachableBackoff)
	case schedule.ResultBroken, schedule.ResultSilent, schedule.ResultFailed:
		s.failureRate += failureWeight * (1 - s.failureRate)
		s.consecutiveFailures++
		if s.failureRate > maxFailureRate {
			return s.avoid(now, failedBackoff)
		}
	}
	return time.Time{}
}

func (s *health) avoid(now time.Time, backoff time.Duration) time.Time {
	until := now.Add(min(backoff<<min(max(s.consecutiveFailures-1, 0), 4), maxBackoff))
	if until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
	return s.avoidUntil
}

// penalty returns the time that is added to the endpoint's score because of
// failed attempts.
func (s *health) penalty() time.Duration {
	return time.Duration(s.failureRate * float64(failurePenalty))
}
