package router

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/transport/clock"
)

// TestListIsReadAsOftenAsDrainingNeeds covers the load that reads of the store cause: a
// list of 165 endpoints takes four calls, made every 0.45 s whatever time leaving
// endpoints were given. Lists are read twice as seldom from a drain time of 4 s on,
// never less often than that, and as often as before where it is 2 s.
func TestListIsReadAsOftenAsDrainingNeeds(t *testing.T) {
	for _, c := range []struct{ drain, mean time.Duration }{
		{time.Second, 450 * time.Millisecond},
		{2 * time.Second, 450 * time.Millisecond},
		{3 * time.Second, 675 * time.Millisecond},
		{4 * time.Second, 900 * time.Millisecond},
		{time.Hour, 900 * time.Millisecond},
	} {
		t.Run(c.drain.String(), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			s := &sources{router: &Hosted{options: HostedOptions{DrainWithin: c.drain}}}
			start := clock.Now()
			s.current.Store(&readings{list: readResult{at: start}})
			last, longest, reads := start, time.Duration(0), 0
			at := start
			for at.Sub(start) < 10*time.Minute {
				at = at.Add(readInterval*3/4 + time.Duration(random.Int64N(int64(readInterval/2))))
				if s.readsList(at) {
					longest = max(longest, at.Sub(last))
					last = at
					reads++
				}
			}
			mean := at.Sub(start) / time.Duration(reads)
			t.Logf("mean %v, longest %v", mean, longest)
			is.True(mean >= c.mean*9/10 && mean <= c.mean*12/10)
			is.True(longest <= c.mean*3/2+readInterval/4)
		})
	}
}

// TestLostStoreIsReadInFull guards against a router whose list is not read with the first
// call that succeeds after an outage of the store.
func TestLostStoreIsReadInFull(t *testing.T) {
	is := is.New(t)
	s := &sources{router: &Hosted{options: HostedOptions{DrainWithin: 4 * time.Second}}}
	s.current.Store(&readings{})
	now := clock.Now()
	is.True(s.readsList(now)) // no list is known
	s.current.Store(&readings{list: readResult{at: now}})
	is.True(!s.readsList(now.Add(readInterval)))
	s.storeLost = true
	is.True(s.readsList(now.Add(readInterval)))
}
