package bidding

import (
	"time"

	"hyssopreach/internal/state/view"
)

// hintLifetime is how long an announcement of room is trusted.
const hintLifetime = 2 * time.Second

// servedWindow is how long a served counter counts as recent.
const servedWindow = time.Second

// hint is an announcement of room at an endpoint.
type hint struct {
	endpoint view.EndpointID
	room     int
	until    time.Time
}

// pool is what the router knows of one pool's dispatchers.
type pool struct {
	name  string
	hints []hint
	costs costs
	// high is the greatest counter lately served, in two halves of a window.
	high, highBefore float64
	highSince        time.Time
	// floor is the counter below which no account is, unless it was lost. It
	// only grows, and spreads with reports and their answers.
	floor float64
}

// raise takes a counter below which no account is.
func (p *pool) raise(floor float64) { p.floor = max(p.floor, floor) }

func (b *Bidder) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{name: name}
		b.pools[name] = p
	}
	return p
}

// served takes a counter that some dispatcher has just served.
func (p *pool) served(now time.Time, counter float64) {
	p.turn(now)
	p.high = max(p.high, counter)
}

func (p *pool) turn(now time.Time) {
	if age := now.Sub(p.highSince); age >= servedWindow {
		p.highBefore = 0
		if age < 2*servedWindow {
			p.highBefore = p.high
		}
		p.high, p.highSince = 0, now
	}
}

// front is the greatest counter that was served lately.
func (p *pool) front(now time.Time) float64 {
	p.turn(now)
	return max(p.high, p.highBefore)
}

// hinted notes an announcement.
func (p *pool) hinted(now time.Time, endpoint view.EndpointID, room int) {
	p.expire(now)
	until := now.Add(hintLifetime)
	for i := range p.hints {
		if p.hints[i].endpoint == endpoint {
			p.hints[i].room, p.hints[i].until = room, until
			return
		}
	}
	p.hints = append(p.hints, hint{endpoint, room, until})
}

func (p *pool) expire(now time.Time) {
	kept := p.hints[:0]
	for _, h := range p.hints {
		if h.room > 0 && now.Before(h.until) {
			kept = append(kept, h)
		}
	}
	p.hints = kept
}

// room takes up to count slots of the endpoint's hinted room and reports
// whether there was any.
func (p *pool) room(now time.Time, endpoint view.EndpointID, count int) bool {
	for i := range p.hints {
		h := &p.hints[i]
		if h.endpoint == endpoint && h.room > 0 && now.Before(h.until) {
			h.room -= count
			return true
		}
	}
	return false
}
