package account

import (
	"math"
	"time"
)

// lowWindow is how long a served counter counts as recent; a counter is
// forgotten after one to two windows.
const lowWindow = time.Second

// Counters are a dispatcher's view of the organisations of one pool.
type Counters struct {
	values map[string]float64
	low    lowest
}

// NewCounters returns an empty view.
func NewCounters() *Counters {
	return &Counters{values: map[string]float64{}, low: newLowest()}
}

// Value is the organisation's counter.
func (c *Counters) Value(organisation string) float64 { return c.values[organisation] }

// Merge takes another's view of the organisation; the higher one wins.
func (c *Counters) Merge(organisation string, tag float64) {
	if tag > c.values[organisation] {
		c.values[organisation] = tag
	}
}

// Serve charges the organisation for a grant and returns its counter before.
func (c *Counters) Serve(now time.Time, organisation string, amount float64) float64 {
	before := c.values[organisation]
	c.values[organisation] = before + amount
	c.low.add(now, before)
	return before
}

// Correct takes back the part of a charge that the request did not need.
func (c *Counters) Correct(organisation string, amount float64) {
	c.values[organisation] = max(0, c.values[organisation]-amount)
}

// Lowest is the least counter that was served lately; false if none was.
func (c *Counters) Lowest(now time.Time) (float64, bool) { return c.low.value(now) }

// lowest keeps a minimum over a sliding window by two halves.
type lowest struct {
	current, previous float64
	since             time.Time
}

func newLowest() lowest {
	return lowest{current: math.Inf(1), previous: math.Inf(1)}
}

func (l *lowest) turn(now time.Time) {
	age := now.Sub(l.since)
	switch {
	case age < lowWindow:
	case age < 2*lowWindow:
		l.previous, l.current, l.since = l.current, math.Inf(1), now
	default:
		l.previous, l.current, l.since = math.Inf(1), math.Inf(1), now
	}
}

func (l *lowest) add(now time.Time, value float64) {
	l.turn(now)
	l.current = min(l.current, value)
}

func (l *lowest) value(now time.Time) (float64, bool) {
	l.turn(now)
	value := min(l.current, l.previous)
	if math.IsInf(value, 1) {
		return 0, false
	}
	return value, true
}
