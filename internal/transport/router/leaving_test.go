package router

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/listing"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
)

// spread is a fleet in virtual time in which the lists never state that an endpoint
// leaves. Routers 0 and 1 read the store, and the others query router 0.
type spread struct {
	tables  []*listing.Table
	random  *rand.Rand
	learnt  []time.Duration // when each router learnt the statement; -1 before
	reports []int           // the reports that each router has sent
	answers int             // bytes of the statements in queries and their answers
}

// report sends a report to the store readers, of which the first one is lost, and passes it on.
func (s *spread) report(from int, now time.Duration, id view.EndpointID, lose bool) {
	for reader := range storeReaders {
		if reader == from {
			continue
		}
		s.reports[from]++
		if reader == 0 && lose {
			continue
		}
		if s.learn(reader, now, id) {
			s.report(reader, now, id, lose)
		}
	}
}

func (s *spread) learn(router int, now time.Duration, id view.EndpointID) bool {
	if s.learnt[router] >= 0 {
		return false
	}
	s.learnt[router] = now
	s.tables[router].RecordLeaving(time.Unix(100, 0).Add(now), id)
	return true
}

// TestStatementReachesLargeFleetsInTime guards, in virtual time, against routers that send
// requests to an endpoint for longer than the shortest drain time after another router has
// learnt that it leaves, and against traffic that grows with the square of the fleet: one
// router learns it, all do at once, or each report to the first store reader is lost.
func TestStatementReachesLargeFleetsInTime(t *testing.T) {
	const drain = 2 * time.Second
	for _, tt := range []struct {
		name      string
		all, lose bool
	}{{"one", false, false}, {"all", true, false}, {"lost", false, true}} {
		for _, count := range []int{7, 70, 360} {
			t.Run(fmt.Sprint(tt.name, count), func(t *testing.T) {
				is := is.New(t)
				e := view.Endpoint{ID: "worker-0123456789#1700000000000", Pool: "pool-00", VM: "worker-0123456789", FailureDomain: "domain-a", Address: netip.MustParseAddrPort("10.0.0.1:8080"), Slots: 16, Sequence: 1 << 30}
				s := &spread{random: rand.New(rand.NewPCG(uint64(count), 0)), learnt: make([]time.Duration, count), reports: make([]int, count)}
				next := make([]time.Duration, count)
				for i := range count {
					s.tables = append(s.tables, listing.New(listing.Limits{LapseTime: time.Minute, RelistTime: time.Minute}))
					s.tables[i].Update(time.Unix(99, 0), []view.Endpoint{e})
					s.learnt[i], next[i] = -1, time.Duration(s.random.Int64N(int64(readInterval*5/4)))
				}
				for i := range count {
					if i == count-1 || tt.all {
						if s.learn(i, 0, e.ID) {
							s.report(i, 0, e.ID, tt.lose)
						}
					}
				}
				for now := time.Duration(0); now < drain; now += time.Millisecond {
					for i := storeReaders; i < count; i++ {
						if now < next[i] {
							continue
						}
						next[i] = now + readInterval*3/4 + time.Duration(s.random.Int64N(int64(readInterval/2)))
						stated, own := s.tables[0].Stated(), s.tables[i].Stated()
						query, answer := &wire.ConfirmationQuery{StatedHash: statedHash(own)}, &wire.Confirmation{StatedHash: statedHash(stated)}
						if answer.StatedHash != query.StatedHash {
							for _, id := range stated {
								answer.Stated = append(answer.Stated, string(id))
							}
						}
						s.answers += proto.Size(query) + proto.Size(answer)
						switch {
						case len(stated) > 0:
							s.learn(i, now, e.ID)
						case len(own) > 0:
							s.reports[i]++
							s.learn(0, now, e.ID)
						}
					}
				}
				last, most, sum := time.Duration(0), 0, 0
				for i := range count {
					is.True(s.learnt[i] >= 0)
					last, most, sum = max(last, s.learnt[i]), max(most, s.reports[i]), sum+s.reports[i]
				}
				is.True(last < drain)
				is.True(most <= storeReaders+1)
				t.Logf("%d routers: the last one learns it after %v; %d reports of %d bytes, %d at most by one router; %d bytes of queries and answers a second, %d for each router",
					count, last, sum, proto.Size(leavingReport(e.ID)), most, s.answers/int(drain/time.Second), s.answers/int(drain/time.Second)/count)
			})
		}
	}
}
