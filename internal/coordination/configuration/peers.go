package configuration

import (
	"slices"
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

// viewChanged replaces the view and derives from it whether this router is a
// reader and which routers are its children.
func (s *Distributor) viewChanged(now time.Time, v *view.Snapshot) {
	s.view = v
	if s.inForce.Revision == 0 {
		s.offerAt = now // a router that is new in the view may have the text
	}
	domain := s.domainView()
	members := domain.Owners(ReaderKey, len(domain.Routers))
	position := slices.Index(members, s.options.Self)
	rank := position
	if position >= readersPerDomain {
		rank = -1
	}
	if (rank >= 0) != s.isReader() {
		s.logDecision(EventReader, "reads", formatBool(rank >= 0))
		s.readAt = now
	}
	s.readerRank = rank
	s.children = nil
	if position < 0 {
		return
	}
	for i := fanout*position + 1; i <= fanout*position+fanout && i < len(members); i++ {
		s.children = append(s.children, members[i])
	}
}

// ReaderKey is the rendezvous hashing key that ranks the routers of a failure
// domain: the first ones read the log, and the order forms the tree of offers.
const ReaderKey = "configuration"

// domainView returns the view restricted to this router's failure domain.
func (s *Distributor) domainView() *view.Snapshot {
	var ownDomain string
	for i := range s.view.Routers {
		if s.view.Routers[i].ID == s.options.Self {
			ownDomain = s.view.Routers[i].FailureDomain
		}
	}
	restricted := &view.Snapshot{Self: s.options.Self}
	for i := range s.view.Routers {
		if s.view.Routers[i].FailureDomain == ownDomain {
			restricted.Routers = append(restricted.Routers, s.view.Routers[i])
		}
	}
	return restricted
}

// snapshotTurn returns the number of readers in all failure domains whose turn
// to append a snapshot comes before this router's.
func (s *Distributor) snapshotTurn() int {
	var domains []string
	var ownDomain string
	for i := range s.view.Routers {
		r := &s.view.Routers[i]
		if !slices.Contains(domains, r.FailureDomain) {
			domains = append(domains, r.FailureDomain)
		}
		if r.ID == s.options.Self {
			ownDomain = r.FailureDomain
		}
	}
	slices.Sort(domains)
	return s.readerRank*len(domains) + slices.Index(domains, ownDomain)
}

func (s *Distributor) offerToRandomPeer(now time.Time) {
	s.offerAt = now.Add(s.jitter(offerInterval))
	if s.inForce.Revision == 0 {
		s.offerAt = now.Add(minRetryDelay)
	}
	var others []view.RouterID
	for i := range s.view.Routers {
		if id := s.view.Routers[i].ID; id != s.options.Self {
			others = append(others, id)
		}
	}
	if len(others) == 0 {
		return
	}
	to := others[s.options.Random.IntN(len(others))]
	s.emit(Offer{To: to, Version: s.inForce.Version})
}

// offered compares a peer's offer with the version in force at this router. It
// answers a lower version with an offer, and notes the peer as a source of a
// higher one.
func (s *Distributor) offered(in OfferReceived) {
	order, err := s.inForce.Compare(in.Version)
	if err != nil {
		s.reportViolation(err)
		return
	}
	if order > 0 {
		s.emit(Offer{To: in.From, Version: s.inForce.Version})
		return
	}
	if order == 0 {
		return
	}
	if in.Version.Revision > s.wanted.Revision {
		s.wanted = in.Version
		s.sources = nil
	}
	if in.Version == s.wanted && len(s.sources) < maxSources && !slices.Contains(s.sources, in.From) {
		s.sources = append(s.sources, in.From)
	}
}

// fetchWanted fetches the wanted version from the peer that offered it last.
func (s *Distributor) fetchWanted() {
	if s.wanted.Revision <= s.inForce.Revision {
		s.sources = nil
		return
	}
	if s.fetching || len(s.sources) == 0 {
		return
	}
	last := len(s.sources) - 1
	from := s.sources[last]
	s.sources = s.sources[:last]
	s.fetching = true
	s.emit(Fetch{From: from, Revision: s.wanted.Revision})
}

func (s *Distributor) fetchResult(now time.Time, in FetchResult) {
	s.fetching = false
	if in.Err != nil {
		return // another source or the next random offer leads to a new fetch
	}
	c, err := revision.Load(in.Version, in.Text)
	if err != nil {
		s.reportViolation(err)
		return
	}
	before := s.fold.Next()
	if _, err := s.fold.Adopt(c, c.Offset+1); err != nil {
		s.reportViolation(err)
	}
	if s.fold.Next() != before {
		s.copyAt, s.copyOffset = now, c.Offset
	}
	s.adopt(c, string(in.From))
}

func formatBool(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
