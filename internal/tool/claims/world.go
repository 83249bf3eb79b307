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

// world is the simulated fleet of one experiment: its routers, its log, its
// network and its callers.
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
	// faultsEnded is set one minute after the last arrival, when the faults stop.
	faultsEnded bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run runs the experiment and returns its report.
func Run(o Options) *Report {
	w := &world{options: o, faults: o.faults(), random: rand.New(rand.NewPCG(o.Seed, 0)), report: newReport(o)}
	w.clock.now = epoch
	w.log.w = w
	if o.RecordHistory {
		w.history = newHistory()
	}
	w.view = &view.Snapshot{}
	for i := range o.Routers {
		r := &router{w: w, id: view.RouterID(fmt.Sprintf("router-%d", i))}
		w.routers = append(w.routers, r)
		r.start()
	}
	w.publishView()
	w.scheduleArrivals()
	w.scheduleFaults()
	length := time.Duration(float64(o.Requests) / o.Rate * float64(time.Second))
	w.clock.at(epoch.Add(length), func() { w.report.appendsDuringLoad = w.log.appends })
	w.clock.at(epoch.Add(length+time.Minute), func() { w.faultsEnded, w.faults = true, faults{} })
	w.clock.run(epoch.Add(length + settleTime))
	w.finish(length)
	return w.report
}

// scheduleArrivals schedules the first send of each request at even intervals,
// and the late sends.
func (w *world) scheduleArrivals() {
	gap := time.Duration(float64(time.Second) / w.options.Rate)
	for i := range w.options.Requests {
		q := &request{key: claim.DigestOf("organisation", fmt.Sprint("key-", w.options.Seed, "-", i))}
		w.requests = append(w.requests, q)
		start := epoch.Add(time.Duration(i) * gap)
		w.clock.at(start, func() { w.sendRequest(q) })
		if w.chance(w.faults.lateSend) {
			w.clock.at(start.Add(w.randomUpTo(maxLateSend)), func() { w.sendLate(q) })
		}
	}
}

// scheduleFaults schedules the recurring faults of whole processes: pauses,
// network cuts and restarts of routers, and outages or slowness of the log.
func (w *world) scheduleFaults() {
	f := w.faults
	w.injectRepeatedly(f.pauseInterval, func(r *router) { r.pausedUntil = w.clock.now.Add(w.randomUpTo(maxPause)) })
	w.injectRepeatedly(f.networkCutInterval, func(r *router) { r.cutUntil = w.clock.now.Add(w.randomUpTo(maxOutage)) })
	w.injectRepeatedly(f.restartInterval, w.restart)
	w.injectRepeatedly(f.logFaultInterval, func(*router) {
		until := w.clock.now.Add(w.randomUpTo(maxOutage))
		if w.random.IntN(2) == 0 {
			w.log.downUntil = until
			return
		}
		w.log.slowUntil = until
	})
}

// injectRepeatedly calls inject with a random router at random intervals of
// the given mean, until the faults end. A mean of 0 disables the fault.
func (w *world) injectRepeatedly(mean time.Duration, inject func(*router)) {
	if mean == 0 {
		return
	}
	w.clock.after(w.randomUpTo(2*mean), func() {
		if w.faultsEnded {
			return
		}
		inject(w.routers[w.random.IntN(len(w.routers))])
		w.injectRepeatedly(mean, inject)
	})
}

// restart stops a router immediately and starts it later with empty state.
func (w *world) restart(r *router) {
	r.deadUntil = w.clock.now.Add(w.randomUpTo(3 * time.Second))
	w.clock.after(viewDelay, w.publishView)
	w.clock.at(r.deadUntil, func() {
		r.pausedUntil = time.Time{}
		r.start()
		w.clock.after(viewDelay, w.publishView)
	})
}

// publishView sends the list of running routers to every router, each after
// its own delay.
func (w *world) publishView() {
	v := &view.Snapshot{}
	for _, r := range w.routers {
		if !w.clock.now.Before(r.deadUntil) {
			v.Routers = append(v.Routers, view.Router{ID: r.id, Incarnation: r.incarnation})
		}
	}
	w.view = v
	for _, r := range w.routers {
		r.schedule(w.randomUpTo(viewDelay), func() { r.setView(v) })
	}
}

// send delivers a message from one router to another, subject to the faults of
// the network.
func (w *world) send(from *router, to view.RouterID, deliver func(*router)) {
	w.report.Messages++
	for _, r := range w.routers {
		if r.id != to {
			continue
		}
		if r != from && (w.cut(from) || w.cut(r) || w.chance(w.faults.messageLost)) {
			return
		}
		delay := w.jitter(networkDelay)
		if w.chance(w.faults.messageDelayed) {
			delay = w.randomUpTo(maxMessageDelay)
		}
		r.schedule(delay, func() { deliver(r) })
		if w.chance(w.faults.messageDuplicated) {
			r.schedule(w.randomUpTo(maxMessageDelay), func() { deliver(r) })
		}
	}
}

func (w *world) cut(r *router) bool { return w.clock.now.Before(r.cutUntil) }

// queryHolder queries the holder of a claim for the stage of its request. If
// the query cannot be delivered, reply is never called.
func (w *world) queryHolder(from *router, o coordination.Join, reply func(stage)) {
	var result stage
	step := from.bindToIncarnation(func() { reply(result) })
	answer := func(s stage) {
		result = s
		w.clock.after(w.jitter(networkDelay), step)
	}
	w.send(from, view.RouterID(o.Holder.Router), func(to *router) {
		to.answerQuery(o.Winner, o.Holder.Incarnation, answer)
	})
}

// runAtEndpoint runs a request at the simulated endpoint. finished may be
// called after the router that sent the request has stopped.
func (w *world) runAtEndpoint(j *job, finished func()) {
	w.clock.after(w.jitter(networkDelay), func() {
		j.request.runs++
		w.report.Runs++
		w.check(j.request.runs == 1, "run twice", j.request)
		w.check(!j.refused, "run after it was refused as not run", j.request)
		w.clock.after(w.randomUpTo(maxServiceTime), finished)
	})
}

func (w *world) check(holds bool, violation string, q *request) {
	if !holds {
		w.report.addViolation(fmt.Sprintf("%s: key %x at %s", violation, q.key, w.clock.now.Sub(epoch)))
	}
}

func (w *world) finish(length time.Duration) {
	for _, q := range w.requests {
		w.report.countRequest(q)
	}
	if length > 0 {
		w.report.AppendsPerSecond = float64(w.report.appendsDuringLoad) / length.Seconds()
	}
	w.report.History = w.history.operations()
}

func (w *world) chance(p probability) bool { return p > 0 && w.random.Float64() < float64(p) }

// jitter returns a random duration between 0.5 and 1.5 times the given one.
func (w *world) jitter(d time.Duration) time.Duration { return d/2 + w.randomUpTo(d) }

// randomUpTo returns a random duration between 0 and d.
func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func (w *world) newID() (id claim.ID) {
	binary.LittleEndian.PutUint64(id[:8], w.random.Uint64())
	binary.LittleEndian.PutUint64(id[8:], w.random.Uint64())
	return id
}
