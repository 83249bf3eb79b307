package admission

import (
	"time"

	"hyssopreach/internal/state/view"
)

const (
	// homeDomainInterval is the time between two decisions on the home domains.
	homeDomainInterval = 500 * time.Millisecond
	// enterDomainShare is the part of an organisation's requested work that must come
	// through the routers of one failure domain for this to become its home domain, and
	// leaveDomainShare that below which it ceases to be. The distance keeps homes where
	// they are while single callers come and go.
	enterDomainShare, leaveDomainShare = 0.85, 0.6
	// fullDomainUse is the part of the prefill speed of a failure domain from which on an
	// organisation keeps only half of its prefixes there, and freeDomainUse that below which
	// it keeps all. The endpoints of the domain are homes of other organisations as well.
	fullDomainUse, freeDomainUse = 0.4, 0.25
)

// homeDomain is the failure domain in which an organisation's prompts are processed by
// preference.
type homeDomain struct {
	name string
	// half is set if only half of the organisation's prefixes have their homes there.
	half bool
}

// homeDomains are the home domains of the organisations whose callers use the routers of
// one failure domain. Their prefixes are processed only there in any case, so homes there
// save the bytes between failure domains and cost no prefix processed again. Prefixes of
// organisations whose callers use routers of several ones have homes anywhere.
type homeDomains struct {
	// enabled is Options.PlacesPrompts.
	enabled        bool
	byOrganisation map[string]homeDomain
	nextAt         time.Time
	// ofRouter holds the failure domain of each router.
	ofRouter map[view.RouterID]string
}

// setRouters replaces the routers.
func (h *homeDomains) setRouters(v *view.Snapshot) {
	if !h.enabled {
		return
	}
	h.ofRouter = make(map[view.RouterID]string, len(v.Routers))
	for i := range v.Routers {
		h.ofRouter[v.Routers[i].ID] = v.Routers[i].FailureDomain
	}
}

// updateHomeDomains decides on the home domains by the last reports of all routers. All
// routers decide alike, but for the age of the reports.
func (p *Policy) updateHomeDomains(now time.Time) {
	h := &p.homeDomains
	if !h.enabled || now.Before(h.nextAt) {
		return
	}
	h.nextAt = now.Add(homeDomainInterval)
	requested := map[string]map[string]float64{}
	add := func(organisation, domain string, rate float64) {
		if requested[organisation] == nil {
			requested[organisation] = map[string]float64{}
		}
		requested[organisation][domain] += rate
	}
	for name, own := range p.usage.own {
		add(name, p.domain, own.requested.perSecond(now))
	}
	for id, reported := range p.usage.fleet.peers {
		for name, o := range reported.rates {
			add(name, h.ofRouter[id], o.requested)
		}
	}
	speeds := map[string]float64{}
	for _, l := range p.pools {
		for _, e := range l.endpoints {
			if p.usable(now, e) {
				speeds[e.FailureDomain] += e.speed * 1000
			}
		}
	}
	received := p.usage.fleetRates(now)
	next := make(map[string]homeDomain, len(h.byOrganisation))
	for name, byDomain := range requested {
		if d, ok := chooseHomeDomain(h.byOrganisation[name], byDomain, received[name].received, speeds); ok {
			next[name] = d
		}
	}
	h.byOrganisation = next
}

// chooseHomeDomain returns the home domain of an organisation, and false if it has none.
func chooseHomeDomain(before homeDomain, requested map[string]float64, received float64, speeds map[string]float64) (homeDomain, bool) {
	total, best := 0.0, ""
	for domain, rate := range requested {
		total += rate
		if best == "" || rate > requested[best] || rate == requested[best] && domain < best {
			best = domain
		}
	}
	share := enterDomainShare
	if best == before.name {
		share = leaveDomainShare
	}
	if total < 1 || best == "" || requested[best] < share*total || speeds[best] <= 0 {
		return homeDomain{}, false
	}
	use := fullDomainUse
	if before.half && best == before.name {
		use = freeDomainUse
	}
	return homeDomain{name: best, half: received > use*speeds[best]}, true
}

// homeDomainOf returns the failure domain in which the homes of the request's prefix must
// be; empty for any. It is empty if too few endpoints of the domain are usable.
func (p *Policy) homeDomainOf(now time.Time, l *pool, w *queuedRequest) string {
	d, ok := p.homeDomains.byOrganisation[w.request.Organisation]
	// The half is taken by a bit of the hash that the rendezvous scores do not depend on.
	if !ok || d.half && rendezvousScore(w.prefixKey, 0)&1 == 0 {
		return ""
	}
	usable := 0
	for _, e := range l.endpoints {
		if e.FailureDomain == d.name && p.usable(now, e) {
			if usable++; usable == homeCount {
				return d.name
			}
		}
	}
	return ""
}
