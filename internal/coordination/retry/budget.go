package retry

import "time"

const (
	// slices is the number of parts that a window is counted in.
	slices = 20
	// proportionShare and extraShare are the parts of the stated budget that
	// are used; the rest allows for what two routers count differently, and
	// for routers that nobody has heard of yet.
	proportionShare = 0.85
	extraShare      = 0.7
)

// Limits are the operators' bounds on repeats.
type Limits struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Extra is the number of repeats of the whole fleet beside that.
	Extra float64
	// Window is the span that the bounds hold over.
	Window time.Duration
}

// Budget counts requests and repeats by service. It is not safe for concurrent
// use.
type Budget struct {
	limits   Limits
	services map[string]*service
}

type service struct {
	requests, repeats window
}

// New returns a budget with nothing spent.
func New(l Limits) *Budget { return &Budget{limits: l, services: map[string]*service{}} }

func (b *Budget) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// Request counts a caller's request for the service.
func (b *Budget) CountRequest(now time.Time, name string) {
	b.service(name).requests.add(now, b.limits.Window)
}

// Spend takes one repeat at the service from the budget; it returns false if
// there is none left. The fleet has the given number of routers.
func (b *Budget) Spend(now time.Time, name string, routers int) bool {
	s := b.service(name)
	allowed := proportionShare*b.limits.Ratio*float64(s.requests.sum(now, b.limits.Window)) +
		extraShare*b.limits.Extra/float64(max(routers, 1))
	if float64(s.repeats.sum(now, b.limits.Window)+1) > allowed {
		return false
	}
	s.repeats.add(now, b.limits.Window)
	return true
}

// window counts events over a sliding span in a ring of slices.
type window struct {
	counts [slices]int
	// begins is when the newest slice began.
	begins time.Time
	newest int
}

func (w *window) advance(now time.Time, span time.Duration) {
	step := span / slices
	if now.Sub(w.begins) >= span+step {
		*w = window{begins: now}
		return
	}
	for now.Sub(w.begins) >= step {
		w.begins = w.begins.Add(step)
		w.newest = (w.newest + 1) % slices
		w.counts[w.newest] = 0
	}
}

func (w *window) add(now time.Time, span time.Duration) {
	w.advance(now, span)
	w.counts[w.newest]++
}

func (w *window) sum(now time.Time, span time.Duration) int {
	w.advance(now, span)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}
