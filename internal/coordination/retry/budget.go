package retry

import "time"

const (
	// sliceCount is the number of slices into which a window is divided.
	sliceCount = 20
	// ratioShare and extraShare are the fractions of Limits.Ratio and
	// Limits.Extra that are used. The remainder allows for differences between
	// the counts of two routers, and for routers that are not known to the
	// others yet.
	ratioShare = 0.85
	extraShare = 0.7
)

// Limits are the operators' limits on retries of a service.
type Limits struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Extra is the number of further retries allowed for the whole fleet.
	Extra float64
	// Window is the time over which the limits hold.
	Window time.Duration
}

// Budget counts requests and retries by service. It is not safe for concurrent
// use.
type Budget struct {
	limits   Limits
	services map[string]*service
}

type service struct {
	requests, retries window
}

// New returns a budget that has counted nothing yet.
func New(l Limits) *Budget { return &Budget{limits: l, services: map[string]*service{}} }

func (b *Budget) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// CountRequest counts a caller's request to the service.
func (b *Budget) CountRequest(now time.Time, name string) {
	b.service(name).requests.add(now, b.limits.Window)
}

// Spend takes one retry of a request to the service from the budget. It returns
// false, and takes nothing, if the budget is exhausted. The given number of
// routers share Limits.Extra.
func (b *Budget) Spend(now time.Time, name string, routers int) bool {
	s := b.service(name)
	allowed := ratioShare*b.limits.Ratio*float64(s.requests.sum(now, b.limits.Window)) +
		extraShare*b.limits.Extra/float64(max(routers, 1))
	if float64(s.retries.sum(now, b.limits.Window)+1) > allowed {
		return false
	}
	s.retries.add(now, b.limits.Window)
	return true
}

// window counts events over a sliding time span in a ring of slices.
type window struct {
	counts [sliceCount]int
	// newestStart is the instant at which the newest slice began, and newest
	// the index of that slice.
	newestStart time.Time
	newest      int
}

func (w *window) advance(now time.Time, span time.Duration) {
	step := span / sliceCount
	if now.Sub(w.newestStart) >= span+step {
		*w = window{newestStart: now}
		return
	}
	for now.Sub(w.newestStart) >= step {
		w.newestStart = w.newestStart.Add(step)
		w.newest = (w.newest + 1) % sliceCount
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
