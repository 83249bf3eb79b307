package configuration

import (
	"slices"
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

// change takes a new view and chooses readers and children by it.
func (s *Distributor) change(now time.Time, v *view.Snapshot) {
	s.view = v
	if s.inForce.Revision == 0 {
		s.offerAt = now // whoever has come into view may know the text
	}
	domain := s.domain()
	members := domain.Owners(ReaderKey, len(domain.Routers))
	place := slices.Index(members, s.options.Self)
	rank := place
	if place >= readersPerDomain {
		rank = -1
	}
	if (rank >= 0) != s.isReader() {
		s.decide(EventReader, "reads", boolean(rank >= 0))
		s.readAt = now
	}
	s.rank = rank
	s.children = nil
	if place < 0 {
		return
	}
	for i := fanout*place + 1; i <= fanout*place+fanout && i < len(members); i++ {
		s.children = append(s.children, members[i])
	}
}

// Key is the key by which readers are chosen within a failure domain.
const ReaderKey = "configuration"

// domain returns the view narrowed to this router's failure domain.
func (s *Distributor) domain() *view.Snapshot {
	var own string
	for i := range s.view.Routers {
		if s.view.Routers[i].ID == s.options.Self {
			own = s.view.Routers[i].FailureDomain
		}
	}
	narrow := &view.Snapshot{Self: s.options.Self}
	for i := range s.view.Routers {
		if s.view.Routers[i].FailureDomain == own {
			narrow.Routers = append(narrow.Routers, s.view.Routers[i])
		}
	}
	return narrow
}

// turn returns how many of the readers of all domains come before this one
// when the text in force has to be appended again.
func (s *Distributor) turn() int {
	var domains []string
	var own string
	for i := range s.view.Routers {
		r := &s.view.Routers[i]
		if !slices.Contains(domains, r.FailureDomain) {
			domains = append(domains, r.FailureDomain)
		}
		if r.ID == s.options.Self {
			own = r.FailureDomain
		}
	}
	slices.Sort(domains)
	return s.rank*len(domains) + slices.Index(domains, own)
}

func (s *Distributor) offerAtRandom(now time.Time) {
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

// offered compares a peer's offer with what is in force here.
func (s *Distributor) offered(in OfferReceived) {
	order, err := s.inForce.Compare(in.Version)
	if err != nil {
		s.broken(err)
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

// fetch asks the latest peer that offered the wanted version for it.
func (s *Distributor) fetch() {
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
		return // another source, or the next random offer, makes it good
	}
	c, err := revision.Load(in.Version, in.Text)
	if err != nil {
		s.broken(err)
		return
	}
	before := s.fold.Next()
	if _, err := s.fold.Adopt(c, c.Offset+1); err != nil {
		s.broken(err)
	}
	if s.fold.Next() != before {
		s.copyAt, s.copyOffset = now, c.Offset
	}
	s.take(c, string(in.From))
}

func boolean(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
