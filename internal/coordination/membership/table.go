package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

const (
	// HeartbeatInterval is the time between two heartbeats to one router.
	HeartbeatInterval = 500 * time.Millisecond
	// suspectAfter is the silence after which a watched router is suspected.
	suspectAfter = 3 * HeartbeatInterval
	// deadAfter is the time that a suspected router has to refute.
	deadAfter = 3 * HeartbeatInterval
	// watchInterval is the time between two looks at all deadlines.
	watchInterval = HeartbeatInterval / 4
	// meshSize is the largest fleet in which everyone watches everyone.
	meshSize = 8
	// successors is how many routers watch each router in a larger fleet.
	successors = 3
	// forwards is how many routers news is passed on to at once.
	forwards = 4
	// forwardDelay is how long news is gathered before it is passed on.
	forwardDelay = 100 * time.Millisecond
	// repeatFor is how long news is repeated in heartbeats.
	repeatFor = 3 * time.Second
	// maxRepeated bounds the news in one heartbeat.
	maxRepeated = 64
	// changeDelay is how long changes are gathered before the view changes.
	changeDelay = 200 * time.Millisecond
	// syncInterval is the least time between two full lists sent because of
	// digests that differ.
	syncInterval = 5 * time.Second
	// fullPause is the least time between two full lists for new routers, for
	// each member on them.
	fullPause = 20 * time.Millisecond
	// introduced is how many routers a new one is told of in between.
	introduced = 8
	// maxPatience bounds the silence that a watcher accepts from a router for
	// which others have vouched.
	maxPatience = time.Minute
	// forgetAfter is how long the dead are remembered.
	forgetAfter = 10 * time.Minute
)

// Options are what a Table is made with.
type Options struct {
	// Self is this router.
	Self view.Router
	// Seeds are peer addresses to start from.
	Seeds []netip.AddrPort
	// Random is the source of jitter and of the peers chosen at random.
	Random *rand.Rand
}

// member is what is known of one router.
type member struct {
	Member
	// place is where the router stands on the ring, a hash of its name.
	place uint64
	// share is the member's part of the digest; zero while it is dead.
	share uint64
	dead  bool
	// deadAt is when a suspected member is taken for dead, or when a dead one
	// died.
	deadAt time.Time
	// heard is when its last heartbeat came from itself.
	heard time.Time
	// watchedFrom is since when this router expects its heartbeats; zero
	// while it does not.
	watchedFrom time.Time
	// patience is the silence that is accepted from it.
	patience time.Duration
	// changed is when news about it last came.
	changed time.Time
	// flaps counts its recent deaths; it is halved every flapHalfLife.
	flaps       float64
	flapsAt     time.Time
	dampedUntil time.Time
}

// Table is the state machine of one router.
type Table struct {
	options Options
	self    *member
	members map[view.RouterID]*member
	listed  map[string]VM // nil until a VM list has come
	// ring holds the live members, self included, by place; stale is set
	// until refresh has built it anew.
	ring  []*member
	stale bool

	beatAt    time.Time // when the next heartbeats are due
	watchAt   time.Time // when deadlines are looked at next
	forwardAt time.Time // when gathered news is passed on; zero for none
	changeAt  time.Time // when the view changes; zero for none
	syncAt    time.Time // before this instant no full list is sent for a digest
	fullAt    time.Time // before this instant no full list is sent to a new router
	news      map[view.RouterID]bool
	quiet     bool // set while news is taken that is not to be passed on
	digest    uint64
	last      []view.Router // the view handed out last

	out []Output
}

// New returns the table of a router that knows only itself. It acts from its
// first Step on.
func New(o Options) *Table {
	self := newMember(&Member{Router: o.Self})
	t := &Table{
		options: o,
		self:    self,
		members: map[view.RouterID]*member{o.Self.ID: self},
		news:    make(map[view.RouterID]bool),
	}
	t.stale = true
	t.rehash(self)
	t.refresh(time.Time{})
	return t
}

func newMember(n *Member) *member {
	return &member{Member: *n, place: xxhash.Sum64String(string(n.Router.ID)), patience: suspectAfter}
}

// Step takes one input at the given instant and returns what is to be done,
// in order. The returned slice is valid until the next Step.
func (t *Table) Step(now time.Time, in Input) []Output {
	t.out = t.out[:0]
	t.forgivePause(now)
	switch in := in.(type) {
	case Received:
		t.received(now, in)
	case Unreachable:
		t.unreachable(now, in.Router)
	case VMList:
		t.list(now, in.VMs)
	case Drain:
		t.drain(now)
	case Leave:
		t.leave()
		return t.out
	case Alarm:
	}
	t.refresh(now)
	if !now.Before(t.watchAt) {
		t.watchAt = now.Add(watchInterval)
		t.watch(now)
		t.refresh(now)
	}
	if !now.Before(t.beatAt) {
		t.beat(now)
	}
	t.forward(now)
	t.publish(now)
	t.emit(Wake{At: t.next()})
	return t.out
}

// forgivePause notices that this router itself stood still, so that it does
// not suspect the others of a silence that was its own.
func (t *Table) forgivePause(now time.Time) {
	if t.beatAt.IsZero() || now.Sub(t.beatAt) < suspectAfter/2 {
		return
	}
	t.decide(EventPaused, "for", now.Sub(t.beatAt).String())
	for _, m := range t.members {
		if !m.watchedFrom.IsZero() {
			m.watchedFrom = now
		}
		if m.Suspected && !m.dead {
			m.deadAt = now.Add(deadAfter)
		}
	}
}

// next returns the earliest instant at which something is due.
func (t *Table) next() time.Time {
	at := t.beatAt
	for _, other := range []time.Time{t.watchAt, t.forwardAt, t.changeAt} {
		if !other.IsZero() && other.Before(at) {
			at = other
		}
	}
	return at
}

// publish hands out the changed view once changes have been gathered.
func (t *Table) publish(now time.Time) {
	if t.changeAt.IsZero() || now.Before(t.changeAt) {
		return
	}
	t.changeAt = time.Time{}
	var change Change
	for _, m := range t.ring {
		r := m.Router
		if vm, listed := t.listed[string(r.ID)]; listed && vm.Leaving || now.Before(m.dampedUntil) {
			r.Draining = true
		}
		r.Suspected = m.Suspected
		change.Routers = append(change.Routers, r)
	}
	slices.SortFunc(change.Routers, func(a, b view.Router) int { return compareIDs(a.ID, b.ID) })
	if slices.Equal(change.Routers, t.last) {
		return
	}
	t.last = change.Routers
	t.emit(change)
}

// changedView asks for a new view, soon.
func (t *Table) changedView(now time.Time) {
	if t.changeAt.IsZero() {
		t.changeAt = now.Add(changeDelay)
	}
}

func (t *Table) emit(o Output) { t.out = append(t.out, o) }

func (t *Table) decide(event string, fields ...string) {
	t.emit(Decision{Event: event, Fields: fields})
}
