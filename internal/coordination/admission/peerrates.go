package admission

import (
	"time"

	"hyssopreach/internal/state/view"
)

// peerRates are the rates of organisations that a peer reported at an instant.
type peerRates struct {
	rates map[string]usageRates
	at    time.Time
}

// organisationSum is the sum of the rates that peers reported for an organisation.
type organisationSum struct {
	usageRates
	// peers is the number of peers that have reported the organisation. Without any,
	// the sum is removed, so that rounding errors do not add up.
	peers int
}

// fleetSums are the rates that other routers reported last, with their sums, which are
// updated with each report: computing them anew costs the product of the numbers of
// routers and organisations.
type fleetSums struct {
	peers map[view.RouterID]peerRates
	sums  map[string]*organisationSum
}

func newFleetSums() fleetSums {
	return fleetSums{peers: map[view.RouterID]peerRates{}, sums: map[string]*organisationSum{}}
}

// set replaces the rates that a peer reported.
func (f *fleetSums) set(from view.RouterID, reported peerRates) {
	f.remove(from)
	f.peers[from] = reported
	for name, o := range reported.rates {
		s := f.sums[name]
		if s == nil {
			s = &organisationSum{}
			f.sums[name] = s
		}
		s.usageRates = s.plus(o)
		s.peers++
	}
}

// remove removes the rates that a peer reported.
func (f *fleetSums) remove(from view.RouterID) {
	for name, o := range f.peers[from].rates {
		s := f.sums[name]
		if s.peers--; s.peers == 0 {
			delete(f.sums, name)
			continue
		}
		s.usageRates = s.minus(o)
	}
	delete(f.peers, from)
}

// requested returns the work that peers reported to be requested of them by an
// organisation.
func (f *fleetSums) requested(organisation string) float64 {
	if s := f.sums[organisation]; s != nil {
		return s.requested
	}
	return 0
}

// retain removes the rates reported by peers that are not among the routers.
func (f *fleetSums) retain(routers map[view.RouterID]bool) {
	for id := range f.peers {
		if !routers[id] {
			f.remove(id)
		}
	}
}

// expire removes the rates that peers reported before the given instant.
func (f *fleetSums) expire(before time.Time) {
	for id, reported := range f.peers {
		if reported.at.Before(before) {
			f.remove(id)
		}
	}
}
