package router

import (
	"math/rand/v2"
	"slices"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/share"
	"hyssopreach/internal/transport/platform"
)

// startComponents starts the parts that work in the background. They are
// closed in the opposite order.
func (r *Router) startComponents() {
	s, o := r.options.Settings, r.options
	r.components = append(r.components, startFollower(platform.NewLog(s.LogAddress, o.Network.DialContext), r.fleet, o.Logger))
	e := newEndpoints(r.fleet, r.peers, r.client, platform.NewVMList(s.VMListAddress, o.Network.DialContext),
		r.scheduling.Input, o.Logger, o.Incarnation)
	e.start()
	r.components = append(r.components, e)
	r.watchers = append(r.watchers, e)
}

// announceDrain tells the fleet that this router takes no new callers.
func (r *Router) announceDrain() {
	routers := slices.Clone(r.fleet.View().Routers)
	for i := range routers {
		if routers[i].ID == r.self.ID {
			routers[i].Draining = true
		}
	}
	r.fleet.setRouters(routers)
}

// defaultScheduler returns the policy that a router follows unless it is given
// another.
func defaultScheduler(seed uint64) schedule.Scheduler {
	return share.New(share.Options{Source: rand.NewPCG(seed, 0)})
}
