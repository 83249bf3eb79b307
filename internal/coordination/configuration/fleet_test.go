package configuration_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/configuration"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/tool/agenda"
)

var errDown = errors.New("down")

// fleet simulates Distributors and a log in virtual time. The agenda holds the
// scheduled inputs.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	nodes     []*node
	byID      map[view.RouterID]*node
	agenda    agenda.Queue[entry]
	log       []configuration.Record
	retention time.Duration // how long the log holds records; 0 means for ever
	logDown   bool
	loss      float64
	messages  int
}

type node struct {
	id          view.RouterID
	distributor *configuration.Distributor
	wake        time.Time
	started     int // inputs for an earlier start are dropped
	highest     uint64
	inForceAt   time.Time
	served      int
	reads       int
	violations  int
	reverted    bool
}

type entry struct {
	to      *node
	started int
	in      configuration.Input
}

func newFleet(routers, domains int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[view.RouterID]*node),
	}
	for i := range routers {
		n := &node{id: view.RouterID(fmt.Sprintf("vm-%03d", i))}
		f.nodes = append(f.nodes, n)
		f.byID[n.id] = n
	}
	for _, n := range f.nodes {
		f.restart(n, domains)
	}
	return f
}

func (f *fleet) restart(n *node, domains int) {
	n.started++
	n.highest = 0
	n.wake = time.Time{}
	n.distributor = configuration.New(configuration.Options{Self: n.id, Random: f.random, SnapshotInterval: 20 * time.Second})
	v := &view.Snapshot{Self: n.id}
	for i, other := range f.nodes {
		v.Routers = append(v.Routers, view.Router{ID: other.id, FailureDomain: fmt.Sprint("domain-", i%domains)})
	}
	f.schedule(n, 0, configuration.Change{View: v})
}

func (f *fleet) schedule(n *node, delay time.Duration, in configuration.Input) {
	f.agenda.Add(f.now.Add(delay), entry{n, n.started, in})
}

func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for {
		at, e, due := f.agenda.PopDue(end)
		if !due {
			break
		}
		f.now = at
		if _, alarm := e.in.(configuration.Alarm); e.started != e.to.started || alarm && !e.to.wake.Equal(at) {
			continue
		}
		for _, out := range e.to.distributor.Step(f.now, e.in) {
			f.handle(e.to, out)
		}
	}
	f.now = end
}

const linkDelay = 2 * time.Millisecond

func (f *fleet) handle(n *node, out configuration.Output) {
	switch out := out.(type) {
	case configuration.Read:
		n.reads++
		f.read(n, out.From, f.now.Add(configuration.ReadWait))
	case configuration.Append:
		if f.logDown {
			f.schedule(n, linkDelay, configuration.AppendResult{Err: errDown})
			return
		}
		f.append(out.Payload)
		f.schedule(n, linkDelay, configuration.AppendResult{})
	case configuration.Offer:
		f.messages++
		if f.random.Float64() >= f.loss {
			f.schedule(f.byID[out.To], linkDelay, configuration.OfferReceived{From: n.id, Version: out.Version})
		}
	case configuration.Fetch:
		peer := f.byID[out.From]
		peer.served++
		c := peer.distributor.InForce()
		f.schedule(n, 2*linkDelay, configuration.FetchResult{From: out.From, Version: c.Version, Text: c.Text})
	case configuration.InForce:
		n.reverted = n.reverted || out.Configuration.Revision <= n.highest
		n.highest, n.inForceAt = out.Configuration.Revision, f.now
	case configuration.Wake:
		n.wake = out.At
		f.schedule(n, out.At.Sub(f.now), configuration.Alarm{})
	case configuration.Decision:
		if out.Event == configuration.EventBroken {
			n.violations++
		}
	}
}

func (f *fleet) append(payload []byte) uint64 {
	offset := uint64(len(f.log))
	f.log = append(f.log, configuration.Record{Offset: offset, Appended: f.now, Payload: payload})
	return offset
}

// read answers after linkDelay when there are records, and otherwise with an
// empty result after a delay that stands for a read held open.
func (f *fleet) read(n *node, from uint64, until time.Time) {
	if f.logDown {
		f.schedule(n, linkDelay, configuration.ReadFailure{Err: errDown})
		return
	}
	oldest := f.oldest()
	result := configuration.ReadResult{Oldest: oldest}
	if start := max(from, oldest); start < uint64(len(f.log)) {
		result.Records = f.log[start:]
	}
	delay := linkDelay
	if len(result.Records) == 0 {
		delay = 100 * time.Millisecond
	}
	f.schedule(n, delay, result)
}

func (f *fleet) oldest() uint64 {
	oldest := uint64(0)
	for f.retention > 0 && oldest < uint64(len(f.log)) && f.now.Sub(f.log[oldest].Appended) > f.retention {
		oldest++
	}
	return oldest
}

func (f *fleet) publish(id string, basedOn uint64) {
	data := fmt.Sprintf(`{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":"o-%s","Weight":1}]}`, basedOn, id)
	r := revision.NewPublish(id, basedOn, []byte(data))
	payload, err := r.Encode()
	if err != nil {
		panic(err)
	}
	f.append(payload)
}

// countBehind returns the number of routers at which the revision is not in
// force.
func (f *fleet) countBehind(r uint64) int {
	count := 0
	for _, n := range f.nodes {
		if n.distributor.InForce().Revision != r {
			count++
		}
	}
	return count
}
