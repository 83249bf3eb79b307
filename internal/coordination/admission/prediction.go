package admission

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/cost"
	"hyssopreach/internal/coordination/schedule"
)

const (
	// meanWeight is the weight of one request in the moving averages of a pool.
	meanWeight = 0.02
	// initialSlotTime is the time for which a request is assumed to occupy a slot until
	// one has ended.
	initialSlotTime = time.Second
)

// PredictionRecorder receives the errors of predictions: the factors, 1 or more, between
// the predicted and the actual length of an answer, and between the predicted and the
// actual time from the start of a request to its end.
type PredictionRecorder interface {
	RecordLengthError(factor float64)
	RecordEndError(factor float64)
}

// predictions hold what a router has learned of the cost of requests, and how wrong its
// predictions were.
type predictions struct {
	lengths  *cost.Model
	accuracy cost.Accuracy
	recorder PredictionRecorder
}

func newPredictions(recorder PredictionRecorder) predictions {
	return predictions{lengths: cost.NewModel(), recorder: recorder}
}

// poolPaces is what a router knows of the pace of the endpoints of a pool.
type poolPaces struct {
	pace cost.PoolPace
	// byEnd is on while choices depend on the expected end.
	byEnd cost.Switch
	// meanEvents is the mean number of events that are expected of a request, and
	// slotTime the mean time for which requests have occupied a slot.
	meanEvents float64
	slotTime   time.Duration
	// period is the number of the period for which paces of endpoints are reused, which
	// began at periodAt.
	period   int
	periodAt time.Time
	// freeAt is the instant at which the first slot is expected to become free, as
	// expected at freeFrom.
	freeAt, freeFrom time.Time
}

// prediction is what was expected of a request at its start.
type prediction struct {
	key      cost.Key
	estimate cost.Estimate
	at, end  time.Time
	// events is the number of events that have been received, if the answer is a stream.
	events float64
	stream bool
}

// received counts the progress of an answer. Only streams state a time to the first token;
// the service of other answers is not counted in events.
func (p *prediction) received(in schedule.Progress) {
	p.events += in.Service
	p.stream = p.stream || in.FirstToken > 0
}

// lengthKey describes the request to the model of lengths. A prompt of one part shares
// none.
func lengthKey(r *schedule.Request) cost.Key {
	k := cost.Key{Pool: r.Pool, Organisation: r.Organisation, Class: r.Class, Hint: float64(r.Prompt.OutputTokens)}
	if len(r.Prompt.Parts) > 1 {
		k.Part = r.Prompt.SharedPart()
	}
	return k
}

// predict estimates the length of the answer. The rest of an answer that is resumed has
// another length, of which nothing is known.
func (p *Policy) predict(l *pool, w *queuedRequest) {
	w.estimate = cost.Estimate{Output: float64(w.request.Prompt.OutputTokens)}
	if l.tokensPerEvent <= 0 || w.request.Resumes {
		return
	}
	w.estimate = p.predictions.lengths.Predict(lengthKey(&w.request))
	events := w.estimate.Mean() / l.tokensPerEvent
	if l.paces.meanEvents == 0 {
		l.paces.meanEvents = events
	}
	l.paces.meanEvents += meanWeight * (events - l.paces.meanEvents)
}

// observePace counts samples of an endpoint's event interval.
func (p *Policy) observePace(now time.Time, e *endpoint, s schedule.Samples) {
	if l := p.pools[e.Pool]; l != nil {
		l.paces.pace.Observe(now, &e.pace, s.Count, s.EventInterval, e.total().requests)
	}
}

// expectEnd records when the request, which starts now, is expected to end.
func (p *Policy) expectEnd(now time.Time, w *queuedRequest, r *running, c *candidate) {
	l := p.pools[c.endpoint.Pool]
	if w.request.Prompt == nil || l == nil || l.tokensPerEvent <= 0 {
		return
	}
	interval := l.paces.pace.Interval(&c.endpoint.pace, c.endpoint.total().requests+1)
	answer := time.Duration(w.estimate.Output / l.tokensPerEvent * float64(interval))
	r.prediction = prediction{key: lengthKey(&w.request), estimate: w.estimate, at: now}
	if interval > 0 {
		r.prediction.end = now.Add(c.timeToFirstToken + answer)
		c.endpoint.slots.Set(uint64(w.request.ID), r.prediction.end)
	}
}

// observeEnd learns from a request that has ended. Only complete streams that began at
// this attempt show how long an answer is.
func (p *Policy) observeEnd(now time.Time, r *running, in schedule.Completion) {
	e, known := r.endpoint, &r.prediction
	e.slots.Remove(uint64(in.ID))
	l := p.pools[e.Pool]
	known.events += in.Service
	if l == nil || known.at.IsZero() || in.Result != schedule.ResultFinished || r.request.Resumes || !known.stream || known.events <= 0 {
		return
	}
	tokens, took := known.events*l.tokensPerEvent, now.Sub(known.at)
	p.predictions.lengths.Observe(now, known.key, tokens)
	p.predictions.lengths.ObserveUse(known.key, float64(r.work.prefill), took)
	if l.paces.slotTime == 0 {
		l.paces.slotTime = took
	}
	l.paces.slotTime += time.Duration(meanWeight * float64(took-l.paces.slotTime))
	predicted := time.Duration(0)
	if !known.end.IsZero() {
		predicted = known.end.Sub(known.at)
	}
	p.predictions.accuracy.Add(known.estimate.Output, known.key.Hint, tokens, predicted, took)
	if recorder := p.predictions.recorder; recorder != nil {
		if f := cost.Factor(known.estimate.Output, tokens); f > 0 {
			recorder.RecordLengthError(f)
		}
		if f := cost.Factor(float64(predicted), float64(took)); f > 0 {
			recorder.RecordEndError(f)
		}
	}
}

// reportPredictions logs the errors of the last predictions at intervals.
func (p *Policy) reportPredictions(now time.Time) {
	a := &p.predictions.accuracy
	if !a.Due(now) {
		return
	}
	fields := []string{"Keys", strconv.Itoa(p.predictions.lengths.Keys())}
	for _, kind := range []struct {
		name   string
		errors *cost.Errors
	}{{"Length", &a.Length}, {"Hint", &a.Hint}, {"End", &a.End}} {
		median, p90 := kind.errors.Quantiles()
		fields = append(fields, kind.name+"Median", formatFactor(median), kind.name+"P90", formatFactor(p90))
	}
	p.emit(schedule.Decision{Event: "PredictionErrors", Fields: fields})
}

func formatFactor(f float64) string { return strconv.FormatFloat(f, 'f', 2, 64) }

// comparePaces decides whether choices depend on the expected end; see cost.Switch.
func (p *Policy) comparePaces(now time.Time, l *pool) {
	if l.tokensPerEvent <= 0 && !l.paces.byEnd.On() {
		return
	}
	if !l.paces.byEnd.Due(now) {
		return
	}
	paces := make([]*cost.Pace, len(l.endpoints))
	for i, e := range l.endpoints {
		paces[i] = &e.pace
	}
	l.paces.pace.Centre(paces)
	slots := l.tokensPerEvent > 0 && !slices.ContainsFunc(l.endpoints, func(e *endpoint) bool { return e.Slots <= 0 })
	if !l.paces.byEnd.Evaluate(now, paces, slots) {
		return
	}
	p.emit(schedule.Decision{Event: "PlacementByEnd", Fields: []string{
		"Pool", l.name, "On", strconv.FormatBool(l.paces.byEnd.On()), "Difference", formatFactor(l.paces.byEnd.Difference()), "Endpoints", strconv.Itoa(len(paces)),
	}})
}

// slotDelay returns the time until a slot is expected to become free anywhere in the pool,
// for a request that finds none; zero while choices do not depend on the expected end.
func (p *Policy) slotDelay(now time.Time, w *queuedRequest) time.Duration {
	l := p.pools[w.request.Pool]
	if l == nil || !l.paces.byEnd.On() {
		return 0
	}
	// A flood of refusals within a period is told the same instant, with random parts.
	if now.Sub(l.paces.freeFrom) >= paceLifetime {
		l.paces.freeAt, l.paces.freeFrom = p.firstFreeSlot(now, l), now
	}
	return max(l.paces.freeAt.Sub(now), 0)
}

// firstFreeSlot returns the instant at which the first slot of the pool is expected to
// become free; now if no endpoint is usable.
func (p *Policy) firstFreeSlot(now time.Time, l *pool) time.Time {
	slotTime := l.paces.slotTime
	if slotTime == 0 {
		slotTime = initialSlotTime
	}
	earliest := time.Time{}
	for _, e := range l.endpoints {
		if !p.usable(now, e) || e.Slots <= 0 {
			continue
		}
		if free := e.slots.Free(now, e.Slots, e.peerTotal.requests, slotTime); earliest.IsZero() || free[0].Before(earliest) {
			earliest = free[0]
		}
	}
	if earliest.IsZero() {
		return now
	}
	return earliest
}

// detail states, for the log of a start, how long the answer is expected to be, in tokens,
// and when it should end. It is empty while choices do not depend on that.
func (b *endChoice) detail(now time.Time, r *running) string {
	if !b.acts {
		return ""
	}
	return fmt.Sprintf(",answer=%.0f,ends=%v", r.prediction.estimate.Output, r.prediction.end.Sub(now).Round(time.Millisecond))
}
