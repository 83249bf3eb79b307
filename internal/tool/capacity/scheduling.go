package capacity

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/share"
	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/tool/harness"
)

// The load of a scenario, in proportion to the target.
const (
	minCost        = 50  // tokens
	maxCost        = 582 // tokens; the mean is the target's number of tokens per request
	tokenInterval  = 36 * time.Millisecond
	slots          = 72  // requests in flight on an endpoint at the target's peak
	backlogEvery   = 10  // one in this number of organisations has a backlog
	backlog        = 20  // requests
	steadyShare    = 0.8 // of the target's requests come from organisations without a backlog
	warmUp         = 30 * time.Second
	scenarioLength = 60 * time.Second
)

// timedScheduler is a scheduler that measures the time of its steps.
type timedScheduler struct {
	schedule.Scheduler
	spent *time.Duration
}

// Step implements schedule.Scheduler.
func (m timedScheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	start := time.Now()
	out := m.Scheduler.Step(now, in)
	*m.spent += time.Since(start)
	return out
}

// scheduling measures the schedulers of a simulated fleet whose endpoints and
// organisations are in proportion to the target.
func scheduling(routers int, seed uint64) Cost {
	var spent time.Duration
	s := harness.Settings{
		Seed: seed, Routers: routers, Delay: 300 * time.Microsecond, WarmUp: warmUp, Length: scenarioLength,
		MessageSize: func(m schedule.Message) int { return proto.Size(peer.FromScheduleMessage(m)) },
		Policy: func(source rand.Source) schedule.Scheduler {
			return timedScheduler{share.New(share.Options{Source: source}), &spent}
		},
	}
	for range routers * targetEndpoints / targetRouters {
		s.Endpoints = append(s.Endpoints, harness.Endpoint{
			Pool: "model", Slots: slots, Rate: float64(time.Second) / float64(tokenInterval), FirstToken: time.Second,
		})
	}
	count := routers * targetOrganisations / targetRouters
	steady := count - (count+backlogEvery-1)/backlogEvery
	rate := steadyShare * targetRequestsPerSecond * float64(routers) / targetRouters / float64(steady)
	for i := range count {
		o := harness.Organisation{
			Name: fmt.Sprintf("organisation%03d", i), Weight: 1, MinCost: minCost, MaxCost: maxCost,
			Routers: []int{i % routers, (7*i + 1) % routers},
		}
		if i%backlogEvery == 0 {
			o.Backlog = backlog
		} else {
			o.ArrivalInterval = time.Duration(float64(time.Second) / rate)
		}
		s.Organisations = append(s.Organisations, o)
	}
	r := harness.Run(s)
	messages, bytes := r.ControlTraffic()
	detail := fmt.Sprintf("; %.1f starts/s, utilisation %.3f;", r.StartsPerSecond/float64(routers), r.Utilisation)
	for _, kind := range slices.Sorted(maps.Keys(r.Messages)) {
		detail += fmt.Sprintf(" %s %.1f/s %.0f B/s", kind, r.Messages[kind], r.Bytes[kind])
	}
	return Cost{
		Detail:  detail,
		Routers: routers, Messages: messages, Bytes: bytes, FramedBytes: bytes + frameBytes*messages,
		Cores:     spent.Seconds() / scenarioLength.Seconds() / float64(routers),
		HeapBytes: schedulerHeap(routers),
	}
}

// schedulerHeap returns the bytes that a scheduler retains for a view and for
// one waiting request of every organisation.
func schedulerHeap(routers int) float64 {
	const copies = 10
	v := targetView(routers)
	now := time.Unix(1e9, 0)
	return retainedHeap(func() any {
		all := make([]schedule.Scheduler, copies)
		for i := range all {
			all[i] = share.New(share.Options{Source: rand.NewPCG(1, uint64(i))})
			all[i].Step(now, schedule.Change{View: v})
			id := schedule.RequestID(0)
			for name := range v.Organisations {
				id++
				all[i].Step(now, schedule.Arrival{Request: schedule.Request{
					ID: id, Organisation: name, Pool: "model", MayWait: true, Estimate: minCost,
					Deadline: now.Add(time.Hour),
				}})
			}
		}
		return all
	}) / copies
}

// targetView returns a view whose endpoints and organisations are in
// proportion to the target.
func targetView(routers int) *view.Snapshot {
	v := &view.Snapshot{Self: routerID(0), Organisations: map[string]view.Organisation{}, Revision: 1}
	for i := range routers {
		v.Routers = append(v.Routers, view.Router{
			ID: routerID(i), FailureDomain: fmt.Sprintf("domain-%d", i%targetDomains), Incarnation: 1,
			PeerAddress: address(i, 8081), CallerAddress: address(i, 8080),
		})
	}
	for i := range routers * targetEndpoints / targetRouters {
		v.Endpoints = append(v.Endpoints, view.Endpoint{
			ID: view.EndpointID(fmt.Sprintf("vm-%03d/engine#1", i)), Pool: "model",
			VM: fmt.Sprintf("vm-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%targetDomains), Address: address(i, 9000),
		})
	}
	for i := range routers * targetOrganisations / targetRouters {
		name := fmt.Sprintf("organisation%03d", i)
		v.Organisations[name] = view.Organisation{Name: name, Weight: 1}
	}
	return v
}

func routerID(i int) view.RouterID { return view.RouterID(fmt.Sprintf("vm-entry-%03d", i)) }

func address(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), port)
}
