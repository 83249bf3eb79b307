package disruption

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one thing that is done to the programs.
type Fault struct {
	// At counts from the begin of the soak, and For from there.
	At, For time.Duration
	Kind    string
	// Target is the index of what it is done to, among those of the kind.
	Target int
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("at %v for %v: %s %d", f.At.Round(time.Millisecond), f.For.Round(time.Millisecond), f.Kind, f.Target)
}

// Kind is a kind of fault and how many things it may be done to.
type Kind struct {
	Name    string
	Targets int
	// Least and Most bound its length.
	Least, Most time.Duration
}

const (
	// seriesChance is the chance that a fault comes again soon at the same
	// target, and seriesPause the longest time until then.
	seriesChance = 0.35
	seriesPause  = 1500 * time.Millisecond
)

// Plan draws faults from the seed over the given time, one each interval in
// the mean, some in series; they may overlap.
func Plan(seed uint64, over, interval time.Duration, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(interval))
		if at >= over {
			break
		}
		k := kinds[random.IntN(len(kinds))]
		f := Fault{At: at, Kind: k.Name, Target: random.IntN(max(k.Targets, 1)), For: k.length(random)}
		plan = append(plan, f)
		for random.Float64() < seriesChance {
			f.At += f.For + time.Duration(random.Float64()*float64(seriesPause))
			f.For = k.length(random)
			if f.At >= over {
				break
			}
			plan = append(plan, f)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func (k *Kind) length(random *rand.Rand) time.Duration {
	return k.Least + time.Duration(random.Float64()*float64(k.Most-k.Least))
}
