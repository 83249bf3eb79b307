package disruption

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one planned fault.
type Fault struct {
	// At is when the fault begins, counted from the start of the plan, and
	// Duration is how long it lasts.
	At, Duration time.Duration
	Kind         string
	// Target is the index of the disturbed component among the targets of the
	// kind.
	Target int
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("at %v for %v: %s %d", f.At.Round(time.Millisecond), f.Duration.Round(time.Millisecond), f.Kind, f.Target)
}

// Kind is a kind of fault with the number of its possible targets.
type Kind struct {
	Name    string
	Targets int
	// MinDuration and MaxDuration bound the duration of a fault.
	MinDuration, MaxDuration time.Duration
}

const (
	// repeatProbability is the probability that a fault repeats at the same
	// target, at most maxRepeatPause after its end.
	repeatProbability = 0.35
	maxRepeatPause    = 1500 * time.Millisecond
)

// Plan draws faults from the seed for the given length of time, sorted by their
// beginning. A new fault begins once per interval on average, and some repeat in
// series. Faults may overlap.
func Plan(seed uint64, length, interval time.Duration, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(interval))
		if at >= length {
			break
		}
		k := kinds[random.IntN(len(kinds))]
		f := Fault{At: at, Kind: k.Name, Target: random.IntN(max(k.Targets, 1)), Duration: k.drawDuration(random)}
		plan = append(plan, f)
		for random.Float64() < repeatProbability {
			f.At += f.Duration + time.Duration(random.Float64()*float64(maxRepeatPause))
			f.Duration = k.drawDuration(random)
			if f.At >= length {
				break
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func (k *Kind) drawDuration(random *rand.Rand) time.Duration {
	return k.MinDuration + time.Duration(random.Float64()*float64(k.MaxDuration-k.MinDuration))
}
