package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/configuration"
	"hyssopreach/internal/coordination/membership"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/share"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/transport/platform"
)

// startComponents starts the components that work in the background. They are
// closed in the reverse order.
func (r *Router) startComponents() {
	s, o := r.options.Settings, r.options
	r.members = startMembers(
		membership.Options{Self: r.self, Seeds: s.Peers, Random: random(o.Incarnation, "membership")},
		r.fleet, r.peers, o.Logger)
	r.configurations = startConfigurations(
		configuration.Options{Self: r.self.ID, Random: random(o.Incarnation, "configuration")},
		platform.NewLog(s.LogAddress, o.Network.DialContext), r.fleet, r.peers, o.Logger)
	r.suspects = startSuspects(suspect.Options{Self: r.self.ID, Isolate: true, ConfirmTimeout: isolatedEvidenceTimeout}, r.fleet, r.peers, o.Logger, o.Registry)
	endpoints := startEndpoints(r, platform.NewVMList(s.VMListAddress, o.Network.DialContext))
	r.claims = startClaims(r)
	r.demand = newDemand(r.suspects)
	placements := startPlacements(r, r.demand)
	r.components = append(r.components, r.members, r.configurations, r.suspects, endpoints, r.claims, placements)
	r.watchers = append(r.watchers, endpoints, r.claims, r.demand)
}

// random returns a random number generator for one component. Each component
// has its own sequence, derived from the incarnation and the component's name.
func random(incarnation uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(part)))
}

// announceDrain announces to the fleet that this router takes no new callers.
func (r *Router) announceDrain() { r.members.drain() }

// defaultScheduler returns the scheduling policy that is used if Options names
// none.
func defaultScheduler(seed uint64) schedule.Scheduler {
	return share.New(share.Options{Source: rand.NewPCG(seed, 0)})
}

// sleep waits for the given duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
