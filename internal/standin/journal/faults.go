package journal

import "time"

// Faults are the failures that the log currently simulates.
type Faults struct {
	// Down aborts every connection. Requests have no effect.
	Down bool
	// Busy answers 503 to every request. Requests have no effect.
	Busy bool
	// DelayMillis is the delay of every request before it takes effect.
	DelayMillis int
	// LoseAnswers is the number of following appends that take effect but whose
	// connection is aborted without an answer.
	LoseAnswers int
	// LoseProbability is the probability with which an append takes effect
	// but its connection is aborted without an answer.
	LoseProbability float64
	// LateAppends is the number of following appends whose connection is
	// aborted at once and that take effect LateMillis later.
	LateAppends int
	LateMillis  int
}

// outcome says how the simulated faults treat an append.
type outcome uint8

const (
	// outcomeAnswered is an append that takes effect and is answered.
	outcomeAnswered outcome = iota
	// outcomeAnswerLost is an append that takes effect and is not answered.
	outcomeAnswerLost
	// outcomeLate is an append that is not answered and takes effect later.
	outcomeLate
)

// SetFaults replaces the simulated faults.
func (j *Journal) SetFaults(f Faults) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = f
}

// Faults returns the simulated faults, with the numbers of appends that are
// still to fail.
func (j *Journal) Faults() Faults {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.faults
}

// nextOutcome returns the outcome of the next append and decrements the number
// of appends that are to fail. The caller must hold mu.
func (j *Journal) nextOutcome() outcome {
	f := &j.faults
	switch {
	case f.LateAppends > 0:
		f.LateAppends--
		return outcomeLate
	case f.LoseAnswers > 0:
		f.LoseAnswers--
		return outcomeAnswerLost
	case f.LoseProbability > 0 && j.random.Float64() < f.LoseProbability:
		return outcomeAnswerLost
	}
	return outcomeAnswered
}

func (f Faults) lateDelay() time.Duration { return time.Duration(f.LateMillis) * time.Millisecond }

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }
