package router

import (
	"context"
	"time"

	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

const (
	// answerWait bounds the wait for the routers that are asked what they
	// have in force.
	answerWait = 2 * time.Second
	// answerPoll is the time between two looks at who has answered.
	answerPoll = 20 * time.Millisecond
	// askInterval is the time after which the silent are asked again, since
	// an offer may be lost.
	askInterval = 250 * time.Millisecond
)

// FleetStatus tells what is in force on each router, as one router hears it.
type FleetStatus struct {
	// Revision is the one in force on the router that was asked; InForceSince
	// is since when.
	Revision     uint64
	InForceSince time.Time
	Routers      []MemberRevision
}

// MemberRevision is one line of a FleetStatus.
type MemberRevision struct {
	Router        view.RouterID
	FailureDomain string
	Revision      uint64
	Draining      bool
	Suspected     bool
	// Answered is false for a router that said nothing when it was asked;
	// Revision is then what it said last, at the instant HeardAt.
	Answered bool
	HeardAt  time.Time
}

// Lagging returns the routers that have a lower revision in force, or did not
// answer.
func (s *FleetStatus) Lagging(r uint64) []MemberRevision {
	var lagging []MemberRevision
	for _, one := range s.Routers {
		if one.Revision < r || !one.Answered {
			lagging = append(lagging, one)
		}
	}
	return lagging
}

// heard is what a router last said that it has in force.
type heard struct {
	version revision.Version
	at      time.Time
}

func (c *configurations) remember(from view.RouterID, v revision.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[from] = heard{v, time.Now()}
}

func (c *configurations) said(id view.RouterID) heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard[id]
}

// ask sends the lowest offer there is to each router that has not answered,
// and everyone who has anything in force answers with an offer of its own.
func (c *configurations) ask(routers []MemberRevision) {
	for i := range routers {
		if !routers[i].Answered {
			c.peers.Send(routers[i].Router, &wire.Message{Kind: &wire.Message_ConfigurationOffer{ConfigurationOffer: &wire.ConfigurationOffer{}}})
		}
	}
}

// fleetStatus asks all routers and waits a while for their answers.
func (r *Router) fleetStatus(ctx context.Context) FleetStatus {
	routers := r.fleet.View().Routers
	asked := time.Now()
	askAt := asked
	ctx, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	poll := time.NewTicker(answerPoll)
	defer poll.Stop()
	for {
		status, whole := r.heardSince(asked, routers)
		if whole || ctx.Err() != nil {
			return status
		}
		if now := time.Now(); !now.Before(askAt) {
			askAt = now.Add(askInterval)
			r.configurations.ask(status.Routers)
		}
		select {
		case <-ctx.Done():
		case <-poll.C:
		}
	}
}

func (r *Router) heardSince(asked time.Time, routers []view.Router) (FleetStatus, bool) {
	status := FleetStatus{Revision: r.fleet.configuration().Revision, InForceSince: r.fleet.InForceSince().UTC()}
	whole := true
	for i := range routers {
		one := MemberRevision{
			Router: routers[i].ID, FailureDomain: routers[i].FailureDomain,
			Draining: routers[i].Draining, Suspected: routers[i].Suspected,
		}
		if one.Router == r.self.ID {
			one.Revision, one.Answered, one.HeardAt = status.Revision, true, time.Now().UTC()
		} else {
			last := r.configurations.said(one.Router)
			one.Revision, one.HeardAt = last.version.Revision, last.at.UTC()
			one.Answered = !last.at.Before(asked)
		}
		whole = whole && one.Answered
		status.Routers = append(status.Routers, one)
	}
	return status, whole
}
