package bidding

import (
	"time"

	"hyssopreach/internal/state/view"
)

// hintLifetime is how long an announcement of free slots is used.
const hintLifetime = 2 * time.Second

// servedWindow is the length of a window in which served counters are recorded.
// A counter counts as recent until the end of the next window.
const servedWindow = time.Second

// hint is an announcement of free slots at an endpoint.
type hint struct {
	endpoint view.EndpointID
	room     int
	until    time.Time
}

// pool is the router's knowledge of one pool: its free slots, the cost of its
// requests and the counters that its dispatchers serve.
type pool struct {
	name  string
	hints []hint
	costs costEstimate
	// highest is the highest counter that was recorded in the current window, and
	// previousHighest that in the window before.
	highest, previousHighest float64
	windowStart              time.Time
	// floor is a lower bound for the counters of all accounts; an account can be
	// below it only if its earlier value was lost with its holder. The floor never
	// falls, and the routers exchange it in reports and their answers.
	floor float64
}

// raiseFloor raises the lower bound for the counters of all accounts.
func (p *pool) raiseFloor(floor float64) { p.floor = max(p.floor, floor) }

func (b *Bidder) pool(name string) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{name: name}
		b.pools[name] = p
	}
	return p
}

// recordServed records the counter of an organisation to which some dispatcher
// gives slots at present.
func (p *pool) recordServed(now time.Time, counter float64) {
	p.rotateWindow(now)
	p.highest = max(p.highest, counter)
}

func (p *pool) rotateWindow(now time.Time) {
	if age := now.Sub(p.windowStart); age >= servedWindow {
		p.previousHighest = 0
		if age < 2*servedWindow {
			p.previousHighest = p.highest
		}
		p.highest, p.windowStart = 0, now
	}
}

// highestServed is the highest counter that was recorded recently.
func (p *pool) highestServed(now time.Time) float64 {
	p.rotateWindow(now)
	return max(p.highest, p.previousHighest)
}

// addHint records an announcement of free slots.
func (p *pool) addHint(now time.Time, endpoint view.EndpointID, room int) {
	p.expireHints(now)
	until := now.Add(hintLifetime)
	for i := range p.hints {
		if p.hints[i].endpoint == endpoint {
			p.hints[i].room, p.hints[i].until = room, until
			return
		}
	}
	p.hints = append(p.hints, hint{endpoint, room, until})
}

func (p *pool) expireHints(now time.Time) {
	remaining := p.hints[:0]
	for _, h := range p.hints {
		if h.room > 0 && now.Before(h.until) {
			remaining = append(remaining, h)
		}
	}
	p.hints = remaining
}

// takeHint takes up to count of the slots that were announced for the endpoint,
// and reports whether there were any.
func (p *pool) takeHint(now time.Time, endpoint view.EndpointID, count int) bool {
	for i := range p.hints {
		h := &p.hints[i]
		if h.endpoint == endpoint && h.room > 0 && now.Before(h.until) {
			h.room -= count
			return true
		}
	}
	return false
}
