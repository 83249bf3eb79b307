package configuration

import (
	"math/rand/v2"
	"strconv"
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
)

const (
	// ReadWait is how long the log may hold a read open.
	ReadWait = time.Second
	// readersPerDomain is how many routers of a failure domain read the log:
	// two, so that one may fail without a moment of delay.
	readersPerDomain = 2
	// fanout is how many routers each router passes a new revision on to.
	fanout = 4
	// offerInterval is the time between two offers to a router chosen at
	// random.
	offerInterval = time.Second
	// DefaultSnapshotInterval is the age at which the newest copy of the text
	// in force is appended again.
	DefaultSnapshotInterval = 5 * time.Minute
	// The bounds of the delay before a failed step is tried again.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxSources bounds the peers remembered as holders of a revision.
	maxSources = 8
)

// Options are what a Spreader is made with.
type Options struct {
	Self view.RouterID
	// Random is the source of jitter and of the peers chosen at random.
	Random *rand.Rand
	// SnapshotInterval is DefaultSnapshotInterval unless it is set; it has to
	// stay well under the time for which the log keeps records.
	SnapshotInterval time.Duration
}

// Spreader is the state machine of one router.
type Distributor struct {
	options Options
	fold    revision.Fold
	// inForce is the highest configuration known here.
	inForce revision.Configuration

	view     *view.Snapshot
	rank     int             // this router's place among its domain's readers; -1 for none
	children []view.RouterID // whom this router passes a new revision on to

	reading    bool
	logDown    bool
	retryDelay time.Duration
	readAt     time.Time // when the next read is due

	// copyAt is when the newest known copy of the text in force came into the
	// log; copyOffset is where.
	copyAt     time.Time
	copyOffset uint64
	appending  bool
	appendAt   time.Time // before this instant no append is tried

	offerAt time.Time // when the next random offer is due

	wanted   revision.Version // the highest version offered and not yet held
	sources  []view.RouterID  // who offered wanted
	fetching bool

	out []Output
}

// New returns a Spreader that knows nothing. It acts once it has been told
// its first view.
func New(o Options) *Distributor {
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = DefaultSnapshotInterval
	}
	return &Distributor{options: o, rank: -1}
}

// InForce returns the configuration in force here; its Revision is zero when
// none is known.
func (s *Distributor) InForce() revision.Configuration { return s.inForce }

// Step takes one input at the given instant and returns what is to be done,
// in order. The returned slice is valid until the next Step.
func (s *Distributor) Step(now time.Time, in Input) []Output {
	s.out = s.out[:0]
	switch in := in.(type) {
	case Change:
		s.change(now, in.View)
	case ReadResult:
		s.readResult(now, in)
	case ReadFailure:
		s.readFailure(now, in.Err)
	case AppendResult:
		s.appendResult(now, in.Err)
	case OfferReceived:
		s.offered(in)
	case FetchResult:
		s.fetchResult(now, in)
	case Alarm:
	}
	if s.view != nil {
		s.due(now)
	}
	return s.out
}

// due does what is due by the clock and asks to be woken for what is next.
func (s *Distributor) due(now time.Time) {
	wake := now.Add(offerInterval)
	if s.isReader() && !s.reading {
		if now.Before(s.readAt) {
			wake = earlier(wake, s.readAt)
		} else {
			s.reading = true
			s.emit(Read{From: s.fold.Next()})
		}
	}
	if !now.Before(s.offerAt) {
		s.offerAtRandom(now)
	}
	wake = earlier(wake, s.offerAt)
	if at, wanted := s.snapshotDue(); wanted {
		if now.Before(at) {
			wake = earlier(wake, at)
		} else {
			s.appendSnapshot(now)
		}
	}
	s.fetch()
	s.emit(Wake{At: wake})
}

// take makes the configuration the one in force here if it is higher.
func (s *Distributor) take(c revision.Configuration, how string) {
	order, err := s.inForce.Compare(c.Version)
	if err != nil {
		s.broken(err)
		return
	}
	if order >= 0 {
		return
	}
	readable := s.inForce.Document
	s.inForce = c
	fields := []string{"revision", number(c.Revision), "offset", number(c.Offset), "from", how}
	if c.Document == nil {
		// The old text goes on being served here, but the router knows and
		// passes on that there is a newer one.
		s.inForce.Document = readable
		s.decide(EventUnreadable, fields...)
	} else {
		s.decide(EventInForce, fields...)
		s.emit(InForce{Configuration: c})
	}
	for _, child := range s.children {
		s.emit(Offer{To: child, Version: c.Version})
	}
}

func (s *Distributor) broken(err error) { s.decide(EventBroken, "reason", err.Error()) }

func (s *Distributor) decide(event string, fields ...string) {
	s.emit(Decision{Event: event, Fields: fields})
}

func (s *Distributor) emit(o Output) { s.out = append(s.out, o) }

// jitter returns a random duration from half of d to one and a half d.
func (s *Distributor) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.options.Random.Int64N(int64(d)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }
