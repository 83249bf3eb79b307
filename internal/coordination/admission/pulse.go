package admission

import (
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// minPulseInterval is the minimum time between two broadcasts of a Pulse.
	minPulseInterval = 100 * time.Millisecond
	// minShortageInterval is the minimum time between a Pulse and an early one, which
	// reports that a shortage has begun.
	minShortageInterval = 200 * time.Millisecond
	// maxPulsesPerSecond is the maximum number of Pulse messages that a router
	// sends per second, one for each peer and broadcast. In a large fleet the
	// broadcasts are therefore less frequent.
	maxPulsesPerSecond = 70
)

// pulseInterval returns the time between two broadcasts of a Pulse.
func (p *Policy) pulseInterval() time.Duration {
	return max(minPulseInterval, time.Duration(len(p.view.Routers)-1)*time.Second/maxPulsesPerSecond)
}

// maxUsefulInterval is the longest time between two reports with which the calls
// without prompts in them are of use. It is some times plainCallTime.
const maxUsefulInterval = 300 * time.Millisecond

// knowsCalls reports whether routers know of each other's calls without prompts. In a
// larger fleet these are over long before the next report. An endpoint would then be
// avoided, or taken for full, by all routers at once, and overrun when the next reports
// come, while a choice at random spreads the calls well.
func (p *Policy) knowsCalls() bool { return p.pulseInterval() <= maxUsefulInterval }

// reportLifetime returns the time for which the loads in a peer's Pulse are taken
// into account. It exceeds the time until the next one.
func (p *Policy) reportLifetime() time.Duration {
	return max(minReportLifetime, p.pulseInterval()*3/2)
}

// ratesLifetime returns the time for which the rates of organisations in a peer's
// Pulse are taken into account. It allows for one that is lost or late: the bound
// must not end because the router that is short of processor time sends late.
func (p *Policy) ratesLifetime() time.Duration {
	return max(minReportLifetime, p.pulseInterval()*5/2)
}

// sendPulse sends this router's loads and usage to all other routers if the
// last broadcast was long enough ago.
func (p *Policy) sendPulse(now time.Time) {
	if now.Before(p.nextPulseAt) {
		return
	}
	p.nextPulseAt = now.Add(p.pulseInterval())
	if len(p.view.Routers) <= 1 {
		return
	}
	m := p.pulse(now)
	p.lastPulseAt = now
	for i := range p.view.Routers {
		if id := p.view.Routers[i].ID; id != p.view.Self {
			p.emit(schedule.Send{To: id, Message: m})
		}
	}
}

// shortageInterval returns the time between a Pulse and an early one. However often
// shortages begin, a router sends no more than twice the usual number of messages.
func (p *Policy) shortageInterval() time.Duration {
	return max(minShortageInterval, p.pulseInterval()/2)
}

// advancePulse lets the next Pulse be sent early if an organisation is short since the
// last one, so that the bound on others does not begin an interval later.
func (p *Policy) advancePulse(now time.Time, rejected []schedule.RejectedRequest) {
	at := p.lastPulseAt.Add(p.shortageInterval())
	if !at.Before(p.nextPulseAt) {
		return
	}
	for i := range rejected {
		if p.usage.shortageBegins(now, rejected[i].Organisation) {
			p.nextPulseAt = at
			return
		}
	}
}

// pulse returns the Pulse of this router, sorted by endpoint and organisation.
// The samples in it are those taken since the last call.
func (p *Policy) pulse(now time.Time) *schedule.Pulse {
	m := &schedule.Pulse{Busy: p.busy}
	for _, e := range p.endpoints {
		l := schedule.EndpointLoad{
			Endpoint: e.ID, Requests: e.own.requests, Backlog: e.own.backlog, Memory: e.own.memory,
			Samples: e.measured.takeUnreported(),
		}
		if l.Requests > 0 || l.Samples.Count > 0 {
			m.Endpoints = append(m.Endpoints, l)
		}
	}
	slices.SortFunc(m.Endpoints, func(a, b schedule.EndpointLoad) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	for name, a := range p.usage.own {
		own := p.usage.ownRates(now, name, a)
		own.unserved = max(own.unserved, a.takeRefused(now, p.lastPulseAt))
		o := schedule.OrganisationUse{Organisation: name, Requested: own.requested, Received: own.received, Unserved: own.unserved}
		a.reported, a.reportedShort = own.requested, p.usage.isShort(name, own)
		if o.Requested >= 1 {
			m.Organisations = append(m.Organisations, o)
		}
	}
	slices.SortFunc(m.Organisations, func(a, b schedule.OrganisationUse) int {
		return strings.Compare(a.Organisation, b.Organisation)
	})
	return m
}

// receivePulse replaces the loads and rates of a peer by those of its newest
// Pulse.
func (p *Policy) receivePulse(now time.Time, from view.RouterID, m *schedule.Pulse) {
	loaded := p.loadedBy[from]
	for _, e := range loaded {
		e.setPeerLoad(from, peerLoad{})
	}
	clear(loaded)
	loaded = loaded[:0]
	for _, l := range m.Endpoints {
		e := p.endpoints[l.Endpoint]
		if e == nil {
			continue
		}
		// Requests with prompts occupy memory.
		if l.Memory > 0 || p.knowsCalls() {
			e.setPeerLoad(from, e.newPeerLoad(now, load{l.Requests, l.Backlog, l.Memory}))
			loaded = append(loaded, e)
		}
		e.measured.add(now, l.Samples)
		p.observePace(now, e, l.Samples)
	}
	p.loadedBy[from] = loaded
	reported := make(map[string]usageRates, len(m.Organisations))
	for _, o := range m.Organisations {
		reported[o.Organisation] = usageRates{o.Requested, o.Received, o.Unserved}
	}
	p.usage.fleet.set(from, peerRates{reported, now})
}
