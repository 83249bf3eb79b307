package recovery

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

// retainFor is the time for which the slots of an endpoint are retained after their last
// use, at least one interval. An endpoint may be missing from a list for a moment, or
// become cold again.
const retainFor = 10 * time.Second

// Limiter is the part of one router in the limit on requests to cold endpoints. It is
// not safe for concurrent use.
type Limiter struct {
	bounds Bounds
	// namesPeers is set if the settings of this router name other routers.
	namesPeers bool
	fleet      fleet
	endpoints  map[view.EndpointID]*slots
	expiredAt  time.Time
}

// Permit allows one request at a cold endpoint. The zero Permit is not valid.
type Permit struct {
	endpoint view.EndpointID
	slot     int
	// takenAt and notBefore are when the slot was used, and could be used, for it.
	takenAt, notBefore time.Time
}

// Valid reports whether the permit was granted.
func (p Permit) Valid() bool { return p.endpoint != "" }

// slots are the slots of one endpoint.
type slots struct {
	rate       float64
	interval   time.Duration
	generation uint64
	// owned are those of this router, and all the instants from which each slot may be
	// used.
	owned []int
	all   []time.Time
	// lastUse is the instant of the last use or change.
	lastUse time.Time
}

// New returns a limiter of a router that has just started. namesPeers states whether the
// router's settings name other routers.
func New(now time.Time, b Bounds, namesPeers bool) *Limiter {
	return &Limiter{
		bounds: b, namesPeers: namesPeers, endpoints: map[view.EndpointID]*slots{},
		fleet: fleet{routers: map[view.RouterID]*router{}, checkedAt: now}, expiredAt: now,
	}
}

// Change replaces the view of the routers. messageInterval is the time between two
// messages of each of them; see Heard.
func (l *Limiter) Change(now time.Time, v *view.Snapshot, messageInterval time.Duration) {
	l.fleet.advance(now)
	l.fleet.update(now, v, messageInterval)
}

// Heard records that a message of another router has arrived.
func (l *Limiter) Heard(now time.Time, from view.RouterID) {
	l.fleet.advance(now)
	l.fleet.heard(now, from)
}

// Advance processes the time that has passed. It must be called every second or more
// often, or slots are not used although there is contact.
func (l *Limiter) Advance(now time.Time) {
	l.fleet.advance(now)
	if now.Sub(l.expiredAt) < retainFor {
		return
	}
	l.expiredAt = now
	maps.DeleteFunc(l.endpoints, func(_ view.EndpointID, s *slots) bool {
		return now.Sub(s.lastUse) > max(retainFor, s.interval)
	})
}

// Available reports whether a request may be started now at a cold endpoint that
// tolerates the given rate.
func (l *Limiter) Available(now time.Time, id view.EndpointID, rate float64) bool {
	_, slot := l.find(now, id, rate)
	return slot >= 0
}

// Take takes a permit, if one is available. Its slot is not available for an interval.
func (l *Limiter) Take(now time.Time, id view.EndpointID, rate float64) Permit {
	s, slot := l.find(now, id, rate)
	if slot < 0 {
		return Permit{}
	}
	p := Permit{id, slot, now, s.all[slot]}
	s.all[slot], s.lastUse = now.Add(s.interval), now
	return p
}

// Return gives back a permit for which nothing was sent. The slot is available again
// unless it has changed since: the time before the permit still counts.
func (l *Limiter) Return(p Permit) {
	s := l.endpoints[p.endpoint]
	if s != nil && p.slot < len(s.all) && s.all[p.slot].Equal(p.takenAt.Add(s.interval)) {
		s.all[p.slot] = p.notBefore
	}
}

// NextAt returns the instant at which the router has permits for the given number of
// requests before one and for that one, if its slots stay as they are. It returns false
// if it has no slot.
func (l *Limiter) NextAt(now time.Time, id view.EndpointID, rate float64, before int) (time.Time, bool) {
	l.fleet.advance(now)
	s := l.slotsOf(now, id, rate)
	usable, from := l.fleet.usable(now, len(s.all), l.namesPeers)
	if from.Before(now) {
		from = now
	}
	count := 0
	var next time.Time
	for _, slot := range s.owned {
		if slot >= usable {
			break
		}
		at := s.all[slot]
		if at.Before(from) {
			at = from
		}
		if count == 0 || at.Before(next) {
			next = at
		}
		count++
	}
	if count == 0 {
		return time.Time{}, false
	}
	return next.Add(time.Duration(before/count) * s.interval), true
}

// Owned returns the number of slots that this router may use now, of all.
func (l *Limiter) Owned(now time.Time, id view.EndpointID, rate float64) (owned, all int) {
	l.fleet.advance(now)
	s := l.slotsOf(now, id, rate)
	usable, from := l.fleet.usable(now, len(s.all), l.namesPeers)
	if now.Before(from) {
		return 0, len(s.all)
	}
	for _, slot := range s.owned {
		if slot < usable {
			owned++
		}
	}
	return owned, len(s.all)
}

// find returns the slots of the endpoint and one of this router that may be used now; -1
// if there is none.
func (l *Limiter) find(now time.Time, id view.EndpointID, rate float64) (s *slots, slot int) {
	l.fleet.advance(now)
	s = l.slotsOf(now, id, rate)
	if len(s.owned) == 0 {
		return s, -1
	}
	usable, from := l.fleet.usable(now, len(s.all), l.namesPeers)
	if now.Before(from) {
		return s, -1
	}
	for _, slot := range s.owned {
		if slot >= usable {
			break
		}
		if !now.Before(s.all[slot]) {
			return s, slot
		}
	}
	return s, -1
}

// slotsOf returns the slots of the endpoint, with the owners by the present routers. A
// slot that was not owned before is not used for one interval after the last change of
// the routers: until then its previous owner may have used it.
func (l *Limiter) slotsOf(now time.Time, id view.EndpointID, rate float64) *slots {
	s := l.endpoints[id]
	if s != nil && s.generation == l.fleet.generation && s.rate == rate {
		return s
	}
	if s == nil {
		s = &slots{}
		l.endpoints[id] = s
	}
	if s.rate != rate {
		s.setRate(now, rate, l.bounds.slots(rate))
	}
	kept := make(map[int]bool, len(s.owned))
	if s.generation+1 == l.fleet.generation {
		for _, slot := range s.owned {
			kept[slot] = true
		}
	}
	s.generation, s.lastUse = l.fleet.generation, now
	s.owned = s.owned[:0]
	free := l.fleet.changedAt.Add(s.interval)
	hash := xxhash.Sum64String(string(id))
	for slot := range s.all {
		if !l.fleet.owns(hash, slot) {
			continue
		}
		s.owned = append(s.owned, slot)
		if !kept[slot] && s.all[slot].Before(free) {
			s.all[slot] = free
		}
	}
	return s
}

// setRate replaces the rate. If there was another one, no slot is used for an interval,
// since the slots were different ones.
func (s *slots) setRate(now time.Time, rate float64, count int) {
	var notBefore time.Time
	if s.rate != 0 {
		notBefore = now.Add(s.interval)
	}
	s.rate, s.all, s.owned = rate, make([]time.Time, count), s.owned[:0]
	if count > 0 {
		s.interval = interval(rate, count)
	}
	for i := range s.all {
		s.all[i] = notBefore
	}
}

// owns reports whether this router ranks first for the slot.
func (f *fleet) owns(endpoint uint64, slot int) bool {
	if f.selfHash == 0 {
		return false
	}
	key := mix(endpoint + uint64(slot))
	own := mix(key ^ f.selfHash)
	for _, h := range f.hashes {
		if score := mix(key ^ h); score > own || score == own && h > f.selfHash {
			return false
		}
	}
	return true
}

// mix is the finaliser of splitmix64, which removes the correlation between the hashes of
// similar keys.
func mix(h uint64) uint64 {
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}
