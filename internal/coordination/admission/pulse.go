package admission

import (
	"slices"
	"strings"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// pulseInterval is the least time between two pulses.
	pulseInterval = 100 * time.Millisecond
	// pulsesPerSecond bounds the pulses that a router sends; in a large fleet
	// they go out less often.
	pulsesPerSecond = 70
)

// sendPulse tells the other routers what this one keeps at the endpoints.
func (p *Policy) sendPulse(now time.Time) {
	if now.Before(p.pulseAt) {
		return
	}
	others := len(p.view.Routers) - 1
	p.pulseAt = now.Add(max(pulseInterval, time.Duration(others)*time.Second/pulsesPerSecond))
	if others <= 0 {
		return
	}
	m := p.pulse(now)
	for i := range p.view.Routers {
		if id := p.view.Routers[i].ID; id != p.view.Self {
			p.emit(schedule.Send{To: id, Message: m})
		}
	}
}

func (p *Policy) pulse(now time.Time) *schedule.Pulse {
	m := &schedule.Pulse{}
	for _, e := range p.endpoints {
		if e.own.requests > 0 {
			m.Endpoints = append(m.Endpoints, schedule.EndpointLoad{
				Endpoint: e.ID, Requests: e.own.requests, Backlog: e.own.backlog, Memory: e.own.memory,
			})
		}
	}
	slices.SortFunc(m.Endpoints, func(a, b schedule.EndpointLoad) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	for name, a := range p.usage.own {
		o := schedule.OrganisationUse{Organisation: name, Asked: a.asked.perSecond(now), Received: a.received.perSecond(now)}
		if o.Asked >= 1 {
			m.Organisations = append(m.Organisations, o)
		}
	}
	slices.SortFunc(m.Organisations, func(a, b schedule.OrganisationUse) int {
		return strings.Compare(a.Organisation, b.Organisation)
	})
	return m
}

// receive takes a peer's pulse, which replaces its earlier one.
func (p *Policy) receive(now time.Time, from view.RouterID, m *schedule.Pulse) {
	for _, e := range p.endpoints {
		e.tell(from, peerLoad{})
	}
	for _, l := range m.Endpoints {
		if e := p.endpoints[l.Endpoint]; e != nil {
			e.tell(from, peerLoad{load{l.Requests, l.Backlog, l.Memory}, now})
		}
	}
	told := make(map[string]use, len(m.Organisations))
	for _, o := range m.Organisations {
		told[o.Organisation] = use{o.Asked, o.Received}
	}
	p.usage.peers[from] = told
}
