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
	// readersPerDomain is the number of routers of a failure domain that read
	// the log. With two, the failure of one causes no delay.
	readersPerDomain = 2
	// fanout is the number of routers to which each router offers a new
	// revision at once.
	fanout = 4
	// offerInterval is the mean time between two offers to a random router.
	offerInterval = time.Second
	// DefaultSnapshotInterval is the age at which the newest copy of the text
	// in force is appended to the log again.
	DefaultSnapshotInterval = 5 * time.Minute
	// minRetryDelay and maxRetryDelay bound the delay before a retry after a
	// failure.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxSources bounds the number of peers recorded as sources of a version.
	maxSources = 8
)

// Options configure a Distributor.
type Options struct {
	Self view.RouterID
	// Random is the source of jitter and of the choice of random peers.
	Random *rand.Rand
	// SnapshotInterval is the age at which the newest copy of the text in force
	// is appended to the log again; zero stands for DefaultSnapshotInterval. It
	// must be well below the retention of the log.
	SnapshotInterval time.Duration
}

// Distributor is the state machine of one router.
type Distributor struct {
	options Options
	fold    revision.Fold
	// inForce is the highest configuration that this router knows.
	inForce revision.Configuration

	view       *view.Snapshot
	readerRank int             // this router's rank among its domain's readers; -1 if it is no reader
	children   []view.RouterID // the routers to which this router offers a new revision at once

	reading    bool
	logDown    bool
	retryDelay time.Duration
	readAt     time.Time // when the next read is due

	// copyAt is when the newest known copy of the text in force was appended to
	// the log, and copyOffset its offset.
	copyAt     time.Time
	copyOffset uint64
	appending  bool
	appendAt   time.Time // no append is started before this instant

	offerAt time.Time // when the next random offer is due

	wanted   revision.Version // the highest version that a peer has offered
	sources  []view.RouterID  // the peers that offered wanted, without those tried
	fetching bool

	out []Output
}

// New returns a Distributor without a configuration. It produces outputs from its
// first Change on.
func New(o Options) *Distributor {
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = DefaultSnapshotInterval
	}
	return &Distributor{options: o, readerRank: -1}
}

// InForce returns the configuration in force at this router. Its Revision is
// zero when none is known.
func (s *Distributor) InForce() revision.Configuration { return s.inForce }

// Step processes one input at the given instant and returns the outputs to
// carry out, in order. The returned slice is valid until the next Step.
func (s *Distributor) Step(now time.Time, in Input) []Output {
	s.out = s.out[:0]
	switch in := in.(type) {
	case Change:
		s.viewChanged(now, in.View)
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
		s.runDue(now)
	}
	return s.out
}

// runDue starts the reads, offers, appends and fetches that are due, and
// requests a Wake for the next ones.
func (s *Distributor) runDue(now time.Time) {
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
		s.offerToRandomPeer(now)
	}
	wake = earlier(wake, s.offerAt)
	if at, ok := s.snapshotDue(); ok {
		if now.Before(at) {
			wake = earlier(wake, at)
		} else {
			s.appendSnapshot(now)
		}
	}
	s.fetchWanted()
	s.emit(Wake{At: wake})
}

// adopt puts the configuration in force at this router if its revision is
// higher than the current one.
func (s *Distributor) adopt(c revision.Configuration, source string) {
	order, err := s.inForce.Compare(c.Version)
	if err != nil {
		s.reportViolation(err)
		return
	}
	if order >= 0 {
		return
	}
	document := s.inForce.Document
	s.inForce = c
	fields := []string{"revision", formatUint(c.Revision), "offset", formatUint(c.Offset), "from", source}
	if c.Document == nil {
		// This program can't read the new text. The router continues with the
		// old document, but records the new version and offers it to others.
		s.inForce.Document = document
		s.logDecision(EventUnreadable, fields...)
	} else {
		s.logDecision(EventInForce, fields...)
		s.emit(InForce{Configuration: c})
	}
	for _, child := range s.children {
		s.emit(Offer{To: child, Version: c.Version})
	}
}

func (s *Distributor) reportViolation(err error) { s.logDecision(EventBroken, "reason", err.Error()) }

func (s *Distributor) logDecision(event string, fields ...string) {
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

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
