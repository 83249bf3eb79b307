package ledger

import (
	"sync/atomic"
	"time"
)

// Ledger counts the service received by a fixed set of organisations. Add may be
// called from several goroutines; the other methods must be called from one.
type Ledger struct {
	names    []string
	weights  []float64
	received []atomic.Int64
	// pairs holds, for each pair of organisations, the current window in which
	// both have had waiting work.
	pairs [][]window
	gap   Gap
}

// window is a period in which both organisations of a pair have waiting work.
// It holds the range of the difference of their weighted service, which is
// service divided by the organisation's weight.
type window struct {
	open            bool
	lowest, highest float64
}

// Gap is the largest change of the difference of weighted service between two
// organisations within a window in which both had waiting work throughout. Ahead
// names the organisation of the pair with the higher index, and Behind the other
// one, whichever of them received more.
type Gap struct {
	Service       float64
	Ahead, Behind string
}

// New returns a ledger for the organisations with the given names and weights.
func New(names []string, weights []float64) *Ledger {
	l := &Ledger{names: names, weights: weights, received: make([]atomic.Int64, len(names)), pairs: make([][]window, len(names))}
	for i := range l.pairs {
		l.pairs[i] = make([]window, i)
	}
	return l
}

// Add counts service received by the organisation with the given index.
func (l *Ledger) Add(organisation int, service int64) { l.received[organisation].Add(service) }

// Received returns the service received so far by the organisation with the
// given index.
func (l *Ledger) Received(organisation int) int64 { return l.received[organisation].Load() }

// Total returns the service received so far by all organisations.
func (l *Ledger) Total() int64 {
	total := int64(0)
	for i := range l.received {
		total += l.received[i].Load()
	}
	return total
}

// Sample records the current differences of weighted service. For each
// organisation, waited says whether the organisation has had waiting work
// throughout since the last sample. If not, the windows of its pairs end.
func (l *Ledger) Sample(waited []bool) {
	now := make([]float64, len(l.names))
	for i := range now {
		now[i] = float64(l.Received(i)) / l.weights[i]
	}
	for i := range l.pairs {
		for j := range l.pairs[i] {
			l.pairs[i][j].update(now[i]-now[j], waited[i] && waited[j])
			l.updateGap(i, j)
		}
	}
}

// update extends the window by a difference if the window continues, and
// otherwise starts it anew with the difference alone.
func (w *window) update(difference float64, continues bool) {
	if !continues || !w.open {
		*w = window{continues, difference, difference}
		return
	}
	w.lowest, w.highest = min(w.lowest, difference), max(w.highest, difference)
}

// updateGap sets the gap to that of the pair's window if the latter is larger.
func (l *Ledger) updateGap(i, j int) {
	w := l.pairs[i][j]
	if width := w.highest - w.lowest; width > l.gap.Service {
		l.gap = Gap{width, l.names[i], l.names[j]}
	}
}

// Reset ends all windows and discards the gap, so that a new phase of a
// measurement can be evaluated separately. It keeps the counts of service.
func (l *Ledger) Reset() {
	for i := range l.pairs {
		clear(l.pairs[i])
	}
	l.gap = Gap{}
}

// Gap returns the largest gap since the last call of Reset.
func (l *Ledger) Gap() Gap { return l.gap }

// Utilisation measures the share of slots that are busy while work is waiting,
// over time.
type Utilisation struct {
	last        time.Time
	busy, total float64 // slot-seconds
}

// AddPeriod adds the time since the last call, during which the given values
// applied. It ignores this time if no work was waiting.
func (u *Utilisation) AddPeriod(now time.Time, busy, slots int, waiting bool) {
	elapsed := now.Sub(u.last).Seconds()
	if !u.last.IsZero() && waiting {
		u.busy += elapsed * float64(min(busy, slots))
		u.total += elapsed * float64(slots)
	}
	u.last = now
}

// Share returns the share of slot-seconds that were busy while work was
// waiting. It returns 1 if no work was ever waiting.
func (u *Utilisation) Share() float64 {
	if u.total == 0 {
		return 1
	}
	return u.busy / u.total
}
