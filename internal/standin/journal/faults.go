package journal

import "time"

// Faults are the failures that the log shows at present.
type Faults struct {
	// Down breaks every connection without an effect.
	Down bool
	// Busy answers 503 without an effect.
	Busy bool
	// DelayMillis holds every request back before it takes effect.
	DelayMillis int
	// LoseAnswers is the number of coming appends whose answer is lost after
	// they have taken effect.
	LoseAnswers int
	// LoseProbability is the chance that an append's answer is lost.
	LoseProbability float64
	// LateAppends is the number of coming appends whose connection breaks
	// and that take effect LateMillis later.
	LateAppends int
	LateMillis  int
}

// outcome is the fate of one append.
type outcome uint8

const (
	outcomeAnswered outcome = iota
	outcomeAnswerLost
	outcomeLate
)

// SetFaults replaces the faults.
func (j *Journal) SetFaults(f Faults) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = f
}

// Faults returns the faults that are left.
func (j *Journal) Faults() Faults {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.faults
}

// draw decides the fate of the next append; mu is held.
func (j *Journal) draw() outcome {
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

func (f Faults) late() time.Duration { return time.Duration(f.LateMillis) * time.Millisecond }

func (f Faults) delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }
