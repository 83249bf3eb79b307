package ledger

import (
	"sync"
	"sync/atomic"
	"time"
)

// Ledger counts service for a fixed set of organisations. Add may be called
// from several goroutines.
type Ledger struct {
	names    []string
	weights  []float64
	received []atomic.Int64

	mu      sync.Mutex
	lowest  [][]float64 // guarded by mu; of the difference of each pair
	highest [][]float64 // guarded by mu
	samples int         // guarded by mu
}

// New returns a ledger for the organisations with the given weights.
func New(names []string, weights []float64) *Ledger {
	l := &Ledger{names: names, weights: weights, received: make([]atomic.Int64, len(names))}
	l.lowest, l.highest = matrix(len(names)), matrix(len(names))
	return l
}

func matrix(n int) [][]float64 {
	m := make([][]float64, n)
	for i := range m {
		m[i] = make([]float64, n)
	}
	return m
}

// Add counts service received by the organisation with the index.
func (l *Ledger) Add(organisation int, service int64) { l.received[organisation].Add(service) }

// Received returns the service of the organisation with the index so far.
func (l *Ledger) Received(organisation int) int64 { return l.received[organisation].Load() }

// Total returns the service of all organisations so far.
func (l *Ledger) Total() int64 {
	total := int64(0)
	for i := range l.received {
		total += l.received[i].Load()
	}
	return total
}

// Sample notes the present differences of weighted service. The fairness gap
// is taken over all windows between two samples.
func (l *Ledger) Sample() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.names {
		for j := range i {
			d := float64(l.Received(i))/l.weights[i] - float64(l.Received(j))/l.weights[j]
			if l.samples == 0 {
				l.lowest[i][j], l.highest[i][j] = d, d
			}
			l.lowest[i][j] = min(l.lowest[i][j], d)
			l.highest[i][j] = max(l.highest[i][j], d)
		}
	}
	l.samples++
}

// Reset forgets the samples, so that a new phase can be judged by itself.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = 0
}

// Gap returns the largest difference of weighted service that two of the
// organisations gained on each other in any window, and their names. Only
// organisations that had work waiting throughout may be given.
func (l *Ledger) Gap(backlogged []int) (gap float64, ahead, behind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samples == 0 {
		return 0, "", ""
	}
	for _, i := range backlogged {
		for _, j := range backlogged {
			if j >= i {
				continue
			}
			if d := l.highest[i][j] - l.lowest[i][j]; d > gap {
				gap, ahead, behind = d, l.names[i], l.names[j]
			}
		}
	}
	return gap, ahead, behind
}

// Utilisation integrates how much of the slot-time is busy while work waits.
type Utilisation struct {
	last       time.Time
	busy, open float64 // slot-seconds
}

// Note adds the time since the last note, in which the given numbers held.
func (u *Utilisation) Note(now time.Time, busy, slots int, waiting bool) {
	elapsed := now.Sub(u.last).Seconds()
	if !u.last.IsZero() && waiting {
		u.busy += elapsed * float64(min(busy, slots))
		u.open += elapsed * float64(slots)
	}
	u.last = now
}

// Share returns the busy share of the slot-time in which work waited; it is 1
// when none ever waited.
func (u *Utilisation) Share() float64 {
	if u.open == 0 {
		return 1
	}
	return u.busy / u.open
}
