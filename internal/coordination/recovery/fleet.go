package recovery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

const (
	// rememberFor is the time for which a router that has gone from the view is still
	// ranked among the owners. Routers that are cut off notice it earlier, so a slot has
	// no second owner meanwhile.
	rememberFor = 10 * time.Second
	// majorityWindow is the time for which the largest known size of the fleet is the one
	// of which a router must see more than half.
	majorityWindow = 30 * time.Second
	// shareWindow is the time for which that size still determines the part of the slots
	// that a smaller group of routers uses. The groups of a fleet that has been split for
	// longer than majorityWindow otherwise use all slots each.
	shareWindow = 10 * time.Minute
	// contactHold is the time in contact with other routers after which a router that has
	// started, or was out of contact, may own slots.
	contactHold = 3 * time.Second
	// minHeardTimeout is the time after the last message of a router from which it is not
	// seen any more, and maxHeardIntervals the number of intervals between two messages
	// if that is longer. In the largest fleet that is 10.3 s, less than rememberFor and the
	// time after which routers that are cut off go from the view.
	minHeardTimeout   = 2500 * time.Millisecond
	maxHeardIntervals = 2
	// growthHold is the time for which a router owns no slot after it has learnt of a
	// router that it did not know, since there may be more that rank before it.
	growthHold = time.Second
	// checkInterval is the time between two checks of the deadlines.
	checkInterval = 100 * time.Millisecond
)

// router is what a Limiter knows of one router.
type router struct {
	hash uint64
	// heardAt is the instant of the last message of the router, or at which it was
	// first listed.
	heardAt time.Time
	// goneAt is the instant at which the router went from the view; zero if it is there.
	goneAt              time.Time
	draining, suspected bool
	// listedIn is the number of the last update that listed the router.
	listedIn uint64
}

// fleet is what a Limiter knows of the fleet.
type fleet struct {
	self    view.RouterID
	routers map[view.RouterID]*router
	// updates is the number of views so far.
	updates uint64
	// known is the number of routers in the view, and seen the part of it that this
	// router hears of, itself included.
	known, seen int
	// heardTimeout is the time after its last message for which a router is seen, and
	// after the last message of any for which there is contact.
	heardTimeout time.Duration
	// messageAt is the instant of the last message of any router.
	messageAt time.Time
	// contactSince is the instant since which there is contact with other routers; zero
	// if there is none.
	contactSince time.Time
	// holdUntil is the instant until which this router owns no slot.
	holdUntil time.Time
	// checkedAt is the instant of the last check.
	checkedAt time.Time
	// sizes are the sizes of the fleet within shareWindow, with the last instant of each,
	// both in order and without those that a later one exceeds.
	sizes []fleetSize
	// generation rises with each change of the routers that are ranked, the last of them
	// at changedAt. hashes are those of these routers, and selfHash is that of this one.
	generation uint64
	changedAt  time.Time
	hashes     []uint64
	selfHash   uint64
}

type fleetSize struct {
	routers int
	at      time.Time
}

// update replaces the view of the routers.
func (f *fleet) update(now time.Time, v *view.Snapshot, messageInterval time.Duration) {
	f.self = v.Self
	f.heardTimeout = max(minHeardTimeout, maxHeardIntervals*messageInterval)
	grown, changed := false, false
	f.updates++
	for i := range v.Routers {
		l := &v.Routers[i]
		r := f.routers[l.ID]
		if r == nil {
			r = &router{hash: xxhash.Sum64String(string(l.ID)), heardAt: now, draining: l.Draining}
			f.routers[l.ID] = r
			grown, changed = grown || l.ID != v.Self, true
		}
		changed = changed || r.draining != l.Draining
		r.draining, r.suspected, r.goneAt, r.listedIn = l.Draining, l.Suspected, time.Time{}, f.updates
	}
	for _, r := range f.routers {
		if r.listedIn != f.updates && r.goneAt.IsZero() {
			r.goneAt = now
		}
	}
	if grown && f.known > 0 {
		f.holdUntil = now.Add(growthHold)
	}
	f.known = len(v.Routers)
	if changed {
		f.rank(now)
	}
	f.check(now)
}

// heard records a message of another router.
func (f *fleet) heard(now time.Time, from view.RouterID) {
	if r := f.routers[from]; r != nil && from != f.self {
		r.heardAt, f.messageAt = now, now
	}
}

// rank replaces the hashes of the routers that are ranked: all that are remembered, or
// without those that are draining unless all are.
func (f *fleet) rank(now time.Time) {
	f.generation++
	f.changedAt = now
	f.hashes, f.selfHash = f.hashes[:0], 0
	for _, drains := range []bool{false, true} {
		for id, r := range f.routers {
			if r.draining != drains {
				continue
			}
			f.hashes = append(f.hashes, r.hash)
			if id == f.self {
				f.selfHash = r.hash
			}
		}
		if len(f.hashes) > 0 {
			return
		}
	}
}

// advance processes the time that has passed. It comes before anything else that happens
// now: a process that has been stopped for a while finds that it is out of contact before
// it uses a slot or processes the messages that have arrived meanwhile.
func (f *fleet) advance(now time.Time) {
	if now.Sub(f.checkedAt) >= checkInterval {
		f.check(now)
	}
}

// check processes all deadlines.
func (f *fleet) check(now time.Time) {
	f.checkedAt = now
	seen, forgotten := 0, false
	for id, r := range f.routers {
		switch {
		case !r.goneAt.IsZero():
			if now.Sub(r.goneAt) >= rememberFor {
				delete(f.routers, id)
				forgotten = true
			}
		case id == f.self, !r.suspected && now.Sub(r.heardAt) < f.heardTimeout:
			seen++
		}
	}
	f.seen = seen
	if forgotten {
		f.rank(now)
	}
	switch inContact := !f.messageAt.IsZero() && now.Sub(f.messageAt) < f.heardTimeout; {
	case !inContact:
		f.contactSince = time.Time{}
	case f.contactSince.IsZero():
		f.contactSince = now
	}
	f.recordSize(now)
}

// recordSize records the present size of the fleet.
func (f *fleet) recordSize(now time.Time) {
	for len(f.sizes) > 0 && f.sizes[len(f.sizes)-1].routers <= f.known {
		f.sizes = f.sizes[:len(f.sizes)-1]
	}
	f.sizes = append(f.sizes, fleetSize{f.known, now})
	for now.Sub(f.sizes[0].at) > shareWindow {
		f.sizes = f.sizes[1:]
	}
}

// largest returns the largest size of the fleet within the given time.
func (f *fleet) largest(now time.Time, within time.Duration) int {
	for _, s := range f.sizes {
		if now.Sub(s.at) <= within {
			return s.routers
		}
	}
	return f.known
}

// usable returns the number of slots, of the given one, that may be owned by any
// router that sees what this one sees, from the returned instant on. It is zero while
// this router may own none, whatever time passes.
func (f *fleet) usable(now time.Time, slots int, namesPeers bool) (usable int, from time.Time) {
	from = f.holdUntil
	alone := f.known <= 1 && f.largest(now, majorityWindow) <= 1
	if !alone || namesPeers {
		if f.contactSince.IsZero() {
			return 0, time.Time{}
		}
		if at := f.contactSince.Add(contactHold); at.After(from) {
			from = at
		}
	}
	if 2*f.seen <= f.largest(now, majorityWindow) {
		return 0, time.Time{}
	}
	if all := f.largest(now, shareWindow); 2*f.seen <= all {
		slots = slots * f.seen / all
	}
	return slots, from
}
