package dispatch

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

const (
	// grantLifetime is how long a grant is good without being renewed.
	grantLifetime = 4 * time.Second
	// unseenGrace is the age from which a grant that its receiver does not
	// list counts as lost on the way.
	unseenGrace = time.Second
	// bidLifetime is how long a bid is good without any sign of its sender.
	bidLifetime = 15 * time.Second
	// takeoverHold is how long a new dispatcher listens before it grants.
	takeoverHold = 100 * time.Millisecond
	// shortageFirst and shortageLast bound the time between two announcements
	// of the same room; it doubles from one to the other.
	shortageFirst = 5 * time.Millisecond
	shortageLast  = time.Second
)

// grant is a slot that is out.
type grant struct {
	to    view.RouterID
	line  schedule.QueueKey
	given time.Time
	until time.Time
	// renewed grants were given by another dispatcher.
	renewed bool
	began   bool // its time to first token has been taken
}

// endpoint is the dispatcher of one endpoint.
type endpoint struct {
	id        view.EndpointID
	pool      string
	owned     bool
	board     board
	limit     limit
	grants    map[schedule.GrantID]*grant
	exclusive schedule.GrantID // zero if none runs
	holdUntil time.Time
	// short says that there was room without bids when last looked at.
	// announceAt is the instant of the next announcement of it, announcedAt
	// that of the last, and announceGap the distance to the one after next.
	short       bool
	announceAt  time.Time
	announcedAt time.Time
	announceGap time.Duration
}

func newEndpoint(id view.EndpointID, pool string, counters *account.Counters) *endpoint {
	return &endpoint{
		id: id, pool: pool, board: newBoard(id, counters), limit: newLimit(),
		grants: map[schedule.GrantID]*grant{},
	}
}

// release frees the grant's slot and returns the grant; nil if it is unknown.
func (e *endpoint) release(id schedule.GrantID) *grant {
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

// releaseWhere frees the grants that match.
func (e *endpoint) releaseWhere(matches func(*grant) bool) {
	for id, g := range e.grants {
		if matches(g) {
			e.release(id)
		}
	}
}

// renew takes what a router says it runs here.
func (e *endpoint) renew(now time.Time, from view.RouterID, m *schedule.Renewal) {
	for _, r := range m.Running {
		g := e.grants[r.Grant]
		if g == nil {
			g = &grant{to: from, line: r.Queue, given: now, renewed: true}
			e.grants[r.Grant] = g
			if r.Queue.Exclusive {
				e.exclusive = r.Grant
			}
		}
		g.until = now.Add(grantLifetime)
		if r.FirstToken > 0 && !g.began {
			g.began = true
			e.limit.began(now, r.FirstToken, len(e.grants))
		}
	}
	e.releaseWhere(func(g *grant) bool {
		return g.to == from && now.Sub(g.given) > unseenGrace && !g.until.Equal(now.Add(grantLifetime))
	})
	e.limit.atLeast(len(e.grants))
}

// end takes a grant back.
func (e *endpoint) end(now time.Time, m *schedule.Return) {
	running := len(e.grants)
	g := e.release(m.Grant)
	if g == nil {
		return
	}
	if m.FirstToken > 0 && !g.began {
		e.limit.began(now, m.FirstToken, running)
	}
	if m.Result == schedule.ResultFinished && !g.renewed {
		e.limit.travelled(now.Sub(g.given) - m.Elapsed)
	}
	e.limit.ended(now, m, running)
}

// announce reports whether a shortage of the given room is due to be told. The
// first announcement after the endpoint was full goes out at once, later ones
// at growing distances.
func (e *endpoint) announce(now time.Time) bool {
	if !e.short {
		e.short = true
		e.announceAt = e.announcedAt.Add(shortageFirst)
		e.announceGap = shortageFirst
	}
	if now.Before(e.announceAt) {
		return false
	}
	e.announcedAt = now
	e.announceAt = now.Add(e.announceGap)
	e.announceGap = min(2*e.announceGap, shortageLast)
	return true
}
