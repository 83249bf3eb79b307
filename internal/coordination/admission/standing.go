package admission

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// unreachablePause and failedPause are how long an endpoint is avoided
	// after it could not be reached or broke off; each further failure in a
	// row doubles it up to maxPause.
	unreachablePause = 250 * time.Millisecond
	failedPause      = 400 * time.Millisecond
	maxPause         = 3 * time.Second
	// fullPause is how long an endpoint is avoided that has no room.
	fullPause = 100 * time.Millisecond
	// failureWeight and successWeight are the weights of one attempt in the
	// share of failures.
	failureWeight, successWeight = 0.25, 0.1
	// failureLimit is the share of failures above which an endpoint is
	// avoided for a while after each of them.
	failureLimit = 0.4
	// failurePenalty is added to the time to the first token of an endpoint
	// all of whose attempts fail.
	failurePenalty = time.Second
)

// standing is how an endpoint has done of late.
type standing struct {
	// failures is the share of attempts that failed, 0 to 1.
	failures float64
	// row is the number of failures in a row.
	row        int
	avoidUntil time.Time
}

// note takes the result of an attempt and returns until when the endpoint is
// avoided because of it; zero if it is not.
func (s *standing) note(now time.Time, result schedule.Result) time.Time {
	switch result {
	case schedule.ResultFinished:
		s.failures -= successWeight * s.failures
		s.row = 0
		return time.Time{}
	case schedule.ResultRejected:
		return s.avoid(now, fullPause)
	case schedule.ResultNotSent:
		s.row++
		return s.avoid(now, unreachablePause)
	case schedule.ResultBroken, schedule.ResultSilent, schedule.ResultFailed:
		s.failures += failureWeight * (1 - s.failures)
		s.row++
		if s.failures > failureLimit {
			return s.avoid(now, failedPause)
		}
	}
	return time.Time{}
}

func (s *standing) avoid(now time.Time, pause time.Duration) time.Time {
	until := now.Add(min(pause<<min(max(s.row-1, 0), 4), maxPause))
	if until.After(s.avoidUntil) {
		s.avoidUntil = until
	}
	return s.avoidUntil
}

// penalty makes an endpoint that fails look slower.
func (s *standing) penalty() time.Duration {
	return time.Duration(s.failures * float64(failurePenalty))
}
