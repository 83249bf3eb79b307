package router

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/listing"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/route"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
	"hyssopreach/internal/transport/peer"
)

const (
	// readInterval is the time between two reads of the store, or of a peer
	// that reads it.
	readInterval = 450 * time.Millisecond
	// readTimeout bounds one read of the store.
	readTimeout = 900 * time.Millisecond
	// askTimeout bounds one question to a peer.
	askTimeout = 300 * time.Millisecond
	// readers is the number of routers that read the store for the fleet.
	readers = 2
	// readerAge is the age above which what a reader tells is not enough: it
	// has missed a read.
	readerAge = readInterval + 200*time.Millisecond
	// staleAfter is the same for what other routers tell at second hand. With
	// the time between two reads it stays under the shortest bound within
	// which a change must act, 2 s.
	staleAfter = 800 * time.Millisecond
	// askAround is the number of routers that are asked while neither the
	// store nor the readers answer.
	askAround = 8
)

// reading is something read of the store and when the read was sent.
type reading struct {
	data []byte
	at   clock.Instant
}

// sources keeps the configuration and the endpoints up to date: a few routers
// read them from the store, the others ask these, and whoever gets no answer
// turns to the other way.
type sources struct {
	router *Hosted
	peers  *peers
	core   *Core
	asker  *peer.Asker
	logger log.Interface
	ctx    context.Context
	cancel context.CancelFunc
	loop   sync.WaitGroup
	// lost is set while this router's own reads fail; only run uses it.
	lost bool

	mu            sync.Mutex
	configuration reading        // guarded by mu
	list          reading        // guarded by mu
	table         *listing.Table // guarded by mu
	version       uint64         // guarded by mu
	listHash      uint64         // guarded by mu
}

func startSources(r *Hosted, p *peers) *sources {
	ctx, cancel := context.WithCancel(context.Background())
	s := &sources{
		router: r, peers: p, core: r.core, asker: r.links.NewAsker(), logger: r.hosting.Logger, ctx: ctx, cancel: cancel,
		table: listing.New(r.hosting.Listing),
	}
	p.confirm = s.confirm
	s.loop.Go(s.run)
	return s
}

// Close stops the reads and waits.
func (s *sources) Close() {
	s.cancel()
	s.loop.Wait()
	s.asker.Close()
}

// run reads until the router stops.
func (s *sources) run() {
	random := random(s.router.hosting.Incarnation, "sources")
	for s.ctx.Err() == nil {
		s.refresh()
		sleep(s.ctx, readInterval*3/4+time.Duration(random.Int64N(int64(readInterval/2))))
	}
}

// refresh reads what is new by the first way that works. While the store is
// lost it is tried beside the other routers, since a call to it may hang.
func (s *sources) refresh() {
	v := s.router.fleet.View()
	var errs []error
	owners := v.Owners("store", readers)
	if len(owners) > 0 && !slices.Contains(owners, v.Self) {
		if errs = s.askFirst(owners, readerAge); errs == nil {
			s.regained()
			return
		}
	}
	if s.lost {
		s.refreshAround(v)
		return
	}
	err := s.readStore()
	if err == nil {
		return
	}
	errs = append(errs, err)
	s.lost = s.ctx.Err() == nil
	s.logger.WithField("Error", errors.Join(errs...)).Warn("StoreLost")
	s.askFirst(s.others(v), staleAfter)
}

// refreshAround asks the others while it tries the store.
func (s *sources) refreshAround(v *view.Snapshot) {
	var store sync.WaitGroup
	var err error
	store.Go(func() { err = s.readStore() })
	s.askFirst(s.others(v), staleAfter)
	store.Wait()
	if err == nil {
		s.regained()
	}
}

// others are the routers to ask, in an order of this router's own.
func (s *sources) others(v *view.Snapshot) []view.RouterID {
	return slices.DeleteFunc(v.Owners("around/"+string(v.Self), askAround+1), func(id view.RouterID) bool { return id == v.Self })
}

// askFirst asks the routers in turn until one of them tells of a read of the
// store within the given time; if none has, it tells why.
func (s *sources) askFirst(routers []view.RouterID, within time.Duration) []error {
	errs := []error{}
	for _, id := range routers {
		fresh, err := s.ask(id, within)
		if fresh {
			return nil
		}
		errs = append(errs, err)
	}
	return errs
}

func (s *sources) regained() {
	if s.lost {
		s.lost = false
		s.logger.Info("StoreRegained")
	}
}

// readStore reads the configuration and the list at the same time.
func (s *sources) readStore() error {
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	platform := s.router.hosting.Platform
	var listErr error
	var both sync.WaitGroup
	both.Go(func() {
		at := clock.Now()
		data, err := platform.ReadEndpoints(ctx)
		if err == nil {
			err = s.takeList(reading{data, at})
		}
		listErr = err
	})
	at := clock.Now()
	data, err := platform.ReadConfiguration(ctx)
	if err == nil {
		err = s.takeConfiguration(reading{data, at}, "")
	}
	both.Wait()
	return errors.Join(err, listErr)
}

// ask asks another router; it returns true if what it told is not older than
// the given time.
func (s *sources) ask(id view.RouterID, within time.Duration) (bool, error) {
	address, ok := s.peers.Address(id)
	if !ok {
		return false, fmt.Errorf("ask router %s: it is gone", id)
	}
	s.mu.Lock()
	q := &wire.ConfirmationQuery{Version: s.version, ListHash: s.listHash}
	s.mu.Unlock()
	return s.confirmAt(address, id, q, within)
}

func (s *sources) confirmAt(address netip.AddrPort, id view.RouterID, q *wire.ConfirmationQuery, within time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(s.ctx, askTimeout)
	defer cancel()
	// The peer's ages count from its answer, which comes after this instant.
	asked := clock.Now()
	answer, err := s.asker.Confirm(ctx, address, q)
	if err != nil {
		return false, err
	}
	age := time.Duration(answer.GetAgeMillis()) * time.Millisecond
	listAge := time.Duration(answer.GetListAgeMillis()) * time.Millisecond
	if answer.GetVersion() == q.Version || len(answer.GetConfiguration()) > 0 {
		if err := s.takeConfiguration(reading{answer.GetConfiguration(), asked.Add(-age)}, id); err != nil {
			return false, err
		}
	}
	if answer.GetListHash() == q.ListHash || len(answer.GetList()) > 0 {
		if err := s.takeList(reading{answer.GetList(), asked.Add(-listAge)}); err != nil {
			return false, err
		}
	}
	if age > within || listAge > within {
		return false, fmt.Errorf("ask router %s: it read the configuration %v and the endpoints %v ago", id, age, listAge)
	}
	return true, nil
}

// takeConfiguration puts a configuration in force unless it is older than the
// one that is. Without data it confirms the one in force.
func (s *sources) takeConfiguration(r reading, from view.RouterID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.data) > 0 && string(r.data) != string(s.configuration.data) {
		table, err := s.router.hosting.Platform.ParseConfiguration(r.data)
		if err != nil {
			return err
		}
		if table.Version < s.version {
			return fmt.Errorf("read configuration: version %d is older than %d, which is in force", table.Version, s.version)
		}
		if table.Version > s.version {
			s.put(table, r, from)
		}
	}
	if r.at.After(s.configuration.at) {
		s.configuration.at = r.at
	}
	return nil
}

// put requires that mu is held.
func (s *sources) put(table *route.Table, r reading, from view.RouterID) {
	s.logger.WithFields(log.Fields{
		"Version": table.Version, "Before": s.version, "From": from, "Age": clock.Now().Sub(r.at),
	}).Info("ConfigurationInForce")
	s.version, s.configuration.data = table.Version, r.data
	s.core.table.Store(table)
	s.router.fleet.setTable(table)
}

// takeList takes a list of endpoints unless a later one is known. Without data
// it confirms the known one.
func (s *sources) takeList(r reading) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.at.After(s.list.at) {
		return nil
	}
	if len(r.data) == 0 {
		r.data = s.list.data
	}
	list, err := s.router.hosting.Platform.ParseEndpoints(r.data)
	if err != nil {
		return err
	}
	s.list, s.listHash = r, xxhash.Sum64(r.data)
	s.router.fleet.setListed(s.table.Update(r.at.Time(), list), s.logger)
	return nil
}

// confirm answers a peer.
func (s *sources) confirm(q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration.at.IsZero() || s.list.at.IsZero() {
		return nil, errors.New("confirm configuration: this router has read none yet")
	}
	now := clock.Now()
	answer := &wire.Confirmation{
		Version: s.version, AgeMillis: ageMillis(now, s.configuration.at),
		ListAgeMillis: ageMillis(now, s.list.at), ListHash: s.listHash,
	}
	if q.GetVersion() < s.version {
		answer.Configuration = s.configuration.data
	}
	if q.GetListHash() != s.listHash {
		answer.List = s.list.data
	}
	return answer, nil
}

// ageMillis rounds up, since an age must never be told too small.
func ageMillis(now, at clock.Instant) uint64 {
	return uint64(max(now.Sub(at), 0)/time.Millisecond) + 1
}

// confirmedWithin reports whether the configuration in force was the newest at
// some instant not longer ago than the given time.
func (s *sources) confirmedWithin(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version > 0 && clock.Now().Sub(s.configuration.at) <= d
}
