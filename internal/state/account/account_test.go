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

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// claim is what a router's meter reports.
func claim(from view.RouterID, m *Meter, waiting bool) Claim {
	return Claim{
		From: from, Incarnation: 1, Organisation: "o", Total: m.Total(), Reserved: m.Reserved(),
		Acknowledged: m.Acknowledged(), Settled: m.Settled(), Waiting: waiting,
	}
}

// exchange reports a meter to a ledger and takes the answer back.
func exchange(l *Ledger, from view.RouterID, m *Meter) {
	s := l.Take(start, claim(from, m, true))
	m.Acknowledge(start, s)
}

func TestIdlenessSavesNoCredit(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.Equal(l.Take(start, Claim{From: "a", Organisation: "o", Total: 10, Waiting: true}).Settled, 10.0)
	l.Take(start, Claim{From: "a", Organisation: "o", Total: 10})
	l.Served(start, "b", 500)
	back := Claim{From: "a", Organisation: "o", Total: 10, Reserved: 30, Waiting: true}
	is.Equal(l.Take(start, back).Settled, 470.0) // with its reserve at virtual time
	later := start.Add(time.Second)
	l.Served(later, "b", 900)
	// It waits already, so virtual time does not lift it again.
	is.Equal(l.Take(later, Claim{From: "c", Organisation: "o", Waiting: true}).Settled, 470.0)
}

func TestVirtualTimeFollowsTheLeastServed(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Served(start, "ahead", 900)
	is.Equal(l.Virtual(), 900.0)
	l.Served(start, "behind", 100)
	is.Equal(l.Virtual(), 900.0) // it never falls
	later := start.Add(2 * sourceLifetime)
	l.Served(later, "behind", 950) // the other has gone quiet
	is.Equal(l.Virtual(), 950.0)
}

func TestCountersTakeTheGreatestFreshWord(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Hear(start, "a", "o", 10, 0)
	c.Hear(start, "b", "o", 8, 0)
	is.Equal(c.Value(start, "o"), 10.0)
	c.Hear(start, "a", "o", 5, 0) // a's request ended and freed its reserve
	is.Equal(c.Value(start, "o"), 8.0)
	c.Forget(start, "b")
	is.Equal(c.Value(start, "o"), 5.0)
	c.Forget(start, "a")
	is.Equal(c.Value(start, "o"), 5.0) // nothing better is known
}

func TestCountersKeepGrantsThatAreOnTheWay(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Hear(start, "a", "o", 10, 0)
	is.Equal(c.Serve(start, "a", "o", 7), 10.0)
	c.Hear(start.Add(time.Millisecond), "a", "o", 11, 0) // sent before the grant came
	is.Equal(c.Value(start, "o"), 18.0)
	c.Hear(start.Add(onTheWay), "a", "o", 18, 0)
	is.Equal(c.Value(start, "o"), 18.0)
}

func TestCountersGrowBetweenWords(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	c.Hear(start, "a", "o", 10, 100)
	is.Equal(c.Value(start.Add(time.Second), "o"), 110.0)
	is.Equal(c.Value(start.Add(time.Minute), "o"), 210.0) // for two seconds at most
}

func TestMeterTakesOthersToGoOn(t *testing.T) {
	is := is.New(t)
	var m Meter
	m.Acknowledge(start, Standing{Settled: 0, Total: 0})
	m.Acknowledge(start.Add(time.Second), Standing{Settled: 100, Total: 0})
	is.Equal(m.Rate(), 50.0) // smoothed
	is.Equal(m.Tag(start.Add(2*time.Second)), 150.0)
	is.Equal(m.Settled(), 100.0)
}

func TestLowestServed(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	low, ok := c.Lowest(start)
	is.True(!ok)
	is.Equal(low, 0.0) // never infinite: it would poison every account
	c.Hear(start, "a", "o", 10, 0)
	c.Serve(start, "a", "o", 7)
	low, ok = c.Lowest(start.Add(time.Second))
	is.True(ok)
	is.Equal(low, 10.0)
	_, ok = c.Lowest(start.Add(3 * time.Second))
	is.True(!ok)
}

// TestLedgerAddsUpAllMeters loses, repeats and reorders reports, and checks
// that the account ends at what all routers have settled.
func TestLedgerAddsUpAllMeters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		routers := []view.RouterID{"a", "b", "c"}
		meters := []*Meter{{}, {}, {}}
		var kept []Claim
		var settled, sum float64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "router")
			amount := float64(rapid.IntRange(0, 1000).Draw(t, "amount"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				meters[i].Serve(amount)
				sum += amount
			case 1:
				kept = append(kept, claim(routers[i], meters[i], true))
			case 2:
				if len(kept) > 0 {
					l.Take(start, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "old")])
				}
			case 3:
				exchange(l, routers[i], meters[i])
			}
			if now := l.Settled("o"); now < settled {
				t.Fatalf("settled fell from %v to %v", settled, now)
			}
			settled = l.Settled("o")
			if settled > sum {
				t.Fatalf("settled %v over the %v that were served", settled, sum)
			}
		}
		for i, m := range meters {
			l.Take(start, claim(routers[i], m, true))
		}
		if got := l.Settled("o"); got != sum {
			t.Fatalf("settled %v, served %v", got, sum)
		}
	})
}

func TestLostLedgerIsRebuiltFromMeters(t *testing.T) {
	is := is.New(t)
	old, a, b := NewLedger(), &Meter{}, &Meter{}
	a.Serve(100)
	exchange(old, "a", a)
	b.Serve(40)
	exchange(old, "b", b)
	a.Serve(7) // not yet reported
	rebuilt := NewLedger()
	exchange(rebuilt, "b", b)
	exchange(rebuilt, "a", a)
	is.Equal(rebuilt.Settled("o"), 147.0)
}

func TestSidesOfAPartitionMerge(t *testing.T) {
	is := is.New(t)
	left, a, b := NewLedger(), &Meter{}, &Meter{}
	a.Serve(10)
	exchange(left, "a", a)
	b.Serve(20)
	exchange(left, "b", b)
	right := NewLedger() // b is cut off and finds another holder
	a.Serve(100)
	exchange(left, "a", a)
	b.Serve(200)
	exchange(right, "b", b)
	exchange(left, "b", b) // the partition ends
	is.Equal(left.Settled("o"), 330.0)
	exchange(left, "a", a)
	is.Equal(a.Tag(start), 330.0)
}

func TestReservesOfOtherRoutersCount(t *testing.T) {
	is := is.New(t)
	l, a, b := NewLedger(), &Meter{}, &Meter{}
	a.Reserve(60)
	exchange(l, "a", a)
	exchange(l, "b", b)
	is.Equal(b.Tag(start), 60.0)
	a.Free(60)
	a.Serve(10)
	exchange(l, "a", a)
	exchange(l, "b", b)
	is.Equal(b.Tag(start), 10.0)
	later := l.Take(start.Add(2*sourceLifetime), Claim{From: "b", Incarnation: 1, Organisation: "o"})
	is.Equal(later.OthersReserved, 0.0) // a has gone
}

func TestMeterIgnoresAnswersToAnEarlierStart(t *testing.T) {
	is := is.New(t)
	var m Meter
	m.Serve(5)
	m.Acknowledge(start, Standing{Settled: 500, Total: 100})
	is.Equal(m.Tag(start), 5.0)
	m.Acknowledge(start, Standing{Settled: 500, Total: 5})
	m.Acknowledge(start, Standing{Settled: 450, Total: 3}) // older
	is.Equal(m.Tag(start), 500.0)
}

func TestLostAccountIsLiftedAndNotPaidBack(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Raise(4600) // what the surviving accounts are at, less the lag
	var m Meter
	m.Serve(3)
	s := l.Take(start, Claim{From: "r2", Organisation: "lost", Total: m.Total(), Waiting: true})
	is.Equal(s.Settled, 4600.0)
	is.Equal(s.Lifted, 4597.0)
	m.Acknowledge(start, s)
	is.Equal(m.Tag(start), 4600.0)
	is.Equal(m.Rate(), 0.0) // a lift is no service
	m.Serve(20)
	s = l.Take(start, Claim{From: "r2", Organisation: "lost", Total: m.Total(), Acknowledged: m.Acknowledged(), Settled: m.Settled(), Waiting: true})
	is.Equal(s.Settled, 4620.0) // lifted once
	later := start.Add(time.Second)
	m.Acknowledge(later, s)
	m.Measure(later)
	is.Equal(m.Rate(), 0.0)
}
