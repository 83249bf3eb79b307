package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hyssopreach/internal/state/view"
)

// usageLife is the time over which an organisation's use of the fleet is
// averaged. It is in the range of the operators' window for shares, 4 s.
const usageLife = 3 * time.Second

// sumInterval is the time for which a sum over the fleet is used.
const sumInterval = 25 * time.Millisecond

// outputWeight is how many tokens read one generated token counts for, as the
// operators count the work of a pool.
const outputWeight = 2

// rate is a sum that decays, from which a rate is told.
type rate struct {
	sum float64
	at  time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.sum = max(0, r.sum+amount)
}

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.at); passed > 0 {
		r.sum *= math.Exp(-float64(passed) / float64(usageLife))
		r.at = now
	}
}

// perSecond is the rate as of now.
func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / usageLife.Seconds()
}

// use is what an organisation has asked for and received.
type use struct{ asked, received float64 }

// account is an organisation's use at this router.
type account struct{ asked, received rate }

// usage knows what each organisation asks of the whole fleet.
type usage struct {
	own   map[string]*account
	peers map[view.RouterID]map[string]use
	// all is the sum as of summed, with what has been received here since.
	all    map[string]use
	summed time.Time
	// part is this router's part of what the fleet is asked for, 0 to 1, as of
	// summed.
	part float64
}

func newUsage() *usage {
	return &usage{own: map[string]*account{}, peers: map[view.RouterID]map[string]use{}}
}

func (u *usage) account(organisation string) *account {
	a := u.own[organisation]
	if a == nil {
		a = &account{}
		u.own[organisation] = a
	}
	return a
}

func (u *usage) ask(now time.Time, organisation string, cost float64) {
	u.account(organisation).asked.add(now, cost)
}

func (u *usage) take(now time.Time, organisation string, cost float64) {
	u.account(organisation).received.add(now, cost)
	u.note(organisation, cost)
}

// note keeps the sum up to date until it is made anew.
func (u *usage) note(organisation string, cost float64) {
	if u.all != nil {
		o := u.all[organisation]
		o.received = max(0, o.received+cost/usageLife.Seconds())
		u.all[organisation] = o
	}
}

func (u *usage) giveBack(now time.Time, organisation string, cost float64) {
	u.account(organisation).received.add(now, -cost)
	u.note(organisation, -cost)
}

// keep forgets what routers told that have gone.
func (u *usage) keep(routers map[view.RouterID]bool) {
	for id := range u.peers {
		if !routers[id] {
			delete(u.peers, id)
		}
	}
}

// fleet sums up the use of all organisations, in tokens per second.
func (u *usage) fleet(now time.Time) map[string]use {
	if u.all != nil && now.Sub(u.summed) < sumInterval {
		return u.all
	}
	all := make(map[string]use, len(u.own))
	own, whole := 0.0, 0.0
	for name, a := range u.own {
		all[name] = use{a.asked.perSecond(now), a.received.perSecond(now)}
		own += all[name].asked
	}
	whole = own
	for _, told := range u.peers {
		for name, o := range told {
			sum := all[name]
			all[name] = use{sum.asked + o.asked, sum.received + o.received}
			whole += o.asked
		}
	}
	u.all, u.summed, u.part = all, now, own/max(whole, 1)
	return all
}

// fairLevel is the largest rate that every organisation may have when the
// capacity is shared max-min: those that ask for less get what they ask for.
func fairLevel(all map[string]use, capacity float64) float64 {
	if capacity <= 0 {
		return math.Inf(1)
	}
	asked := make([]float64, 0, len(all))
	for _, o := range all {
		asked = append(asked, o.asked)
	}
	slices.SortFunc(asked, cmp.Compare)
	left := capacity
	for i, a := range asked {
		even := left / float64(len(asked)-i)
		if a >= even {
			return even
		}
		left -= a
	}
	return math.Inf(1)
}
