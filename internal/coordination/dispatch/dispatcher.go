package dispatch

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

const (
	// grantLifetime is how long a grant is valid without a renewal.
	grantLifetime = 4 * time.Second
	// unlistedGrace is the age from which a grant that its receiver does not list
	// in a renewal is assumed to be lost in transit.
	unlistedGrace = time.Second
	// bidLifetime is how long a bid is valid after its sender's last message about
	// the queue.
	bidLifetime = 15 * time.Second
	// takeoverHold is how long a new dispatcher collects renewals before it
	// grants.
	takeoverHold = 100 * time.Millisecond
	// minAnnounceInterval and maxAnnounceInterval bound the time between two
	// announcements of the same free slots, which doubles with each one.
	minAnnounceInterval = 5 * time.Millisecond
	maxAnnounceInterval = time.Second
)

// grant is a slot given to a router that has not returned it.
type grant struct {
	router    view.RouterID
	queue     schedule.QueueKey
	grantedAt time.Time
	until     time.Time
	// fromRenewal is set for a grant that was learnt from a renewal, and so was
	// given by another dispatcher.
	fromRenewal    bool
	firstTokenSeen bool // the time to first token has been recorded
}

// dispatcher grants the slots of one endpoint.
type dispatcher struct {
	id        view.EndpointID
	pool      string
	owned     bool
	bids      endpointBids
	limit     limit
	grants    map[schedule.GrantID]*grant
	exclusive schedule.GrantID // the exclusive grant in use; zero if none
	holdUntil time.Time
	// hasUnusedSlots is set if the endpoint had free slots and no bids when last
	// examined. announceAt is the instant of the next announcement, announcedAt
	// that of the last, and announceInterval the time from the next announcement
	// to the one after it.
	hasUnusedSlots   bool
	announceAt       time.Time
	announcedAt      time.Time
	announceInterval time.Duration
}

func newDispatcher(id view.EndpointID, pool string, counters *account.Counters) *dispatcher {
	return &dispatcher{
		id: id, pool: pool, bids: newEndpointBids(id, counters), limit: newLimit(),
		grants: map[schedule.GrantID]*grant{},
	}
}

// release frees the grant's slot and returns the grant; nil if it is unknown.
func (e *dispatcher) release(id schedule.GrantID) *grant {
	g := e.grants[id]
	if g == nil {
		return nil
	}
	delete(e.grants, id)
	if e.exclusive == id {
		e.exclusive = 0
	}
	return g
}

// releaseWhere frees the slots of the grants that match.
func (e *dispatcher) releaseWhere(matches func(*grant) bool) {
	for id, g := range e.grants {
		if matches(g) {
			e.release(id)
		}
	}
}

// renew handles a router's list of its running requests at the endpoint.
func (e *dispatcher) renew(now time.Time, from view.RouterID, m *schedule.Renewal) {
	for _, r := range m.Running {
		g := e.grants[r.Grant]
		if g == nil {
			g = &grant{router: from, queue: r.Queue, grantedAt: now, fromRenewal: true}
			e.grants[r.Grant] = g
			if r.Queue.Exclusive {
				e.exclusive = r.Grant
			}
		}
		g.until = now.Add(grantLifetime)
		if r.FirstToken > 0 && !g.firstTokenSeen {
			g.firstTokenSeen = true
			e.limit.observeFirstToken(now, r.FirstToken, len(e.grants))
		}
	}
	// A grant that the loop above has not renewed is not listed.
	e.releaseWhere(func(g *grant) bool {
		return g.router == from && now.Sub(g.grantedAt) > unlistedGrace && !g.until.Equal(now.Add(grantLifetime))
	})
	e.limit.raiseTo(len(e.grants))
}

// end handles the return of a grant.
func (e *dispatcher) end(now time.Time, m *schedule.Return) {
	running := len(e.grants)
	g := e.release(m.Grant)
	if g == nil {
		return
	}
	if m.FirstToken > 0 && !g.firstTokenSeen {
		e.limit.observeFirstToken(now, m.FirstToken, running)
	}
	if m.Result == schedule.ResultFinished && !g.fromRenewal {
		e.limit.observeTransit(now.Sub(g.grantedAt) - m.Elapsed)
	}
	e.limit.observeEnd(now, m, running)
}

// announcementDue reports whether the free slots must be announced now, and
// schedules the next announcement. The first one after the endpoint was full is
// due at once, but not within minAnnounceInterval of the last; later ones are
// due at growing intervals.
func (e *dispatcher) announcementDue(now time.Time) bool {
	if !e.hasUnusedSlots {
		e.hasUnusedSlots = true
		e.announceAt = e.announcedAt.Add(minAnnounceInterval)
		e.announceInterval = minAnnounceInterval
	}
	if now.Before(e.announceAt) {
		return false
	}
	e.announcedAt = now
	e.announceAt = now.Add(e.announceInterval)
	e.announceInterval = min(2*e.announceInterval, maxAnnounceInterval)
	return true
}
