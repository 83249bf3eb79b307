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
		From: from, Incarnation: 1, Organisation: "o", Total: m.Total(),
		Acknowledged: m.Acknowledged(), Tag: m.HolderTag(), Waiting: waiting,
	}
}

func TestIdlenessSavesNoCredit(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	is.Equal(l.Take(start, Claim{From: "a", Organisation: "o", Total: 10, Waiting: true}), 10.0)
	l.Take(start, Claim{From: "a", Organisation: "o", Total: 10})
	l.Served(start, "b", 500)
	is.Equal(l.Take(start, Claim{From: "a", Organisation: "o", Total: 10, Waiting: true}), 500.0)
	l.Served(start.Add(time.Second), "b", 900)
	// It waits already, so virtual time does not lift it again.
	is.Equal(l.Take(start.Add(time.Second), Claim{From: "c", Organisation: "o", Waiting: true}), 500.0)
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

func TestCountersKeepTheHigherTag(t *testing.T) {
	is := is.New(t)
	c := NewCounters()
	_, ok := c.Lowest(start)
	is.True(!ok)
	c.Merge("o", 10)
	c.Merge("o", 5)
	is.Equal(c.Serve(start, "o", 7), 10.0)
	c.Correct("o", 3)
	is.Equal(c.Value("o"), 14.0)
	low, ok := c.Lowest(start.Add(time.Second))
	is.True(ok)
	is.Equal(low, 10.0)
	low, ok = c.Lowest(start.Add(3 * time.Second))
	is.True(!ok)
	is.Equal(low, 0.0) // never infinite: it would poison every account
}

// TestLedgerAddsUpAllMeters loses, repeats and reorders reports, and checks
// that the account ends at what all routers have charged.
func TestLedgerAddsUpAllMeters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		routers := []view.RouterID{"a", "b", "c"}
		meters := []*Meter{{}, {}, {}}
		var kept []Claim
		var counter, sum float64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "router")
			amount := float64(rapid.IntRange(0, 1000).Draw(t, "amount"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				meters[i].Charge(amount)
				sum += amount
			case 1:
				kept = append(kept, claim(routers[i], meters[i], true))
			case 2:
				if len(kept) > 0 {
					l.Take(start, kept[rapid.IntRange(0, len(kept)-1).Draw(t, "old")])
				}
			case 3:
				tag := l.Take(start, claim(routers[i], meters[i], true))
				meters[i].Acknowledge(tag, l.Total("o", routers[i]))
			}
			if now := l.Counter("o"); now < counter {
				t.Fatalf("counter fell from %v to %v", counter, now)
			}
			counter = l.Counter("o")
			if counter > sum {
				t.Fatalf("counter %v over the %v that were charged", counter, sum)
			}
		}
		for i, m := range meters {
			l.Take(start, claim(routers[i], m, true))
		}
		if got := l.Counter("o"); got != sum {
			t.Fatalf("counter %v, charged %v", got, sum)
		}
	})
}

func TestLostLedgerIsRebuiltFromTags(t *testing.T) {
	is := is.New(t)
	old, a, b := NewLedger(), &Meter{}, &Meter{}
	a.Charge(100)
	a.Acknowledge(old.Take(start, claim("a", a, true)), 100)
	b.Charge(40)
	b.Acknowledge(old.Take(start, claim("b", b, true)), 40)
	a.Charge(7) // not yet reported
	rebuilt := NewLedger()
	rebuilt.Take(start, claim("b", b, true))
	rebuilt.Take(start, claim("a", a, true))
	is.Equal(rebuilt.Counter("o"), 147.0)
}

func TestSidesOfAPartitionMerge(t *testing.T) {
	is := is.New(t)
	left, a, b := NewLedger(), &Meter{}, &Meter{}
	take := func(l *Ledger, from view.RouterID, m *Meter) {
		m.Acknowledge(l.Take(start, claim(from, m, true)), l.Total("o", from))
	}
	a.Charge(10)
	take(left, "a", a)
	b.Charge(20)
	take(left, "b", b)
	right := NewLedger() // b is cut off and finds another holder
	a.Charge(100)
	take(left, "a", a)
	b.Charge(200)
	take(right, "b", b)
	take(left, "b", b) // the partition ends
	is.Equal(left.Counter("o"), 330.0)
	take(left, "a", a)
	is.Equal(a.Tag(), 330.0)
}

func TestRefundsAreUsedBeforeNewCharges(t *testing.T) {
	is := is.New(t)
	var m Meter
	m.Charge(100)
	m.Refund(60)
	is.Equal(m.Tag(), 40.0)
	is.Equal(m.Total(), 100.0)
	m.Charge(80)
	is.Equal(m.Total(), 120.0)
	is.Equal(m.Tag(), 120.0)
	m.Acknowledge(500, 120)
	m.Acknowledge(450, 100) // an older answer
	is.Equal(m.Tag(), 500.0)
}
