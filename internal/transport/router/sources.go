package router

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/coordination/evacuation"
	"hyssopreach/internal/coordination/listing"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
	"hyssopreach/internal/transport/peer"
)

const (
	// readInterval is the mean delay between two reads of the store, or between
	// two queries to a peer that reads it.
	readInterval = 450 * time.Millisecond
	// shortestDrain is the shortest time within which a leaving endpoint must get no
	// more attempts. Lists of endpoints are read every readInterval where this is
	// the time, and maxListFactor times as seldom at the most.
	shortestDrain = 2 * time.Second
	maxListFactor = 2
	// readTimeout bounds one read of the store.
	readTimeout = 900 * time.Millisecond
	// confirmTimeout bounds one query to a peer.
	confirmTimeout = 300 * time.Millisecond
	// slowRefresh is the duration from which a refresh is logged. It is longer than
	// one query to a peer that answers.
	slowRefresh = 400 * time.Millisecond
	// stepSlack is the time by which a step of a refresh may end after its timeout
	// on a router that runs on time.
	stepSlack = 250 * time.Millisecond
	// storeReaders is the number of routers that read the store for the fleet, and
	// standbyReaders that of those of which one does where changes may take longer.
	storeReaders, standbyReaders = 2, 4
	// maxReaderAge is the maximum age of data from a store reader. Older data
	// means that the reader has missed a read.
	maxReaderAge = readInterval + 200*time.Millisecond
	// maxRelayedAge is the maximum age of data from a router that may itself
	// have received it from another router. The sum of maxRelayedAge and
	// readInterval is less than 2 s, the shortest time within which a change
	// must take effect.
	maxRelayedAge = 800 * time.Millisecond
	// maxFallbackPeers is the number of routers that may be queried while
	// neither the store nor the store readers answer.
	maxFallbackPeers = 8
	// MetricRestorations counts how often the store was restored from an older copy.
	MetricRestorations = "StoreRestorations"
)

// readResult is data read from the store, the instant at which the read was sent,
// and the epoch of the store (Reading.Epoch). If it is from another router,
// restoredAt is the instant at which that router learnt that the epoch had risen;
// zero if that is not recent.
type readResult struct {
	data       []byte
	at         clock.Instant
	epoch      uint64
	restoredAt clock.Instant
}

// readings are the latest results of reads of the store. A value is immutable.
type readings struct {
	configuration readResult
	// table is the configuration in force, decoded from configuration; nil before
	// the first one is read.
	table   *route.Table
	version uint64
	// versionEpoch is the epoch of the last reading that held the version in
	// force.
	versionEpoch uint64
	// refused is the configuration that was refused last.
	refused  refusedConfiguration
	list     readResult
	listHash uint64
	// listDoubtedAt is the instant of the last list that was doubted; see
	// listing.Table.Doubts.
	listDoubtedAt clock.Instant
	// epoch is the highest epoch of the store that this router knows, and
	// restoredAt the instant at which it learnt that the epoch had risen; zero if
	// it has not.
	epoch      uint64
	restoredAt clock.Instant
	// endpoints is the decoded list.
	endpoints []view.Endpoint
	// evacuated names the evacuated failure domains, as known since the reading of
	// evacuatedAt; zero if there was none.
	evacuated   []string
	evacuatedAt clock.Instant
}

// pool returns the scheduling parameters of a pool by the configuration in force.
func (r *readings) pool(name string) view.Pool {
	if r.table == nil {
		return view.Pool{}
	}
	service := r.table.Services[name]
	return service.Pool()
}

// listDoubted reports whether a newer list than the current one has been doubted.
func (r *readings) listDoubted() bool { return r.listDoubtedAt.After(r.list.at) }

// sources keeps the configuration and the endpoints of a hosted router up to
// date. A few routers of the fleet, the store readers, read them from the store.
// The other routers query the store readers, and read the store themselves if no
// store reader has recent data. A router whose own reads fail queries other
// routers.
type sources struct {
	router        *Hosted
	peers         *peers
	confirmClient *peer.ConfirmationClient
	logger        log.Interface
	ctx           context.Context
	cancel        context.CancelFunc
	loop          sync.WaitGroup
	// storeLost is set when this router fails to read the store, until it
	// succeeds or a store reader has recent data. Only the goroutine of run uses
	// it.
	storeLost bool
	// lastReader is the router whose data was recent last. Only the goroutine of run uses
	// it.
	lastReader view.RouterID
	// nextProbeAt is the instant from which a router that has lost the store queries it
	// again although a store reader answers. Only the goroutine of run uses it.
	nextProbeAt clock.Instant

	// listDueAt is the instant from which a read of the store includes the list of
	// endpoints. Only the goroutine of run uses it.
	listDueAt clock.Instant

	// stepDue is the instant by which the current step of run ends if the process
	// runs on time: a query, a read or the delay between two refreshes.
	stepDue atomic.Pointer[clock.Instant]
	// current holds the latest readings. It is read without a lock because every
	// request reads it.
	current atomic.Pointer[readings]
	// mu is held while current is replaced.
	mu    sync.Mutex
	table *listing.Table // guarded by mu
	// evacuations is nil if failure domains can't be evacuated. Guarded by mu.
	evacuations *evacuation.Table
	// peerIsAhead is set when a router with a newer configuration has queried this
	// one.
	peerIsAhead atomic.Bool
	// restorations counts the rises of the store's epoch.
	restorations metrics.Counter
}

func startSources(r *Hosted, p *peers) *sources {
	ctx, cancel := context.WithCancel(context.Background())
	limits := r.options.Listing
	limits.DoubtTime = r.options.listFor()
	s := &sources{
		router: r, peers: p, confirmClient: r.links.NewConfirmationClient(), logger: r.options.Logger, ctx: ctx, cancel: cancel,
		table: listing.New(limits), evacuations: newEvacuations(&r.options), restorations: metrics.GetOrRegisterCounter(MetricRestorations, r.options.Registry),
	}
	s.current.Store(&readings{})
	s.allowStep(0)
	p.confirm = s.answerConfirmation
	p.Register("EndpointNews", s.receiveEndpointNews)
	s.loop.Go(s.run)
	return s
}

// Close stops the reads and waits until they have ended.
func (s *sources) Close() {
	s.cancel()
	s.loop.Wait()
	s.confirmClient.Close()
}

// run refreshes the data until the router stops. The delay between two refreshes
// varies by up to a quarter of readInterval in both directions.
func (s *sources) run() {
	random := random(s.router.options.Incarnation, "sources")
	s.querySeeds()
	for s.ctx.Err() == nil {
		began := clock.Now()
		s.refresh()
		if took := clock.Now().Sub(began); took > slowRefresh {
			s.logger.WithFields(log.Fields{
				"Took": took, "EndpointsAge": s.listAge(), "Lateness": s.router.lateness.Recent(), "StoreLost": s.storeLost,
			}).Warn("RefreshSlow")
		}
		delay := readInterval*3/4 + time.Duration(random.Int64N(int64(readInterval/2)))
		s.allowStep(delay)
		sleep(s.ctx, delay)
	}
}

// querySeeds asks the routers at which this one joins the fleet for their data, and
// for the evidence against the requests that they reject, before it serves. The
// store may have been restored from an older copy, so a router that starts empty must
// not take what it holds for the newest if a router with newer data can be reached.
func (s *sources) querySeeds() {
	var queries sync.WaitGroup
	for _, seed := range s.router.options.Settings.Peers {
		if seed == s.router.self.PeerAddress {
			continue
		}
		queries.Go(func() {
			if _, err := s.confirmFromAddress(seed, "", &wire.ConfirmationQuery{Starting: true}, maxRelayedAge); err != nil {
				s.logger.WithFields(log.Fields{"Seed": seed, "Error": err}).Info("SeedQueryFailed")
			}
		})
	}
	queries.Wait()
}

// allowStep sets the time that the next step of run takes at most if the process
// runs on time.
func (s *sources) allowStep(timeout time.Duration) {
	due := clock.Now().Add(timeout + stepSlack)
	s.stepDue.Store(&due)
}

// runsLate reports whether this router, and not the store or another router, is
// the reason that it has no newer data.
func (s *sources) runsLate() bool {
	return s.router.lateness.Late() || clock.Now().After(*s.stepDue.Load())
}

// listInterval returns the mean time between two reads of the list of endpoints. The
// list takes many calls in a large fleet, and only an endpoint that leaves makes its
// age matter; the configuration is confirmed every readInterval all the same, since
// keys are refused soon after the last confirmation.
func (h *HostedOptions) listInterval() time.Duration {
	factor := min(max(float64(h.DrainWithin)/float64(shortestDrain), 1), maxListFactor)
	return time.Duration(factor * float64(readInterval))
}

// maxListAge returns the maximum age of a list that another router has read, if that
// of the configuration is maxAge.
func (s *sources) maxListAge(maxAge time.Duration) time.Duration {
	return maxAge + s.router.options.listInterval() - readInterval
}

// readsList reports whether a read of the store at the given instant includes the list
// of endpoints: it is due, or none is known, or the store was lost, when any read may be
// the last one.
func (s *sources) readsList(at clock.Instant) bool {
	if s.listDueAt.After(at) && !s.storeLost && !s.current.Load().list.at.IsZero() {
		return false
	}
	// Reads begin readInterval apart, so one that is due by half of that is taken.
	s.listDueAt = at.Add(s.router.options.listInterval() - readInterval/2)
	return true
}

// readStore reads the configuration and, if it is due, the list of endpoints
// concurrently.
func (s *sources) readStore() error {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	platform := s.router.options.Platform
	var listErr error
	var reads sync.WaitGroup
	if s.readsList(clock.Now()) {
		reads.Go(func() {
			at := clock.Now()
			read, err := platform.ReadEndpoints(ctx)
			if err == nil {
				err = s.applyList(readResult{data: read.Data, at: at, epoch: read.Epoch})
			}
			listErr = err
		})
	}
	at := clock.Now()
	read, err := platform.ReadConfiguration(ctx)
	result := readResult{data: read.Data, at: at, epoch: read.Epoch}
	if err == nil {
		err = s.applyEvacuated(read.Evacuated, result, "")
	}
	if err == nil {
		err = s.applyConfiguration(result, "")
	}
	reads.Wait()
	return errors.Join(err, listErr)
}

// applyConfiguration puts a configuration in force. It returns an error if the
// configuration is older than the one in force, unless the store has come back from
// an older copy since: that one is then ignored, and confirms nothing. A result
// of another router without data, or one of the same version, confirms the
// configuration in force as of r.at. For one that can't be decoded see
// refuseConfiguration.
func (s *sources) applyConfiguration(r readResult, from view.RouterID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	if err := s.observeEpoch(&next, r, from); err != nil {
		return err
	}
	if next.table == nil && s.evacuations != nil && next.evacuatedAt.IsZero() {
		s.current.Store(&next)
		return errEvacuationsUnknown
	}
	version := next.version
	if next.isNew(r.data, from) {
		table, err := s.router.options.Platform.ParseConfiguration(r.data)
		if err != nil {
			return s.refuseConfiguration(&next, r, from, err)
		}
		version = table.Version
		if version > next.version {
			s.logger.WithFields(log.Fields{
				"Version": table.Version, "Before": next.version, "From": from, "Age": clock.Now().Sub(r.at), "Epoch": next.epoch,
			}).Info("ConfigurationInForce")
			next.table, next.version, next.configuration.data = table, table.Version, r.data
			logMalformedRates(s.logger, table)
			s.markListed(&next)
			s.router.fleet.setTable(table)
		}
	}
	switch restored := next.epoch > next.versionEpoch; {
	case version < next.version && !restored:
		return fmt.Errorf("read configuration: version %d is older than %d, which is in force", version, next.version)
	case version == next.version && (!restored || r.at.Sub(next.restoredAt) >= s.router.options.Listing.RelistTime):
		next.versionEpoch = next.epoch
		if r.at.After(next.configuration.at) {
			next.configuration.at = r.at
		}
	}
	s.current.Store(&next)
	return nil
}

// observeEpoch checks the epoch of a reading. It returns an error for one from
// before the store was restored. When the epoch has risen, what the store holds may be
// older than what is known here; see applyConfiguration and listing.Table.Restored.
func (s *sources) observeEpoch(next *readings, r readResult, from view.RouterID) error {
	switch {
	case r.epoch == 0 || r.epoch == next.epoch:
		return nil
	case r.epoch < next.epoch:
		return fmt.Errorf("read of epoch %d of the store, which is at epoch %d", r.epoch, next.epoch)
	}
	before := next.epoch
	next.epoch = r.epoch
	if before == 0 {
		// This router has just started. Without word from another one, it cannot
		// know whether the store was restored lately.
		if next.restoredAt = r.restoredAt; r.restoredAt.IsZero() {
			next.versionEpoch = r.epoch
		}
		s.restoreEvacuations(next, r, from)
		return nil
	}
	// The reading may be old, if it was relayed, and says nothing about when the
	// store came back.
	next.restoredAt = clock.Now()
	s.table.Restored(next.restoredAt.Time())
	s.restoreEvacuations(next, r, from)
	s.restorations.Inc(1)
	s.logger.WithFields(log.Fields{
		"Epoch": r.epoch, "Before": before, "From": from, "Version": next.version, "Endpoints": len(next.endpoints),
		"ConfirmedAge": clock.Now().Sub(next.configuration.at).Round(time.Millisecond),
	}).Warn("StoreRestored")
	return nil
}

// applyList applies a list of endpoints unless it is older than the current
// one, or doubted. A result without data confirms the current list as of r.at.
func (s *sources) applyList(r readResult) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	if err := s.observeEpoch(&next, r, ""); err != nil {
		return err
	}
	if !r.at.After(next.list.at) {
		s.current.Store(&next)
		return nil
	}
	if len(r.data) > 0 && !bytes.Equal(r.data, next.list.data) {
		endpoints, err := s.router.options.Platform.ParseEndpoints(r.data)
		if err != nil {
			return err
		}
		if s.table.Doubts(r.at.Time(), endpoints) {
			// The current list grows older and is used no longer than any other.
			if !next.listDoubted() {
				s.logger.WithFields(log.Fields{"Endpoints": len(next.endpoints), "EndpointsAge": s.listAge()}).Warn("EmptyListDoubted")
			}
			next.listDoubtedAt = r.at
			s.current.Store(&next)
			return nil
		}
		next.endpoints, next.list.data, next.listHash = endpoints, r.data, xxhash.Sum64(r.data)
	}
	next.list.at = r.at
	s.current.Store(&next)
	listed := s.table.Update(r.at.Time(), next.endpoints)
	s.table.MarkCold(time.Now(), listed, next.pool)
	s.router.fleet.setListed(listed, s.logger)
	return nil
}

// listAge returns the time since the list of endpoints was read from the store.
func (s *sources) listAge() time.Duration {
	return clock.Now().Sub(s.current.Load().list.at)
}

// listUsable reports whether attempts may be sent now by the current list of
// endpoints: it is not older than maxAge, including the time by which the attempt
// may be late, or is old only because the store can't be read. In the latter case
// it is the best that any router has.
func (s *sources) listUsable(now clock.Instant, maxAge time.Duration) bool {
	c := s.current.Load()
	return now.Sub(c.list.at)+s.router.lateness.Recent() <= maxAge || !c.listDoubted() && !s.runsLate()
}

// confirmedWithin reports whether the configuration in force was the newest one
// at some instant within the last maxAge.
func (s *sources) confirmedWithin(maxAge time.Duration) bool {
	return s.confirmedAt(clock.Now(), maxAge)
}

// confirmedAt is confirmedWithin for callers that have read the clock, which is a
// system call.
func (s *sources) confirmedAt(now clock.Instant, maxAge time.Duration) bool {
	c := s.current.Load()
	return !c.configuration.at.IsZero() && now.Sub(c.configuration.at) <= maxAge
}
