package router

import (
	"errors"
	"slices"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

// refresh updates the data from the first source that has recent data: the store
// readers, the store, the fallback peers. While the store is lost, refresh
// queries the store and the fallback peers concurrently, since a call to the
// store may hang.
func (s *sources) refresh() {
	v := s.router.fleet.View()
	var errs []error
	if s.peerIsAhead.Swap(false) {
		s.confirmFromFirst(s.fallbackPeers(v), maxRelayedAge)
	}
	before, reader := s.readersBefore(v)
	if len(before) > 0 {
		if errs = s.confirmFromReaders(before); errs == nil {
			s.markStoreRegained()
			return
		}
	}
	if s.storeLost {
		s.refreshFromAny(v, reader || !anyAnswered(errs))
		return
	}
	if !reader && len(before) > 0 && s.mayWait() {
		return
	}
	s.allowStep(readTimeout)
	err := s.readStore()
	if err == nil {
		return
	}
	errs = append(errs, err)
	s.storeLost = s.ctx.Err() == nil
	s.nextProbeAt = clock.Now().Add(probeInterval)
	s.logger.WithField("Error", errors.Join(errs...)).Warn("StoreLost")
	s.confirmFromFirst(s.fallbackPeers(v), maxRelayedAge)
}

// fallbackPeers returns the routers to query while the store does not answer.
// Each router has its own selection and order.
func (s *sources) fallbackPeers(v *view.Snapshot) []view.RouterID {
	return slices.DeleteFunc(v.Owners("around/"+string(v.Self), maxFallbackPeers+1), func(id view.RouterID) bool { return id == v.Self })
}

// markStoreRegained ends the state in which the store is lost.
func (s *sources) markStoreRegained() {
	if s.storeLost {
		s.storeLost = false
		s.logger.Info("StoreRegained")
	}
}
