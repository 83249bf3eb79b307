package baseline

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// Order is the order in which waiting requests are started.
type Order uint8

// The orders of waiting requests.
const (
	// OrderArrival takes the request that has waited longest.
	OrderArrival Order = iota
	// OrderStartTag takes the request with the lowest start tag.
	OrderStartTag
)

// Choice is the way of choosing an endpoint among those with a free slot.
type Choice uint8

// The choices of an endpoint.
const (
	// ChoiceFewestRunning takes the endpoint that runs the fewest of this
	// router's requests.
	ChoiceFewestRunning Choice = iota
	// ChoiceRandom takes any endpoint with equal probability.
	ChoiceRandom
)

// DefaultSlots is the default number of one router's requests that may run at
// an endpoint.
const DefaultSlots = 8

// retryAfter is the time after which a refused caller is invited to retry.
const retryAfter = time.Second

// Options configure a baseline scheduler.
type Options struct {
	Order  Order
	Choice Choice
	// Slots is the number of this router's requests that may run at one
	// endpoint; zero means DefaultSlots.
	Slots int
	// Source is the source of random numbers.
	Source rand.Source
}

// Scheduler implements a baseline policy; see the package comment.
type Scheduler struct {
	options   Options
	random    *rand.Rand
	view      *view.Snapshot
	waiting   []*waitingRequest
	running   map[schedule.RequestID]view.EndpointID
	runningAt map[view.EndpointID]int
	tags      tags
	outputs   []schedule.Output
}

type waitingRequest struct {
	request schedule.Request
	tag     float64
}

// New returns a scheduler that knows no endpoints until the first Change.
func New(options Options) schedule.Scheduler {
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	return &Scheduler{
		options:   options,
		random:    rand.New(options.Source),
		view:      &view.Snapshot{},
		running:   map[schedule.RequestID]view.EndpointID{},
		runningAt: map[view.EndpointID]int{},
		tags:      newTags(),
	}
}

// Step takes one input; see schedule.Scheduler.
func (s *Scheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	s.outputs = s.outputs[:0]
	switch in := in.(type) {
	case schedule.Arrival:
		s.arrive(now, in.Request)
	case schedule.Departure:
		s.depart(in.ID)
	case schedule.Completion:
		s.complete(in.ID)
	case schedule.Change:
		s.view = in.View
	}
	s.expire(now)
	s.serve(now)
	s.wake()
	return s.outputs
}

func (s *Scheduler) arrive(now time.Time, r schedule.Request) {
	organisation := s.view.Organisations[r.Organisation]
	if organisation.MaxWaiting > 0 && s.countWaiting(r.Organisation) >= organisation.MaxWaiting {
		s.refuse(now, r.ID, schedule.RefusalOverload)
		return
	}
	w := &waitingRequest{request: r}
	if s.options.Order == OrderStartTag {
		w.tag = s.tags.next(r.Pool, r.Organisation, r.Estimate, organisation.Weight)
	}
	s.waiting = append(s.waiting, w)
}

func (s *Scheduler) countWaiting(organisation string) int {
	count := 0
	for _, w := range s.waiting {
		if w.request.Organisation == organisation {
			count++
		}
	}
	return count
}

func (s *Scheduler) depart(id schedule.RequestID) {
	for i, w := range s.waiting {
		if w.request.ID == id {
			s.remove(i)
			return
		}
	}
}

func (s *Scheduler) remove(i int) {
	s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
}

func (s *Scheduler) complete(id schedule.RequestID) {
	endpoint, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	s.runningAt[endpoint]--
	if s.runningAt[endpoint] == 0 {
		delete(s.runningAt, endpoint)
	}
}

// expire refuses the requests whose deadline has passed.
func (s *Scheduler) expire(now time.Time) {
	for i := 0; i < len(s.waiting); {
		deadline := s.waiting[i].request.Deadline
		if deadline.IsZero() || now.Before(deadline) {
			i++
			continue
		}
		s.refuse(now, s.waiting[i].request.ID, schedule.RefusalDeadline)
		s.remove(i)
	}
}

// serve starts waiting requests while an endpoint has a free slot, and refuses
// the remaining requests that may not wait.
func (s *Scheduler) serve(now time.Time) {
	for {
		i, endpoint := s.nextRunnable(now)
		if i < 0 {
			break
		}
		w := s.waiting[i]
		s.remove(i)
		s.running[w.request.ID] = endpoint
		s.runningAt[endpoint]++
		s.tags.started(w.request.Pool, w.tag)
		s.outputs = append(s.outputs, schedule.Start{ID: w.request.ID, Endpoint: endpoint, Reason: "policy=baseline"})
	}
	for i := 0; i < len(s.waiting); {
		if s.waiting[i].request.MayWait {
			i++
			continue
		}
		s.refuse(now, s.waiting[i].request.ID, schedule.RefusalOverload)
		s.remove(i)
	}
}

// nextRunnable returns the index of the first request in the configured order
// that has an endpoint with a free slot, and that endpoint; -1 if there is
// none.
func (s *Scheduler) nextRunnable(now time.Time) (int, view.EndpointID) {
	found, chosen := -1, view.EndpointID("")
	noFreeSlot := map[string]bool{}
	for i, w := range s.waiting {
		if found >= 0 && s.options.Order == OrderArrival {
			break
		}
		if found >= 0 && w.tag >= s.waiting[found].tag {
			continue
		}
		target := w.request.Pool + "\x00" + w.request.Model
		if noFreeSlot[target] {
			continue
		}
		endpoint, ok := s.choose(now, &w.request)
		if !ok {
			noFreeSlot[target] = true
			continue
		}
		found, chosen = i, endpoint
	}
	return found, chosen
}

func (s *Scheduler) choose(now time.Time, r *schedule.Request) (view.EndpointID, bool) {
	var best view.EndpointID
	count := 0
	for i := range s.view.Endpoints {
		e := &s.view.Endpoints[i]
		load := s.runningAt[e.ID]
		if e.Pool != r.Pool || !e.Accepts(r.Model, now) || load >= s.options.Slots {
			continue
		}
		count++
		switch {
		case count == 1:
			best = e.ID
		case s.options.Choice == ChoiceRandom && s.random.IntN(count) == 0:
			best = e.ID
		case s.options.Choice == ChoiceFewestRunning && load < s.runningAt[best]:
			best = e.ID
		}
	}
	return best, count > 0
}

func (s *Scheduler) refuse(now time.Time, id schedule.RequestID, reason schedule.RefusalReason) {
	s.outputs = append(s.outputs, schedule.Refusal{ID: id, Reason: reason, RetryAt: now.Add(retryAfter)})
}

// wake requests an alarm at the earliest deadline of a waiting request.
func (s *Scheduler) wake() {
	var earliest time.Time
	for _, w := range s.waiting {
		d := w.request.Deadline
		if !d.IsZero() && (earliest.IsZero() || d.Before(earliest)) {
			earliest = d
		}
	}
	if !earliest.IsZero() {
		s.outputs = append(s.outputs, schedule.Wake{At: earliest})
	}
}
