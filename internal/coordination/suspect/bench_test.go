package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/suspect"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
)

// BenchmarkCrash measures what the evidence costs a router when an engine crashes
// under 60 streams, of which 15 had just begun, and all of them finish elsewhere. The
// prompt of each has up to two parts that were not served before. Messages and bytes
// are those that one router sends.
func BenchmarkCrash(b *testing.B) {
	for _, parts := range []int{0, 2} {
		for _, routers := range []int{7, 70, 360} {
			b.Run(fmt.Sprintf("%d routers, %d parts", routers, parts), func(b *testing.B) { benchmarkCrash(b, routers, parts) })
		}
	}
}

func benchmarkCrash(b *testing.B, routers, parts int) {
	v := &view.Snapshot{}
	tables := map[view.RouterID]*suspect.Table{}
	for i := range routers {
		id := view.RouterID(fmt.Sprint("edge-", i))
		v.Routers = append(v.Routers, view.Router{ID: id, Incarnation: 1})
		tables[id] = suspect.New(suspect.Options{Self: id, ConfirmTimeout: time.Second})
	}
	now := time.Unix(1e9, 0)
	messages, size := 0, 0
	var step func(at view.RouterID, in suspect.Input)
	step = func(at view.RouterID, in suspect.Input) {
		for _, o := range append([]suspect.Output(nil), tables[at].Step(now, in)...) {
			if s, ok := o.(suspect.Send); ok {
				messages++
				size += proto.Size(wire.FromSuspectMessage(s.Message))
				step(s.To, suspect.Delivery{From: at, Message: s.Message})
			}
		}
	}
	for id := range tables {
		step(id, suspect.Change{View: v})
	}
	messages, size = 0, 0
	crashes := 0
	for b.Loop() {
		crashes++
		for n := range 15 {
			at := v.Routers[n%routers].ID
			f := suspect.Fingerprint(100*crashes + n)
			var own []suspect.Fingerprint
			for i := range parts {
				own = append(own, suspect.PartBit|f<<8|suspect.Fingerprint(i))
			}
			step(at, suspect.EndpointFailed{ID: uint64(f), Fingerprint: f, Parts: own, Endpoint: view.EndpointID(fmt.Sprint("e", crashes))})
			step(at, suspect.RunEnded{Fingerprint: f, Parts: own, Finished: true, Served: true})
		}
		now = now.Add(time.Second)
		for id := range tables {
			step(id, suspect.Alarm{})
		}
	}
	share := float64(crashes * routers)
	b.ReportMetric(float64(messages)/share, "messages/crash")
	b.ReportMetric(float64(size)/share, "bytes/crash")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/share, "us/crash")
}

// BenchmarkServed measures what an answer costs a router whose requests share most of
// their parts.
func BenchmarkServed(b *testing.B) {
	table := suspect.New(suspect.Options{Self: "edge-0"})
	now := time.Unix(1e9, 0)
	n := suspect.Fingerprint(0)
	for b.Loop() {
		n++
		now = now.Add(100 * time.Microsecond)
		table.Step(now, suspect.RunEnded{
			Fingerprint: n, Parts: []suspect.Fingerprint{suspect.PartBit | n%10, suspect.PartBit | n%5000, suspect.PartBit | n}, Finished: true, Served: true,
		})
	}
}

// BenchmarkJudge measures a verdict where callers have invented the parts of many
// requests that were at the same crashes. Everything else waits for it.
func BenchmarkJudge(b *testing.B) {
	table := suspect.New(suspect.Options{Self: "edge-0"})
	now := time.Unix(1e9, 0)
	for n := range 300 {
		in := suspect.EndpointFailed{Fingerprint: suspect.Fingerprint(n + 1), Endpoint: view.EndpointID(fmt.Sprint("e", n%3))}
		for i := range 30 {
			in.Parts = append(in.Parts, suspect.PartBit|suspect.Fingerprint(100*(n/3)+i))
		}
		table.Step(now, in)
	}
	n := 0
	for b.Loop() {
		n++ // another crash under one more part, which is judged from the third on
		table.Step(now, suspect.EndpointFailed{
			Fingerprint: suspect.Fingerprint(1000 + n%2), Parts: []suspect.Fingerprint{suspect.PartBit}, Endpoint: view.EndpointID(fmt.Sprint("x", n)),
		})
		now = now.Add(time.Second)
		table.Step(now, suspect.Alarm{})
	}
}
