package claims

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// world holds the fakes of one experiment.
type world struct {
	options  Options
	faults   faults
	clock    clock
	random   *rand.Rand
	log      fakeLog
	routers  []*router
	view     *view.Snapshot
	requests []*request
	report   *Report
	history  *history
	over     bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run carries out the experiment and returns its report.
func Run(o Options) *Report {
	w := &world{options: o, faults: o.faults(), random: rand.New(rand.NewPCG(o.Seed, 0)), report: newReport(o)}
	w.clock.now = epoch
	w.log.w = w
	if o.Record {
		w.history = newHistory()
	}
	w.view = &view.Snapshot{}
	for i := range o.Routers {
		r := &router{w: w, id: view.RouterID(fmt.Sprintf("router-%d", i))}
		w.routers = append(w.routers, r)
		r.start()
	}
	w.publish()
	w.arrivals()
	w.trouble()
	length := time.Duration(float64(o.Requests) / o.Rate * float64(time.Second))
	w.clock.at(epoch.Add(length), func() { w.report.appendsWhileLoaded = w.log.appends })
	w.clock.at(epoch.Add(length+time.Minute), func() { w.over, w.faults = true, faults{} })
	w.clock.run(epoch.Add(length + settleTime))
	w.finish(length)
	return w.report
}

// arrivals starts the requests at even intervals.
func (w *world) arrivals() {
	gap := time.Duration(float64(time.Second) / w.options.Rate)
	for i := range w.options.Requests {
		q := &request{key: claim.DigestOf("organisation", fmt.Sprint("key-", w.options.Seed, "-", i))}
		w.requests = append(w.requests, q)
		start := epoch.Add(time.Duration(i) * gap)
		w.clock.at(start, func() { w.sendRequest(q) })
		if w.chance(w.faults.callerLate) {
			w.clock.at(start.Add(w.upTo(callerLateMost)), func() { w.sendLate(q) })
		}
	}
}

// trouble strikes whole processes again and again.
func (w *world) trouble() {
	f := w.faults
	w.every(f.pauseEvery, func(r *router) { r.pausedUntil = w.clock.now.Add(w.upTo(pauseMost)) })
	w.every(f.cutEvery, func(r *router) { r.cutUntil = w.clock.now.Add(w.upTo(outageMost)) })
	w.every(f.restartEvery, w.restart)
	w.every(f.logEvery, func(*router) {
		until := w.clock.now.Add(w.upTo(outageMost))
		if w.random.IntN(2) == 0 {
			w.log.downUntil = until
			return
		}
		w.log.slowUntil = until
	})
}

func (w *world) every(mean time.Duration, strike func(*router)) {
	if mean == 0 {
		return
	}
	w.clock.after(w.upTo(2*mean), func() {
		if w.over {
			return
		}
		strike(w.routers[w.random.IntN(len(w.routers))])
		w.every(mean, strike)
	})
}

// restart ends a router at once and starts it again with empty state.
func (w *world) restart(r *router) {
	r.deadUntil = w.clock.now.Add(w.upTo(3 * time.Second))
	w.clock.after(viewDelay, w.publish)
	w.clock.at(r.deadUntil, func() {
		r.pausedUntil = time.Time{}
		r.start()
		w.clock.after(viewDelay, w.publish)
	})
}

// publish shows every router which routers live, late and one by one.
func (w *world) publish() {
	v := &view.Snapshot{}
	for _, r := range w.routers {
		if !w.clock.now.Before(r.deadUntil) {
			v.Routers = append(v.Routers, view.Router{ID: r.id, Incarnation: r.incarnation})
		}
	}
	w.view = v
	for _, r := range w.routers {
		r.later(w.upTo(viewDelay), func() { r.see(v) })
	}
}

// send carries a message between two routers, with the network's faults.
func (w *world) send(from *router, to view.RouterID, deliver func(*router)) {
	w.report.Messages++
	for _, r := range w.routers {
		if r.id != to {
			continue
		}
		if r != from && (w.cut(from) || w.cut(r) || w.chance(w.faults.messageLost)) {
			return
		}
		delay := w.spread(networkDelay)
		if w.chance(w.faults.messageSlow) {
			delay = w.upTo(slowMost)
		}
		r.later(delay, func() { deliver(r) })
		if w.chance(w.faults.messageTwice) {
			r.later(w.upTo(slowMost), func() { deliver(r) })
		}
	}
}

func (w *world) cut(r *router) bool { return w.clock.now.Before(r.cutUntil) }

// query asks the holder of a claim for its answer. A question that cannot be
// delivered is answered by nobody.
func (w *world) query(from *router, o coordination.Join, reply func(stage)) {
	var told stage
	step := from.bound(func() { reply(told) })
	answer := func(s stage) {
		told = s
		w.clock.after(w.spread(networkDelay), step)
	}
	w.send(from, view.RouterID(o.Holder.Router), func(to *router) {
		to.tell(o.Winner, o.Holder.Incarnation, answer)
	})
}

// endpoint runs a request; its answer may come after its router has gone.
func (w *world) endpoint(k *work, finished func()) {
	w.clock.after(w.spread(networkDelay), func() {
		k.request.runs++
		w.report.Runs++
		w.check(k.request.runs == 1, "run twice", k.request)
		w.check(!k.refused, "run after a refusal as not run", k.request)
		w.clock.after(w.upTo(workMost), finished)
	})
}

func (w *world) check(holds bool, what string, q *request) {
	if !holds {
		w.report.violate(fmt.Sprintf("%s: key %x at %s", what, q.key, w.clock.now.Sub(epoch)))
	}
}

func (w *world) finish(length time.Duration) {
	for _, q := range w.requests {
		w.report.end(q)
	}
	if length > 0 {
		w.report.AppendsPerSecond = float64(w.report.appendsWhileLoaded) / length.Seconds()
	}
	w.report.History = w.history.operations()
}

func (w *world) chance(p probability) bool { return p > 0 && w.random.Float64() < float64(p) }

// spread returns a duration around the given one.
func (w *world) spread(d time.Duration) time.Duration { return d/2 + w.upTo(d) }

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) newID() (id claim.ID) {
	binary.LittleEndian.PutUint64(id[:8], w.random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], w.random.Uint64())
	return id
}
