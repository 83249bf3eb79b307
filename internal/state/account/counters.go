package account

import (
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// sourceFresh is how long a router's word about a counter stands beside
	// fresher words of others.
	sourceFresh = 3 * time.Second
	// onTheWay is the age from which a grant is taken to be contained in what
	// its receiver says of the counter.
	onTheWay = 10 * time.Millisecond
)

// Counters are a dispatcher's view of the organisations of one pool.
type Counters struct {
	values map[string]*counter
	recent []serving
	low    lowest
}

// counter is one organisation's, from what each router says of it.
type counter struct {
	// base stands while no word is fresh.
	base  float64
	words map[view.RouterID]word
}

type word struct {
	tag   float64
	rate  float64
	at    time.Time
	until time.Time
}

func (w *word) value(now time.Time) float64 { return w.tag + grown(w.rate, w.at, now) }

// serving is a grant that its receiver may not have seen yet.
type serving struct {
	at           time.Time
	organisation string
	to           view.RouterID
	amount       float64
}

// NewCounters returns an empty view.
func NewCounters() *Counters {
	return &Counters{values: map[string]*counter{}, low: newLowest()}
}

// Value is the organisation's counter at an instant. Between two words it only
// grows.
func (c *Counters) Value(now time.Time, organisation string) float64 {
	if known := c.values[organisation]; known != nil {
		return known.value(now)
	}
	return 0
}

func (k *counter) value(now time.Time) float64 {
	value := k.base
	for _, w := range k.words {
		value = max(value, w.value(now))
	}
	return value
}

// Hear takes a router's word about an organisation and the rate at which it
// grows: the greatest fresh word counts. Grants that may still be on their way
// to that router are added.
func (c *Counters) Hear(now time.Time, from view.RouterID, organisation string, tag, rate float64) {
	known := c.counter(organisation)
	for _, s := range c.young(now) {
		if s.to == from && s.organisation == organisation {
			tag += s.amount
		}
	}
	known.words[from] = word{tag, rate, now, now.Add(sourceFresh)}
	known.settle(now)
}

// Serve charges the organisation for a grant to the router and returns its
// counter before.
func (c *Counters) Serve(now time.Time, to view.RouterID, organisation string, amount float64) float64 {
	known := c.counter(organisation)
	before := known.value(now)
	known.words[to] = word{before + amount, known.words[to].rate, now, now.Add(sourceFresh)}
	c.recent = append(c.young(now), serving{now, organisation, to, amount})
	c.low.add(now, before)
	return before
}

// Forget drops the words of a router that is gone.
func (c *Counters) Forget(now time.Time, from view.RouterID) {
	for _, known := range c.values {
		if w, ok := known.words[from]; ok {
			known.base = w.value(now)
			delete(known.words, from)
			known.settle(now)
		}
	}
}

// Lowest is the least counter that was served lately; false if none was.
func (c *Counters) Lowest(now time.Time) (float64, bool) { return c.low.value(now) }

func (c *Counters) counter(organisation string) *counter {
	known := c.values[organisation]
	if known == nil {
		known = &counter{words: map[view.RouterID]word{}}
		c.values[organisation] = known
	}
	return known
}

// young drops the grants that have surely arrived and returns the others.
func (c *Counters) young(now time.Time) []serving {
	old := 0
	for old < len(c.recent) && now.Sub(c.recent[old].at) >= onTheWay {
		old++
	}
	c.recent = append(c.recent[:0], c.recent[old:]...)
	return c.recent
}

// settle drops what is no longer fresh. The base keeps the last of it, and
// gives way to any fresh word.
func (k *counter) settle(now time.Time) {
	for from, w := range k.words {
		if now.After(w.until) {
			k.base = max(k.base, w.value(now))
			delete(k.words, from)
		}
	}
	if len(k.words) > 0 {
		k.base = 0
	}
}
