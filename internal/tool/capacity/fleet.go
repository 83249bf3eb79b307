package capacity

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/endpoint"
	"hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/tool/membership"
)

const (
	settleTime  = 10 * time.Second
	measureTime = 30 * time.Second
)

// heartbeat measures membership in a whole fleet without changes. The
// processor time includes that of the simulation. FramedBytes equals Bytes,
// because membership.Fleet counts a frame with every heartbeat.
func heartbeat(routers int, seed uint64) Cost {
	var fleet *membership.Fleet
	heap := retainedHeap(func() any {
		fleet = membership.NewFleet(routers, targetDomains, seed)
		fleet.Run(settleTime)
		return fleet
	})
	fleet.ResetCounts()
	spent := timed(func() { fleet.Run(measureTime) })
	t := fleet.Traffic(measureTime)
	return Cost{
		Routers: routers, Messages: t.MessagesPerSecond, Bytes: t.BytesPerSecond, FramedBytes: t.BytesPerSecond,
		Cores:     spent.Seconds() / measureTime.Seconds() / float64(routers),
		HeapBytes: heap / float64(routers),
	}
}

// pollBytes is the number of bytes sent for one poll of an endpoint over a
// persistent connection: the request line, headers and TCP/IP.
const pollBytes = 150

// endpointWatch measures one router's endpoint table, ticked ten times per
// second, while all endpoints are healthy.
func endpointWatch(routers int, seed uint64) Cost {
	const tick = 100 * time.Millisecond
	v := targetView(routers)
	var configured endpoint.Configuration
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		configured.Endpoints = append(configured.Endpoints, endpoint.Configured{
			Key: e.VM + "/engine", Pool: e.Pool, VM: e.VM, FailureDomain: e.FailureDomain, Address: e.Address, Engine: true,
		})
	}
	now := time.Unix(1e9, 0)
	var table *endpoint.Table
	c := Cost{Routers: routers}
	c.HeapBytes = retainedHeap(func() any {
		table = endpoint.New(rand.New(rand.NewPCG(seed, 2)))
		table.Step(now, configured)
		table.Step(now, endpoint.Routers{View: v})
		for _, e := range configured.Endpoints {
			table.Step(now, endpoint.Report{Key: e.Key, Started: now, Models: []string{"model"}})
		}
		return table
	})
	run := func(length time.Duration) {
		for range int(length / tick) {
			now = now.Add(tick)
			c.tick(table, now)
		}
	}
	run(settleTime)
	c.Messages, c.Bytes, c.FramedBytes = 0, 0, 0
	spent := timed(func() { run(measureTime) })
	seconds := measureTime.Seconds()
	c.Cores = spent.Seconds() / seconds
	c.Messages, c.Bytes, c.FramedBytes = c.Messages/seconds, c.Bytes/seconds, c.FramedBytes/seconds
	return c
}

// tick ticks the table, counts the polls and messages that it sends, and
// answers the polls.
func (c *Cost) tick(table *endpoint.Table, now time.Time) {
	var polls []string
	for _, out := range table.Step(now, endpoint.Tick{}) {
		switch out := out.(type) {
		case endpoint.Poll:
			polls = append(polls, out.Key)
			c.Messages++
			c.Bytes += pollBytes
			c.FramedBytes += pollBytes
		case endpoint.Send:
			size := float64(proto.Size(peer.FromEndpointNews(out.Update)))
			c.Messages++
			c.Bytes += size
			c.FramedBytes += size + frameBytes
		}
	}
	for _, key := range polls {
		table.Step(now, endpoint.Report{Key: key, Started: time.Unix(1e9, 0), Models: []string{"model"}})
	}
}
