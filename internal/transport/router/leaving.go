package router

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/endpoint"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

// recordLeaving records that an endpoint has stated that it leaves, and reports whether
// this was not known; see listing.Table.RecordLeaving.
func (s *sources) recordLeaving(id view.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordLeaving(clock.Now().Time(), id)
	return s.router.fleet.setLeaving(id)
}

// reportLeaving reports to the store readers that an endpoint has stated that it leaves.
// They pass it on with the list of endpoints.
func (s *sources) reportLeaving(id view.EndpointID) {
	v := s.router.fleet.View()
	for _, reader := range v.Owners("store", storeReaders) {
		if reader != v.Self {
			s.peers.Send(reader, leavingReport(id))
		}
	}
}

func leavingReport(id view.EndpointID) *wire.Message {
	update := endpoint.Update{States: []endpoint.State{{ID: id, Leaving: true, AsOf: time.Now()}}}
	return &wire.Message{Kind: &wire.Message_EndpointNews{EndpointNews: wire.FromEndpointNews(update)}}
}

// receiveEndpointNews handles such a report. The first one is passed on to the other
// store readers, since any message may be lost.
func (s *sources) receiveEndpointNews(from view.RouterID, _ uint64, m *wire.Message) {
	for _, e := range wire.ToEndpointNews(m.GetEndpointNews()).States {
		if e.Leaving && s.learnLeaving(from, e.ID) {
			s.reportLeaving(e.ID)
		}
	}
}

// stated returns the statements that this router passes on with its list of endpoints.
func (s *sources) stated() []view.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Stated()
}

// statedHash returns a hash of endpoints in any order; 0 for none.
func statedHash(ids []view.EndpointID) uint64 {
	var hash uint64
	for _, id := range ids {
		hash ^= xxhash.Sum64String(string(id))
	}
	return hash
}

// addStated adds the statements to an answer for a router that knows those with the
// given hash.
func (s *sources) addStated(answer *wire.Confirmation, known uint64) {
	stated := s.stated()
	answer.StatedHash = statedHash(stated)
	if answer.StatedHash == known {
		return
	}
	for _, id := range stated {
		answer.Stated = append(answer.Stated, string(id))
	}
}

// learnStated records what another router has passed on with its list of endpoints.
func (s *sources) learnStated(from view.RouterID, stated []string) {
	for _, id := range stated {
		s.learnLeaving(from, view.EndpointID(id))
	}
}

// reportUnknown reports to another router, with whose list this one agrees, the
// statements that the router has not passed on: a report to it has been lost, or it
// reads the store only since then.
func (s *sources) reportUnknown(to view.RouterID, stated []string) {
	for _, id := range s.stated() {
		if !slices.Contains(stated, string(id)) {
			s.peers.Send(to, leavingReport(id))
		}
	}
}

// learnLeaving records what another router has passed on, and reports whether it was
// not known.
func (s *sources) learnLeaving(from view.RouterID, id view.EndpointID) bool {
	if !s.recordLeaving(id) {
		return false
	}
	s.logger.WithFields(log.Fields{"Endpoint": id, "Source": "Peer", "Peer": from, "EndpointsAge": s.listAge()}).Info("EndpointLeaving")
	return true
}
