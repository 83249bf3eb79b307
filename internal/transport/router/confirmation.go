package router

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/apex/log"

	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

var errTooOld = errors.New("the data is too old")

// confirmFromFirst queries the routers in turn until one of them has data that
// is not older than maxAge, and returns nil. If none has, it returns the reasons,
// which are an empty slice, not nil, if there are no routers.
func (s *sources) confirmFromFirst(routers []view.RouterID, maxAge time.Duration) []error {
	errs := []error{}
	for _, id := range routers {
		s.allowStep(confirmTimeout)
		fresh, err := s.confirmFrom(id, maxAge)
		if fresh {
			s.lastReader = id
			return nil
		}
		errs = append(errs, err)
	}
	return errs
}

// confirmFrom queries another router for newer data, or for a confirmation that
// this router's data is the newest. It returns true if the answer is not older
// than maxAge.
func (s *sources) confirmFrom(id view.RouterID, maxAge time.Duration) (bool, error) {
	address, ok := s.peers.Address(id)
	if !ok {
		return false, fmt.Errorf("query router %s: it is no longer in the membership view", id)
	}
	c := s.current.Load()
	q := &wire.ConfirmationQuery{Version: c.version, ListHash: c.listHash, StatedHash: statedHash(s.stated())}
	return s.confirmFromAddress(address, id, q, maxAge)
}

// confirmFromAddress is confirmFrom for the address of the router.
func (s *sources) confirmFromAddress(address netip.AddrPort, id view.RouterID, q *wire.ConfirmationQuery, maxAge time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	// The peer computes the ages when it answers, which is after sentAt, so the
	// data was read no earlier than its age before sentAt.
	sentAt := clock.Now()
	answer, err := s.confirmClient.Confirm(ctx, address, q)
	if err != nil {
		return false, err
	}
	age := time.Duration(answer.GetAgeMillis()) * time.Millisecond
	listAge := time.Duration(answer.GetListAgeMillis()) * time.Millisecond
	s.router.suspects.receiveEvidence(id, wire.ToEvidence(answer.GetSuspects()))
	var restoredAt clock.Instant
	if restored := answer.GetRestoredAgeMillis(); restored > 0 {
		// The answer took time to arrive, so this is no earlier than the instant.
		restoredAt = clock.Now().Add(-time.Duration(restored) * time.Millisecond)
	}
	if err := s.learnHistory(answer.GetEndpoints(), address); err != nil {
		return false, err
	}
	s.learnStated(id, answer.GetStated())
	evacuatedAge, evacuationsStated, err := s.learnEvacuated(answer, sentAt, restoredAt, id)
	if err != nil {
		return false, err
	}
	if answer.GetVersion() == q.Version || len(answer.GetConfiguration()) > 0 {
		if err := s.applyConfiguration(readResult{answer.GetConfiguration(), sentAt.Add(-age), answer.GetEpoch(), restoredAt}, id); err != nil {
			return false, err
		}
	}
	if answer.GetListHash() == q.ListHash || len(answer.GetList()) > 0 {
		if err := s.applyList(readResult{answer.GetList(), sentAt.Add(-listAge), answer.GetEpoch(), restoredAt}); err != nil {
			return false, err
		}
	}
	if answer.GetStatedHash() != q.StatedHash {
		s.reportUnknown(id, answer.GetStated())
	}
	if age > maxAge || listAge > s.maxListAge(maxAge) {
		return false, fmt.Errorf("query router %s: %w: the configuration was read %v ago, the list of endpoints %v ago", id, errTooOld, age, listAge)
	}
	if s.router.options.evacuates() && (!evacuationsStated || evacuatedAge > maxAge) {
		return false, fmt.Errorf("query router %s: which failure domains are evacuated was read %v ago (stated: %t)", id, evacuatedAge, evacuationsStated)
	}
	return true, nil
}

// learnHistory adds what another router knows of the endpoints to what is known here;
// nil if the router sent none.
func (s *sources) learnHistory(m *wire.EndpointHistory, from netip.AddrPort) error {
	if m == nil {
		return nil
	}
	h, err := wire.ToEndpointHistory(clock.Now().Time(), m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Learn(h)
	s.logger.WithFields(log.Fields{
		"From": from, "Known": len(h.Known), "Departed": len(h.Departed), "RestoredAgeMillis": m.GetRestoredAgeMillis(),
	}).Info("EndpointHistoryReceived")
	return nil
}

// answerConfirmation answers a peer's query with the versions and ages of this
// router's data, and with the data itself where the peer's differs.
func (s *sources) answerConfirmation(q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	c := s.current.Load()
	if c.version == 0 || c.list.at.IsZero() {
		return nil, errors.New("confirm configuration: this router has read none yet")
	}
	now := clock.Now()
	answer := &wire.Confirmation{
		Version: c.version, AgeMillis: c.configurationAgeMillis(now),
		ListAgeMillis: ageMillis(now, c.list.at), ListHash: c.listHash, Epoch: c.epoch,
	}
	if restored := now.Sub(c.restoredAt); !c.restoredAt.IsZero() && restored < s.router.options.Listing.RelistTime {
		answer.RestoredAgeMillis = uint64(max(restored/time.Millisecond, 1))
	}
	s.addStated(answer, q.GetStatedHash())
	c.addEvacuated(answer, now)
	if q.GetStarting() {
		answer.Suspects = wire.FromEvidence(s.router.suspects.rejecting())
		s.mu.Lock()
		answer.Endpoints = wire.FromEndpointHistory(now.Time(), s.table.History(now.Time()))
		s.mu.Unlock()
	}
	if q.GetVersion() > c.version {
		s.peerIsAhead.Store(true)
	}
	if q.GetVersion() < c.version {
		answer.Configuration = c.configuration.data
	}
	if q.GetListHash() != c.listHash {
		answer.List = c.list.data
	}
	return answer, nil
}

// unconfirmedAge is stated as the age of a configuration that no reading has confirmed,
// because the store was restored shortly before the router started. It confirms nothing
// at the peer, which has to know of the version: the store may lack it.
const unconfirmedAge = 24 * time.Hour

func (r *readings) configurationAgeMillis(now clock.Instant) uint64 {
	if r.configuration.at.IsZero() {
		return uint64(unconfirmedAge / time.Millisecond)
	}
	return ageMillis(now, r.configuration.at)
}

// ageMillis returns the age in milliseconds, rounded up, since an age must never
// be reported too low.
func ageMillis(now, at clock.Instant) uint64 {
	return uint64(max(now.Sub(at), 0)/time.Millisecond) + 1
}
