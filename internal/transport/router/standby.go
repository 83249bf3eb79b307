package router

import (
	"errors"
	"slices"
	"sync"
	"time"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

const (
	// maxWaitAge is the age of the data here up to which a router waits for the store
	// readers. With the time until the next refresh (0.56 s), maxQueryTime, a query and a read
	// it is 2.86 s, less than shortestDelay.
	maxWaitAge = time.Second
	// maxQueryTime is the time after which queries to store readers do not count as answered
	// at once.
	maxQueryTime = 100 * time.Millisecond
	// shortestDelay is the time for which a leaving endpoint, or one of an evacuated failure
	// domain, may still get attempts from which on routers wait for the store readers.
	shortestDelay = 3 * time.Second
	// probeInterval is the time between two queries of a store that this router has lost, while
	// a store reader answers it.
	probeInterval = 2 * time.Second
)

var errNotProbed = errors.New("the store has not been queried")

// allowsDelay reports whether changes may take so long to be in force that the fleet can
// save calls to the store.
func (h *HostedOptions) allowsDelay() bool {
	return h.DrainWithin >= shortestDelay && (!h.evacuates() || h.EvacuateWithin >= shortestDelay) && h.confirmFor() >= shortestDelay
}

// readersBefore returns the routers to query before this one reads the store, and whether
// this router is a store reader. Store readers query none, but where changes may take
// longer: there each reads only if those before it in the order have no recent data. That
// takes a part of the calls of two that always read, and further ones take over if the
// first of them can't reach the store. There the router that answered last is queried first.
func (s *sources) readersBefore(v *view.Snapshot) (before []view.RouterID, reader bool) {
	count := storeReaders
	if s.router.options.allowsDelay() {
		count = standbyReaders
	}
	owners := v.Owners("store", count)
	at := slices.Index(owners, v.Self)
	switch {
	case at >= 0 && count == storeReaders:
		return nil, true
	case at >= 0:
		return owners[:at], true
	}
	if last := slices.Index(owners, s.lastReader); last > 0 && count == standbyReaders {
		copy(owners[1:last+1], owners[:last])
		owners[0] = s.lastReader
	}
	return owners, false
}

// confirmFromReaders is confirmFromFirst for the store readers. Where there are more of them
// than two, it stops once queries have taken time without an answer and a further one would
// leave no time to read the store before the list here is too old: several store readers
// that do not answer would otherwise take more than a second.
func (s *sources) confirmFromReaders(readers []view.RouterID) []error {
	if !s.router.options.allowsDelay() {
		return s.confirmFromFirst(readers, maxReaderAge)
	}
	errs, began := []error{}, clock.Now()
	for i := range readers {
		if clock.Now().Sub(began) > maxQueryTime && s.listAge()+confirmTimeout+readTimeout > s.router.options.listFor() {
			break
		}
		failed := s.confirmFromFirst(readers[i:i+1], maxReaderAge)
		if failed == nil {
			return nil
		}
		errs = append(errs, failed...)
	}
	return errs
}

// mayWait reports whether the data here is recent enough to wait for a store reader that
// has just failed to answer, or has taken over from another one, until the next refresh. If
// all routers read the store at once instead, one failed reader costs hundreds of calls.
func (s *sources) mayWait() bool {
	c := s.current.Load()
	now := clock.Now()
	if s.router.options.evacuates() && now.Sub(c.evacuatedAt) >= maxWaitAge {
		// Routers of an earlier release confirm the rest and state no evacuations.
		return false
	}
	return s.router.options.allowsDelay() && !c.list.at.IsZero() && now.Sub(c.list.at) < maxWaitAge && now.Sub(c.configuration.at) < maxWaitAge
}

// anyAnswered reports whether a router has answered a query, though with data that is too
// old.
func anyAnswered(errs []error) bool {
	return slices.ContainsFunc(errs, func(err error) bool { return errors.Is(err, errTooOld) })
}

// refreshFromAny queries the fallback peers and the store concurrently. If probe is not
// set, a store reader answers queries and will read the store as soon as it is back. The
// store is then queried only at intervals of probeInterval.
func (s *sources) refreshFromAny(v *view.Snapshot, probe bool) {
	var storeDone sync.WaitGroup
	err := errNotProbed
	if now := clock.Now(); probe || !s.router.options.allowsDelay() || now.After(s.nextProbeAt) {
		s.nextProbeAt = now.Add(probeInterval)
		storeDone.Go(func() { err = s.readStore() })
	}
	s.confirmFromFirst(s.fallbackPeers(v), maxRelayedAge)
	s.allowStep(readTimeout)
	storeDone.Wait()
	if err == nil {
		s.markStoreRegained()
	}
}
