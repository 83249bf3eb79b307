package ledger

import (
	"sync/atomic"
	"time"
)

// Ledger counts service for a fixed set of organisations. Add may be called
// from several goroutines, the other methods from one.
type Ledger struct {
	names    []string
	weights  []float64
	received []atomic.Int64
	// pairs holds, for each pair of organisations, the window in which both
	// have had work waiting until now.
	pairs [][]window
	gap   Gap
}

// window is the range of the difference of weighted service of a pair.
type window struct {
	open            bool
	lowest, highest float64
}

// Gap is the largest difference of weighted service that one organisation
// gained on another in any window in which both had work waiting throughout.
type Gap struct {
	Service       float64
	Ahead, Behind string
}

// New returns a ledger for the organisations with the given weights.
func New(names []string, weights []float64) *Ledger {
	l := &Ledger{names: names, weights: weights, received: make([]atomic.Int64, len(names)), pairs: make([][]window, len(names))}
	for i := range l.pairs {
		l.pairs[i] = make([]window, i)
	}
	return l
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

// Sample notes the present differences of weighted service. Waited tells, for
// each organisation, whether it had work waiting throughout since the last
// sample; otherwise the windows with it end here.
func (l *Ledger) Sample(waited []bool) {
	now := make([]float64, len(l.names))
	for i := range now {
		now[i] = float64(l.Received(i)) / l.weights[i]
	}
	for i := range l.pairs {
		for j := range l.pairs[i] {
			l.pairs[i][j].note(now[i]-now[j], waited[i] && waited[j])
			l.compare(i, j)
		}
	}
}

func (w *window) note(difference float64, goes bool) {
	if !goes || !w.open {
		*w = window{goes, difference, difference}
		return
	}
	w.lowest, w.highest = min(w.lowest, difference), max(w.highest, difference)
}

func (l *Ledger) compare(i, j int) {
	w := l.pairs[i][j]
	if width := w.highest - w.lowest; width > l.gap.Service {
		l.gap = Gap{width, l.names[i], l.names[j]}
	}
}

// Reset ends all windows and forgets the gap, so that a new phase can be
// judged by itself.
func (l *Ledger) Reset() {
	for i := range l.pairs {
		clear(l.pairs[i])
	}
	l.gap = Gap{}
}

// Gap returns the largest gap since the last reset.
func (l *Ledger) Gap() Gap { return l.gap }

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
