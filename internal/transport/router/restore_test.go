package router

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"hyssopreach/internal/coordination/listing"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/clock"
)

// restoreFleet is a fleet of sources without their loops, in a simulated time: to let
// time pass, all instants that the sources know are moved into the past.
type restoreFleet struct {
	router  *Hosted
	sources []*sources
	cut     []bool
	// highest is the highest version in force at each router since it started, and
	// startedAt when that was.
	highest   []uint64
	startedAt []clock.Instant
	passed    time.Duration

	// stored is the version that the store holds and copies those of the past; newest is
	// the newest one that it has acknowledged. The store came back from a copy at
	// restoredAt, and lacks the newest version until it is written again.
	stored, newest, epoch uint64
	copies                []storedVersion
	restoredAt            clock.Instant
	// holdsKey states whether a version holds the key, and keyedAt when the newest one
	// last did.
	holdsKey map[uint64]bool
	keyedAt  clock.Instant
	late     []lateReading
}

type storedVersion struct {
	version uint64
	at      clock.Instant
}

// lateReading is an answer of the store that is on its way to a router.
type lateReading struct {
	router int
	result readResult
}

// now returns the simulated time.
func (f *restoreFleet) now() clock.Instant { return clock.Now().Add(f.passed) }

func newRestoreFleet(r *Hosted, count int) *restoreFleet {
	f := &restoreFleet{router: r, cut: make([]bool, count), highest: make([]uint64, count), startedAt: make([]clock.Instant, count), epoch: 1, holdsKey: map[uint64]bool{}}
	f.keyedAt = f.now()
	f.write(1, true)
	for range count {
		f.sources = append(f.sources, nil)
	}
	for i := range count {
		f.start(i)
		f.apply(i, f.read())
	}
	return f
}

// start replaces the sources of a router by new ones.
func (f *restoreFleet) start(i int) {
	f.sources[i] = &sources{
		router: f.router, logger: f.router.options.Logger, table: listing.New(f.router.options.Listing), restorations: metrics.NewCounter(),
	}
	f.sources[i].current.Store(&readings{list: readResult{at: clock.Now()}})
	f.highest[i], f.startedAt[i] = 0, f.now()
	f.late = slices.DeleteFunc(f.late, func(l lateReading) bool { return l.router == i })
}

func (f *restoreFleet) write(steps uint64, key bool) {
	f.settle()
	f.newest += steps
	f.stored, f.holdsKey[f.newest] = f.newest, key
	f.copies = append(f.copies, storedVersion{f.stored, f.now()})
}

// settle updates keyedAt.
func (f *restoreFleet) settle() {
	if f.holdsKey[f.newest] {
		f.keyedAt = f.now()
	}
}

// restore brings the store back from a copy of the given age.
func (f *restoreFleet) restore(age time.Duration) {
	at := f.now().Add(-age)
	for _, c := range f.copies {
		if !c.at.After(at) {
			f.stored = c.version
		}
	}
	f.epoch++
	f.restoredAt = f.now()
	f.copies = append(f.copies, storedVersion{f.stored, f.now()})
}

// rewriteWithin is the time within which operators write what a restored store lacks. It
// is shorter than RelistTime, as the test itself may stand still.
func (f *restoreFleet) rewriteWithin() time.Duration {
	return f.router.options.Listing.RelistTime * 3 / 4
}

// pass lets time pass. Operators write the newest version again in time.
func (f *restoreFleet) pass(d time.Duration) {
	if left := f.rewriteWithin() - f.now().Sub(f.restoredAt); f.stored < f.newest && d > left {
		f.move(max(left, 0))
		f.write(0, f.holdsKey[f.newest])
		d -= max(left, 0)
	}
	f.move(d)
	f.settle()
}

func (f *restoreFleet) move(d time.Duration) {
	f.passed += d
	for _, s := range f.sources {
		next := *s.current.Load()
		for _, at := range []*clock.Instant{&next.configuration.at, &next.list.at, &next.restoredAt} {
			if !at.IsZero() {
				*at = at.Add(-d)
			}
		}
		s.current.Store(&next)
	}
	for i := range f.late {
		f.late[i].result.at = f.late[i].result.at.Add(-d)
	}
}

func (f *restoreFleet) read() readResult {
	return readResult{data: fmt.Append(nil, f.stored), at: clock.Now(), epoch: f.epoch}
}

// apply passes a reading to a router. One that the router rejects has no effect.
func (f *restoreFleet) apply(i int, r readResult) { _ = f.sources[i].applyConfiguration(r, "") }

// query passes what router from knows to router i, as confirmFromAddress does.
func (f *restoreFleet) query(i, from int, starting bool) {
	c := f.sources[i].current.Load()
	q := &wire.ConfirmationQuery{Version: c.version, ListHash: c.listHash, Starting: starting}
	sentAt := clock.Now()
	answer, err := f.sources[from].answerConfirmation(q)
	if err != nil {
		return
	}
	var restoredAt clock.Instant
	if age := answer.GetRestoredAgeMillis(); age > 0 {
		restoredAt = clock.Now().Add(-time.Duration(age) * time.Millisecond)
	}
	if answer.GetVersion() == q.Version || len(answer.GetConfiguration()) > 0 {
		age := time.Duration(answer.GetAgeMillis()) * time.Millisecond
		_ = f.sources[i].applyConfiguration(readResult{answer.GetConfiguration(), sentAt.Add(-age), answer.GetEpoch(), restoredAt}, "peer")
	}
}

// pastKnown reports whether another router than i can be asked that has run since before
// the store was restored.
func (f *restoreFleet) pastKnown(i int) bool {
	for j := range f.sources {
		if j != i && !f.cut[j] && f.restoredAt.After(f.startedAt[j]) {
			return true
		}
	}
	return false
}

// restart starts a router anew, which asks the others and then reads the store. It does
// nothing where no one can tell the router that the store lacks a version.
func (f *restoreFleet) restart(i int) {
	if f.cut[i] || !f.pastKnown(i) && f.stored < f.newest {
		return
	}
	f.start(i)
	for j := range f.sources {
		if j != i && !f.cut[j] {
			f.query(i, j, true)
		}
	}
	f.apply(i, f.read())
}

// check checks what the routers have in force.
func (f *restoreFleet) check(t *rapid.T) {
	f.settle()
	for i, s := range f.sources {
		version := s.current.Load().version
		if version < f.highest[i] {
			t.Fatalf("router %d: version %d after %d", i, version, f.highest[i])
		}
		f.highest[i] = version
		age := f.now().Sub(f.keyedAt)
		if f.holdsKey[version] && s.confirmedWithin(f.router.options.confirmFor()) && age > f.router.options.RevokeWithin {
			t.Fatalf("router %d accepts the key by version %d, %v after version %d took it away", i, version, age, f.newest)
		}
	}
}

// TestConfigurationInForceNeverGoesBack checks over random writes, restores, restarts,
// cuts, late answers and queries between routers that the version in force never falls, that a
// key that was taken away is not accepted for longer than it may be, and that all routers
// reach the newest version in the end.
func TestConfigurationInForceNeverGoesBack(t *testing.T) {
	s := &store{version: 1, refused: map[view.RouterID]bool{"r0": true}}
	router := startHosted(t, s, 1)[0]
	check := func(t *rapid.T) {
		const count = 2
		f := newRestoreFleet(router, count)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "router")
			other := count - 1 - i
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				f.write(rapid.Uint64Range(1, 9).Draw(t, "versions"), rapid.Bool().Draw(t, "key"))
			case 1:
				age := rapid.SampledFrom([]int{10, 300, 1000, 2000, 10_000}).Draw(t, "age")
				f.restore(time.Duration(age) * time.Millisecond)
			case 2:
				f.restart(i)
			case 3:
				f.cut[i] = !f.cut[i]
			case 4: // an answer that takes time
				if !f.cut[i] {
					f.late = append(f.late, lateReading{i, f.read()})
				}
			case 5:
				if len(f.late) > 0 { // also to a router that is cut off by now
					f.apply(f.late[0].router, f.late[0].result)
					f.late = f.late[1:]
				}
			case 6:
				if !f.cut[i] {
					f.apply(i, f.read())
				}
			case 7:
				if !f.cut[i] && !f.cut[other] {
					f.query(i, other, false)
				}
			default:
				f.pass(time.Duration(rapid.SampledFrom([]int{20, 400, 1100}).Draw(t, "time")) * time.Millisecond)
			}
			f.check(t)
		}
		for range 6 {
			f.pass(f.router.options.Listing.RelistTime / 2)
			for i := range f.sources {
				f.apply(i, f.read())
			}
			f.check(t)
		}
		for i, s := range f.sources {
			if c := s.current.Load(); c.version != f.newest || !s.confirmedWithin(time.Second) {
				t.Fatalf("router %d: version %d, not %d, or not confirmed", i, c.version, f.newest)
			}
		}
	}
	for range 20 { // the usual number of checks finds too little
		rapid.Check(t, check)
	}
}

// TestRouterCutOffDuringRestoreRetainsItsConfiguration guards against a key that was taken away
// and is accepted by a router that was cut off while the store came back from an older copy,
// and against one that refuses valid keys for ever.
func TestRouterCutOffDuringRestoreRetainsItsConfiguration(t *testing.T) {
	is := is.New(t)
	s := &store{version: 5, epoch: 1, refused: map[view.RouterID]bool{}}
	r := startHostedFleet(t, s, 1)[0]
	admit := func() int {
		_, problem := r.core.Admit(&IncomingRequest{ID: "1", Host: "h", Path: "/keyed/x", Key: "k"}, time.Now())
		if problem == nil {
			return http.StatusOK
		}
		return problem.Status
	}
	set := func(version, epoch uint64, refused bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version, s.epoch, s.refused[r.self.ID] = version, epoch, refused
	}
	waitFor(t, "the key is accepted", func() bool { return admit() == http.StatusOK })
	for range 2 {
		epoch := r.sources.current.Load().epoch
		set(5, epoch, true)
		waitFor(t, "the configuration is old", func() bool { return !r.sources.confirmedWithin(r.options.confirmFor()) })
		is.Equal(admit(), http.StatusServiceUnavailable)
		set(3, epoch+1, true) // restored while the router is cut off
		time.Sleep(2 * readInterval)
		set(3, epoch+1, false)
		waitFor(t, "the router has noticed", func() bool { return r.sources.current.Load().epoch == epoch+1 })
		for end := time.Now().Add(3 * r.options.Listing.RelistTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			is.Equal(r.core.Table().Version, uint64(5))
			is.Equal(admit(), http.StatusServiceUnavailable) // a version after 5 may have been lost as well
		}
		set(5, epoch+1, false)
		waitFor(t, "the key is accepted again", func() bool { return admit() == http.StatusOK })
		is.Equal(r.core.Table().Version, uint64(5))
	}
	// The copy may hold a version that the router has not seen, but not the newest one.
	set(5, 3, true)
	waitFor(t, "the configuration is old", func() bool { return !r.sources.confirmedWithin(r.options.confirmFor()) })
	set(6, 4, false)
	waitFor(t, "the version of the copy is in force", func() bool { return r.core.Table().Version == 6 })
	noticed := r.sources.current.Load().restoredAt
	for clock.Now().Sub(noticed) < r.options.Listing.RelistTime*9/10 {
		status := admit()
		is.True(status == http.StatusServiceUnavailable || clock.Now().Sub(noticed) >= r.options.Listing.RelistTime)
		time.Sleep(5 * time.Millisecond)
	}
	waitFor(t, "the key is accepted again", func() bool { return admit() == http.StatusOK })
	set(7, 4, false)
	waitFor(t, "a later version is in force", func() bool { return r.core.Table().Version == 7 })
}
