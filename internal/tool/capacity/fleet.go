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
	settling = 10 * time.Second
	watching = 30 * time.Second
)

// heartbeat is the membership of a whole fleet at rest. Its processor time
// includes what the measuring fleet itself takes.
func heartbeat(routers int, seed uint64) Cost {
	var fleet *membership.Fleet
	heap := heapOf(func() any {
		fleet = membership.NewFleet(routers, targetDomains, seed)
		fleet.Run(settling)
		return fleet
	})
	fleet.ResetCounts()
	spent := timed(func() { fleet.Run(watching) })
	t := fleet.Traffic(watching)
	return Cost{
		Routers: routers, Messages: t.MessagesPerSecond, Bytes: t.BytesPerSecond, Framed: t.BytesPerSecond,
		Core: spent.Seconds() / watching.Seconds() / float64(routers),
		Heap: heap / float64(routers),
	}
}

// pollBytes are sent for one poll of an endpoint over a kept connection: the
// request line, headers and TCP/IP.
const pollBytes = 150

// endpointWatch is one router's endpoint table with all endpoints in good
// standing, ticked ten times a second.
func endpointWatch(routers int, seed uint64) Cost {
	const tick = 100 * time.Millisecond
	v := snapshot(routers)
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
	c.Heap = heapOf(func() any {
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
	run(settling)
	c.Messages, c.Bytes, c.Framed = 0, 0, 0
	spent := timed(func() { run(watching) })
	seconds := watching.Seconds()
	c.Core = spent.Seconds() / seconds
	c.Messages, c.Bytes, c.Framed = c.Messages/seconds, c.Bytes/seconds, c.Framed/seconds
	return c
}

// tick carries out what the table asks for and counts what leaves.
func (c *Cost) tick(table *endpoint.Table, now time.Time) {
	var polls []string
	for _, out := range table.Step(now, endpoint.Tick{}) {
		switch out := out.(type) {
		case endpoint.Poll:
			polls = append(polls, out.Key)
			c.Messages++
			c.Bytes += pollBytes
			c.Framed += pollBytes
		case endpoint.Send:
			size := float64(proto.Size(peer.FromEndpointNews(out.Update)))
			c.Messages++
			c.Bytes += size
			c.Framed += size + framing
		}
	}
	for _, key := range polls {
		table.Step(now, endpoint.Report{Key: key, Started: time.Unix(1e9, 0), Models: []string{"model"}})
	}
}
