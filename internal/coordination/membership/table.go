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
	// suspectAfter is the time without a heartbeat after which a watched router
	// is suspected.
	suspectAfter = 3 * HeartbeatInterval
	// deadAfter is the time in which a suspicion can be refuted.
	deadAfter = 3 * HeartbeatInterval
	// checkInterval is the time between two checks of all deadlines.
	checkInterval = HeartbeatInterval / 4
	// maxMeshSize is the largest fleet in which all routers watch each other.
	maxMeshSize = 8
	// successors is the number of routers that watch each router in a larger
	// fleet.
	successors = 3
	// forwardFanout is the number of routers to which an update is forwarded at
	// once.
	forwardFanout = 4
	// forwardDelay is how long updates are collected before they are forwarded.
	forwardDelay = 100 * time.Millisecond
	// updateLifetime is how long an update is repeated in heartbeats.
	updateLifetime = 3 * time.Second
	// maxUpdatesPerHeartbeat bounds the repeated updates in one heartbeat.
	maxUpdatesPerHeartbeat = 64
	// viewChangeDelay is how long changes are collected before the view changes.
	viewChangeDelay = 200 * time.Millisecond
	// syncInterval is the minimum time between two full lists sent because of
	// different digests.
	syncInterval = 5 * time.Second
	// fullListIntervalPerMember, times the number of known members, is the
	// minimum time between two full lists sent to new routers.
	fullListIntervalPerMember = 20 * time.Millisecond
	// initialSampleSize is the number of members that a new router receives
	// when no full list may be sent to it.
	initialSampleSize = 8
	// maxAllowedSilence bounds the time without a heartbeat that a watcher
	// accepts from a router whose suspicions others have refuted.
	maxAllowedSilence = time.Minute
	// removeDeadAfter is how long dead members are retained.
	removeDeadAfter = 10 * time.Minute
)

// Options configure a Table.
type Options struct {
	// Self is this router.
	Self view.Router
	// Seeds are the peer addresses that the router contacts to join the fleet.
	Seeds []netip.AddrPort
	// Random is the source for the choice of random peers.
	Random *rand.Rand
}

// member is the table's record of one router.
type member struct {
	Member
	// ringPosition is the hash of the router's name, which orders the ring.
	ringPosition uint64
	// digestPart is the member's part of the digest; zero while it is dead.
	digestPart uint64
	dead       bool
	// deadAt is when a suspected member is to be declared dead, or when a dead
	// member was.
	deadAt time.Time
	// heardAt is when the last heartbeat from the router itself arrived.
	heardAt time.Time
	// watchedSince is the instant from which on this router expects the
	// member's heartbeats; zero while it does not expect any.
	watchedSince time.Time
	// allowedSilence is the time without a heartbeat after which this router
	// suspects the member.
	allowedSilence time.Duration
	// changedAt is when the member last changed, apart from changes that were
	// merged from a full list.
	changedAt time.Time
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
	vmList  map[string]VM // nil until the first VM list arrives
	// ring holds the live members, self included, by ringPosition. ringStale is
	// set when it must be rebuilt.
	ring      []*member
	ringStale bool

	heartbeatAt     time.Time // when the next heartbeats are due
	checkAt         time.Time // when deadlines are checked next
	forwardAt       time.Time // when the collected updates are forwarded; zero for none
	viewChangeAt    time.Time // when the view changes; zero for none
	nextSyncAt      time.Time // before this instant no full list is sent because of a digest
	nextFullListAt  time.Time // before this instant no full list is sent to a new router
	toForward       map[view.RouterID]bool
	suppressForward bool // set while a full list is merged, which is not forwarded
	digest          uint64
	lastView        []view.Router // the routers of the last Change

	out []Output
}

// New returns the table of a router that knows only itself. The table produces
// outputs from its first Step on.
func New(o Options) *Table {
	self := newMember(&Member{Router: o.Self})
	t := &Table{
		options:   o,
		self:      self,
		members:   map[view.RouterID]*member{o.Self.ID: self},
		toForward: make(map[view.RouterID]bool),
	}
	t.ringStale = true
	t.updateDigest(self)
	t.rebuildRing(time.Time{})
	return t
}

func newMember(n *Member) *member {
	return &member{Member: *n, ringPosition: xxhash.Sum64String(string(n.Router.ID)), allowedSilence: suspectAfter}
}

// Step processes one input at the given instant and returns the outputs to
// carry out, in order. The returned slice is valid until the next Step.
func (t *Table) Step(now time.Time, in Input) []Output {
	t.out = t.out[:0]
	t.detectPause(now)
	switch in := in.(type) {
	case Received:
		t.received(now, in)
	case Unreachable:
		t.unreachable(now, in.Router)
	case VMList:
		t.replaceVMList(now, in.VMs)
	case Drain:
		t.drain(now)
	case Leave:
		t.leave()
		return t.out
	case Alarm:
	}
	t.rebuildRing(now)
	if !now.Before(t.checkAt) {
		t.checkAt = now.Add(checkInterval)
		t.checkDeadlines(now)
		t.rebuildRing(now)
	}
	if !now.Before(t.heartbeatAt) {
		t.sendHeartbeats(now)
	}
	t.forward(now)
	t.emitViewChange(now)
	t.emit(Wake{At: t.nextWake()})
	return t.out
}

// detectPause detects that this router itself was paused, and restarts the
// deadlines of the others. Otherwise it would suspect them because of
// heartbeats that it did not process in time.
func (t *Table) detectPause(now time.Time) {
	if t.heartbeatAt.IsZero() || now.Sub(t.heartbeatAt) < suspectAfter/2 {
		return
	}
	t.logDecision(EventPaused, "for", now.Sub(t.heartbeatAt).String())
	for _, m := range t.members {
		if !m.watchedSince.IsZero() {
			m.watchedSince = now
		}
		if m.Suspected && !m.dead {
			m.deadAt = now.Add(deadAfter)
		}
	}
}

// nextWake returns the earliest instant at which something is due.
func (t *Table) nextWake() time.Time {
	at := t.heartbeatAt
	for _, other := range []time.Time{t.checkAt, t.forwardAt, t.viewChangeAt} {
		if !other.IsZero() && other.Before(at) {
			at = other
		}
	}
	return at
}

// emitViewChange emits the changed view once viewChangeDelay has passed.
func (t *Table) emitViewChange(now time.Time) {
	if t.viewChangeAt.IsZero() || now.Before(t.viewChangeAt) {
		return
	}
	t.viewChangeAt = time.Time{}
	var change Change
	for _, m := range t.ring {
		r := m.Router
		if vm, listed := t.vmList[string(r.ID)]; listed && vm.Leaving || now.Before(m.dampedUntil) {
			r.Draining = true
		}
		r.Suspected = m.Suspected
		change.Routers = append(change.Routers, r)
	}
	slices.SortFunc(change.Routers, func(a, b view.Router) int { return compareIDs(a.ID, b.ID) })
	if slices.Equal(change.Routers, t.lastView) {
		return
	}
	t.lastView = change.Routers
	t.emit(change)
}

// scheduleViewChange schedules a new view unless one is scheduled already.
func (t *Table) scheduleViewChange(now time.Time) {
	if t.viewChangeAt.IsZero() {
		t.viewChangeAt = now.Add(viewChangeDelay)
	}
}

func (t *Table) emit(o Output) { t.out = append(t.out, o) }

func (t *Table) logDecision(event string, fields ...string) {
	t.emit(Decision{Event: event, Fields: fields})
}
