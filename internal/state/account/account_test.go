package account

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/view"
)

var start = time.Unix(1_000_000, 0)

// TestMain fixes the seed of the property tests; -rapid.seed on the command
// line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// reportOf returns the report that a router makes from its meter.
func reportOf(from view.RouterID, m *Meter, waiting bool) Report {
	return Report{
		From: from, Incarnation: 1, Organisation: "o", Total: m.Total(), Reserved: m.Reserved(),
		Acknowledged: m.Acknowledged(), Settled: m.Settled(), Waiting: waiting,
	}
}

// exchange reports a meter to a ledger and applies the answer to the meter.
func exchange(l *Ledger, from view.RouterID, m *Meter) {
	s := l.Apply(start, reportOf(from, m, true))
	m.Acknowledge(start, s)
}

// An idle organisation must not accumulate credit: otherwise its counter would
// stay behind the others', and it would displace them when it resumes. Its
// counter resumes at the pool's virtual time, and is raised only once.
func TestIdleOrganisationResumesAtVirtualTime(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.Equal(l.Apply(start, Report{From: "a", Organisation: "o", Total: 10, Waiting: true}).Settled, 10.0)
	l.Apply(start, Report{From: "a", Organisation: "o", Total: 10})
	l.UpdateServed(start, "b", 500)
	back := Report{From: "a", Organisation: "o", Total: 10, Reserved: 30, Waiting: true}
	is.Equal(l.Apply(start, back).Settled, 470.0) // 500 with its reserve
	later := start.Add(time.Second)
	l.UpdateServed(later, "b", 900)
	// The organisation already has waiting requests, so it is not raised again.
	is.Equal(l.Apply(later, Report{From: "c", Organisation: "o", Waiting: true}).Settled, 470.0)
}

// Virtual time is the lowest counter that any router serves. It must not
// decrease, and a router that no longer reports must not hold it back.
func TestVirtualTimeIsLowestServedCounter(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.UpdateServed(start, "ahead", 900)
	is.Equal(l.VirtualTime(), 900.0)
	l.UpdateServed(start, "behind", 100)
	is.Equal(l.VirtualTime(), 900.0) // it never decreases
	later := start.Add(2 * ledgerReportLifetime)
	l.UpdateServed(later, "behind", 950) // the other report has expired
	is.Equal(l.VirtualTime(), 950.0)
}

// Routers report different counters for one organisation, because each knows
// the others' service with a delay. The greatest valid report must determine
// the value, and the last value must survive the loss of all reporting routers.
func TestCountersUseGreatestValidReport(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Update(start, "a", "o", 10, 0)
	c.Update(start, "b", "o", 8, 0)
	is.Equal(c.Value(start, "o"), 10.0)
	c.Update(start, "a", "o", 5, 0) // a's request ended and freed its reserve
	is.Equal(c.Value(start, "o"), 8.0)
	c.RemoveRouter(start, "b")
	is.Equal(c.Value(start, "o"), 5.0)
	c.RemoveRouter(start, "a")
	is.Equal(c.Value(start, "o"), 5.0) // the last value is the fallback
}

// A report that a router sends before a grant reaches it does not include the
// grant. The dispatcher must add the grant to the reported counter; otherwise
// the report would cancel the charge for the grant, and the organisation would
// be served again too early.
func TestCountersAddGrantsInTransit(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Update(start, "a", "o", 10, 0)
	is.Equal(c.Charge(start, "a", "o", 7), 10.0)
	c.Update(start.Add(time.Millisecond), "a", "o", 11, 0) // sent before the grant arrived
	is.Equal(c.Value(start, "o"), 18.0)
	c.Update(start.Add(grantTransitTime), "a", "o", 18, 0)
	is.Equal(c.Value(start, "o"), 18.0)
}

// Between two reports a counter grows at the reported rate, but not without
// limit: a router that has stopped reporting must not raise it further.
func TestCountersGrowBetweenReports(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Update(start, "a", "o", 10, 100)
	is.Equal(c.Value(start.Add(time.Second), "o"), 110.0)
	is.Equal(c.Value(start.Add(time.Minute), "o"), 210.0) // extrapolated for 2 s at most
}

// Between two answers of the holder, the meter extrapolates the service of the
// other routers; otherwise its counter would lag behind theirs.
func TestMeterExtrapolatesServiceOfOtherRouters(t *testing.T) {
	is := is.New(t)
	var m Meter
	m.Acknowledge(start, Balance{Settled: 0, Total: 0})
	m.Acknowledge(start.Add(time.Second), Balance{Settled: 100, Total: 0})
	is.Equal(m.Rate(), 50.0) // smoothed
	is.Equal(m.Counter(start.Add(2*time.Second)), 150.0)
	is.Equal(m.Settled(), 100.0)
}

// The lowest served counter covers recent grants only, and is reported as
// missing when there is none. An infinite value would reach the ledger as
// virtual time and raise every account to it.
func TestLowestServedCounterIsRecentAndFinite(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	low, ok := c.LowestServed(start)
	is.True(!ok)
	is.Equal(low, 0.0) // not infinite
	c.Update(start, "a", "o", 10, 0)
	c.Charge(start, "a", "o", 7)
	low, ok = c.LowestServed(start.Add(time.Second))
	is.True(ok)
	is.Equal(low, 10.0)
	_, ok = c.LowestServed(start.Add(3 * time.Second))
	is.True(!ok)
}

// Reports are lost, duplicated and reordered. The balance must never decrease,
// must never exceed the service provided, and must end at the sum that all
// routers have settled; otherwise service would be counted twice or not at all.
func TestLedgerAddsUpAllMeters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		routers := []view.RouterID{"a", "b", "c"}
		meters := []*Meter{{}, {}, {}}
		var delayed []Report
		var settled, sum float64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "router")
			amount := float64(rapid.IntRange(0, 1000).Draw(t, "amount"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				meters[i].AddService(amount)
				sum += amount
			case 1:
				delayed = append(delayed, reportOf(routers[i], meters[i], true))
			case 2:
				if len(delayed) > 0 {
					l.Apply(start, delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "old")])
				}
			case 3:
				exchange(l, routers[i], meters[i])
			}
			if now := l.Settled("o"); now < settled {
				t.Fatalf("settled decreased from %v to %v", settled, now)
			}
			settled = l.Settled("o")
			if settled > sum {
				t.Fatalf("settled %v exceeds the %v served", settled, sum)
			}
		}
		for i, m := range meters {
			l.Apply(start, reportOf(routers[i], m, true))
		}
		if got := l.Settled("o"); got != sum {
			t.Fatalf("settled %v, served %v", got, sum)
		}
	})
}

// A holder that fails takes its ledger with it. The next holder must restore
// the balance from the routers' reports, unreported service included.
func TestLostLedgerIsRebuiltFromMeters(t *testing.T) {
	is := is.New(t)
	old, a, b := NewLedger(), &Meter{}, &Meter{}
	a.AddService(100)
	exchange(old, "a", a)
	b.AddService(40)
	exchange(old, "b", b)
	a.AddService(7) // not yet reported
	rebuilt := NewLedger()
	exchange(rebuilt, "b", b)
	exchange(rebuilt, "a", a)
	is.Equal(rebuilt.Settled("o"), 147.0)
}

// During a partition an organisation has an account on each side. When the
// partition ends, service that was reported to the other side's holder must be
// neither lost nor counted twice.
func TestAccountsMergeAfterPartition(t *testing.T) {
	is := is.New(t)
	left, a, b := NewLedger(), &Meter{}, &Meter{}
	a.AddService(10)
	exchange(left, "a", a)
	b.AddService(20)
	exchange(left, "b", b)
	right := NewLedger() // b is partitioned and reports to another holder
	a.AddService(100)
	exchange(left, "a", a)
	b.AddService(200)
	exchange(right, "b", b)
	exchange(left, "b", b) // the partition ends
	is.Equal(left.Settled("o"), 330.0)
	exchange(left, "a", a)
	is.Equal(a.Counter(start), 330.0)
}

// Requests that run through other routers must count before they are settled,
// or each router would underestimate the counter. The reserves of a router that
// has stopped reporting expire.
func TestCounterIncludesReservesOfOtherRouters(t *testing.T) {
	is := is.New(t)
	l, a, b := NewLedger(), &Meter{}, &Meter{}
	a.AddReserve(60)
	exchange(l, "a", a)
	exchange(l, "b", b)
	is.Equal(b.Counter(start), 60.0)
	a.ReleaseReserve(60)
	a.AddService(10)
	exchange(l, "a", a)
	exchange(l, "b", b)
	is.Equal(b.Counter(start), 10.0)
	later := l.Apply(start.Add(2*ledgerReportLifetime), Report{From: "b", Incarnation: 1, Organisation: "o"})
	is.Equal(later.OthersReserved, 0.0) // a's report has expired
}

// An answer to an earlier incarnation of the router, or an older answer that
// arrives late, must not change the counter.
func TestMeterIgnoresStaleAnswers(t *testing.T) {
	is := is.New(t)
	var m Meter
	m.AddService(5)
	m.Acknowledge(start, Balance{Settled: 500, Total: 100})
	is.Equal(m.Counter(start), 5.0)
	m.Acknowledge(start, Balance{Settled: 500, Total: 5})
	m.Acknowledge(start, Balance{Settled: 450, Total: 3}) // older
	is.Equal(m.Counter(start), 500.0)
}

// When an account is lost with all routers that retained it, it restarts near
// zero, and its organisation would displace all others until it had caught up.
// It must be raised to the floor once, without the lift counting as service in
// the rate.
func TestLostAccountIsRaisedToFloorOnce(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.RaiseFloor(4600) // the surviving accounts' counter less the allowed lag
	var m Meter
	m.AddService(3)
	s := l.Apply(start, Report{From: "r2", Organisation: "lost", Total: m.Total(), Waiting: true})
	is.Equal(s.Settled, 4600.0)
	is.Equal(s.Lifted, 4597.0)
	m.Acknowledge(start, s)
	is.Equal(m.Counter(start), 4600.0)
	is.Equal(m.Rate(), 0.0) // a lift is not service
	m.AddService(20)
	s = l.Apply(start, Report{From: "r2", Organisation: "lost", Total: m.Total(), Acknowledged: m.Acknowledged(), Settled: m.Settled(), Waiting: true})
	is.Equal(s.Settled, 4620.0) // lifted once
	later := start.Add(time.Second)
	m.Acknowledge(later, s)
	m.UpdateRate(later)
	is.Equal(m.Rate(), 0.0)
}
