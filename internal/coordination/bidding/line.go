package bidding

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

const (
	// firstBids is the number of bids for each waiting request at first, and
	// bidsPerRequest that after eagerAfter without a grant: in a fleet with
	// room every bid beyond the first brings a grant that goes back unused.
	firstBids      = 2
	bidsPerRequest = 6
	eagerAfter     = 5 * time.Millisecond
	// mostBids is the number of endpoints beyond which a line widens its bids
	// only while it is behind.
	mostBids = 64
	// mostTold is the largest number of waiting requests told in one bid.
	mostTold = 64
	// lowTold is the remaining number below which a bid is topped up.
	lowTold = 8
	// widenEvery is the time between two doublings of a line that is behind.
	widenEvery = 20 * time.Millisecond
	// reviewEvery is the distance at which a line that is not behind reviews
	// its bids: without a grant it tries one more endpoint, else it takes a
	// part of its surplus back.
	reviewEvery = 250 * time.Millisecond
	// narrowParts is the part of a line's surplus of bids that is taken back
	// at a time.
	narrowParts = 4
	// resyncAfter is the silence after which a bid is stated afresh if the
	// line is served nowhere, and servedResyncAfter if it is served elsewhere.
	resyncAfter       = 2 * time.Second
	servedResyncAfter = 10 * time.Second
	// noEndpointGrace is how long a request waits for an endpoint to appear.
	noEndpointGrace = 10 * time.Second
)

// lineKey names a line within a router.
type lineKey struct {
	pool string
	line schedule.QueueKey
}

// line is the requests of one organisation that any of the same endpoints can
// serve.
type line struct {
	key   lineKey
	queue items
	bids  []*standing
	meter *meter
	// width is the number of endpoints to bid at.
	width int
	// widenAt is the instant at which the line may widen next.
	widenAt time.Time
	// reviewAt is the instant at which a line that is not behind may change
	// the number of its bids next.
	reviewAt time.Time
	// grantedAt is the instant of the last grant, or of the line's first
	// waiting request.
	grantedAt time.Time
	// strandedAt is the instant from which no endpoint was known.
	strandedAt time.Time
	// pace is the smoothed time between two grants.
	pace    time.Duration
	emptyAt time.Time
}

// standing is a bid at one endpoint.
type standing struct {
	endpoint view.EndpointID
	owner    view.RouterID
	received uint64
	told     int // waiting requests told
	toldAt   time.Time
	urgency  int
	toldWith uint64 // value of received when last told
	heardAt  time.Time
}

// remaining is the number of grants that the dispatcher may still give.
func (s *standing) remaining() int {
	return max(0, s.told-int(s.received-s.toldWith))
}

func (l *line) standing(id view.EndpointID) *standing {
	for _, s := range l.bids {
		if s.endpoint == id {
			return s
		}
	}
	return nil
}

// placed is the number of endpoints at which the line has a live bid.
func (l *line) placed() int {
	count := 0
	for _, s := range l.bids {
		if s.remaining() > 0 {
			count++
		}
	}
	return count
}

// wanted is the number of endpoints at which the line ought to bid.
func (l *line) wanted(now time.Time) int {
	each := firstBids
	if now.Sub(l.grantedAt) >= eagerAfter {
		each = bidsPerRequest
	}
	return max(l.width, min(each*l.queue.Len(), mostBids))
}

// due reports whether the dispatcher must be told anew.
func (l *line) due(now time.Time, s *standing) bool {
	n, remaining := l.queue.Len(), s.remaining()
	if s.told == 0 {
		return false
	}
	if remaining == 0 || remaining < lowTold && n >= 2*remaining && n > 1 {
		return true
	}
	if l.queue.first().urgency() > s.urgency {
		return true
	}
	silence := l.silence(now)
	return now.Sub(s.heardAt) >= silence && now.Sub(s.toldAt) >= silence
}

// silence is how long a dispatcher may be silent before its bid is taken for
// lost.
func (l *line) silence(now time.Time) time.Duration {
	if now.Sub(l.grantedAt) < resyncAfter {
		return servedResyncAfter
	}
	return resyncAfter
}

// urgency is the request's urgency for a dispatcher; nested calls go before
// all others of their organisation.
func (i *item) urgency() int {
	if i.request.Nested {
		return i.request.Urgency + nestedUrgency
	}
	return i.request.Urgency
}

// nestedUrgency is more than any urgency of the operators' text.
const nestedUrgency = 1 << 20

// retract builds the word that takes a bid back.
func (l *line) retract(now time.Time, s *standing) *schedule.Bid {
	s.told, s.toldWith, s.toldAt = 0, s.received, now
	return &schedule.Bid{
		Endpoint: s.endpoint, Queue: l.key.line, Received: s.received,
		Tag: l.meter.Tag(now), Rate: l.meter.Rate(), Reserve: l.meter.reserve(),
	}
}

// tell builds the bid that states the line's present want.
func (l *line) tell(now time.Time, s *standing) *schedule.Bid {
	resync := s.told > 0 && now.Sub(s.heardAt) >= l.silence(now)
	s.told = min(l.queue.Len(), mostTold)
	s.toldWith = s.received
	s.toldAt = now
	s.urgency = 0
	if first := l.queue.first(); first != nil {
		s.urgency = first.urgency()
	}
	if resync || s.heardAt.IsZero() {
		s.heardAt = now
	}
	return &schedule.Bid{
		Endpoint: s.endpoint, Queue: l.key.line, Waiting: s.told, Received: s.received,
		Resync: resync, Urgency: s.urgency, Tag: l.meter.Tag(now), Rate: l.meter.Rate(), Reserve: l.meter.reserve(),
	}
}
