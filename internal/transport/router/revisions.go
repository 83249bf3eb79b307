package router

import (
	"context"
	"time"

	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

const (
	// fleetStatusTimeout bounds the wait for the other routers to report the
	// revisions that they have in force.
	fleetStatusTimeout = 2 * time.Second
	// fleetStatusPollInterval is the time between two checks of which routers
	// have answered.
	fleetStatusPollInterval = 20 * time.Millisecond
	// versionRequestInterval is the time after which the request is repeated to
	// routers that have not answered, since a message may be lost.
	versionRequestInterval = 250 * time.Millisecond
)

// FleetStatus states the revision in force on each router, as reported to the
// router that serves the status.
type FleetStatus struct {
	// Revision is the revision in force on the router that serves the status,
	// and InForceSince the instant at which it came into force there.
	Revision     uint64
	InForceSince time.Time
	Routers      []MemberRevision
}

// MemberRevision is the entry of one router in a FleetStatus.
type MemberRevision struct {
	Router        view.RouterID
	FailureDomain string
	Revision      uint64
	Draining      bool
	Suspected     bool
	// Answered is false for a router that did not answer the query. Revision is
	// then the revision that it last reported, at the instant HeardAt.
	Answered bool
	HeardAt  time.Time
}

// Lagging returns the routers that have a lower revision than r in force, or did
// not answer.
func (s *FleetStatus) Lagging(r uint64) []MemberRevision {
	var lagging []MemberRevision
	for _, member := range s.Routers {
		if member.Revision < r || !member.Answered {
			lagging = append(lagging, member)
		}
	}
	return lagging
}

// reportedVersion is the version that a router last reported to be in force, and
// the instant of that report.
type reportedVersion struct {
	version revision.Version
	at      time.Time
}

// recordVersion records a version that a router has reported.
func (c *configurations) recordVersion(from view.RouterID, v revision.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported[from] = reportedVersion{v, time.Now()}
}

// lastReported returns the last version that the router has reported.
func (c *configurations) lastReported(id view.RouterID) reportedVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported[id]
}

// requestVersions sends an offer of the zero version to each router that has not
// answered. A router that has any version in force answers a lower offer with
// an offer of its own.
func (c *configurations) requestVersions(routers []MemberRevision) {
	for i := range routers {
		if !routers[i].Answered {
			c.peers.Send(routers[i].Router, &wire.Message{Kind: &wire.Message_ConfigurationOffer{ConfigurationOffer: &wire.ConfigurationOffer{}}})
		}
	}
}

// fleetStatus queries all routers for their versions and waits for the answers,
// but no longer than fleetStatusTimeout.
func (r *Router) fleetStatus(ctx context.Context) FleetStatus {
	routers := r.fleet.View().Routers
	requestedAt := time.Now()
	nextRequestAt := requestedAt
	ctx, cancel := context.WithTimeout(ctx, fleetStatusTimeout)
	defer cancel()
	poll := time.NewTicker(fleetStatusPollInterval)
	defer poll.Stop()
	for {
		status, complete := r.collectStatus(requestedAt, routers)
		if complete || ctx.Err() != nil {
			return status
		}
		if now := time.Now(); !now.Before(nextRequestAt) {
			nextRequestAt = now.Add(versionRequestInterval)
			r.configurations.requestVersions(status.Routers)
		}
		select {
		case <-ctx.Done():
		case <-poll.C:
		}
	}
}

// collectStatus builds a FleetStatus in which a router counts as having answered
// if it has reported a version since requestedAt. It returns true if all routers
// have answered.
func (r *Router) collectStatus(requestedAt time.Time, routers []view.Router) (FleetStatus, bool) {
	status := FleetStatus{Revision: r.fleet.configuration().Revision, InForceSince: r.fleet.InForceSince().UTC()}
	complete := true
	for i := range routers {
		member := MemberRevision{
			Router: routers[i].ID, FailureDomain: routers[i].FailureDomain,
			Draining: routers[i].Draining, Suspected: routers[i].Suspected,
		}
		if member.Router == r.self.ID {
			member.Revision, member.Answered, member.HeardAt = status.Revision, true, time.Now().UTC()
		} else {
			last := r.configurations.lastReported(member.Router)
			member.Revision, member.HeardAt = last.version.Revision, last.at.UTC()
			member.Answered = !last.at.Before(requestedAt)
		}
		complete = complete && member.Answered
		status.Routers = append(status.Routers, member)
	}
	return status, complete
}
