package baseline

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// Order says in which order waiting requests are taken.
type Order uint8

// The orders of waiting requests.
const (
	// OrderArrival takes the request that has waited longest.
	OrderArrival Order = iota
	// OrderFair takes the request with the least start tag.
	OrderStartTag
)

// Choice says how an endpoint is chosen among those with a free slot.
type Choice uint8

// The choices of an endpoint.
const (
	// ChoiceLeast takes the endpoint that runs the fewest of this router's
	// requests.
	ChoiceFewestRunning Choice = iota
	// ChoiceRandom takes any endpoint with equal probability.
	ChoiceRandom
)

// DefaultSlots is the number of requests that a router keeps at an endpoint
// unless it is told otherwise.
const DefaultSlots = 8

// retryAfter is how long a refused caller is asked to stay away.
const retryAfter = time.Second

// Options configure a baseline scheduler.
type Options struct {
	Order  Order
	Choice Choice
	// Slots is the number of this router's requests that may run at one
	// endpoint; zero means DefaultSlots.
	Slots int
	// Source is where random numbers come from.
	Source rand.Source
}

// Scheduler is a baseline policy; see the package comment.
type Scheduler struct {
	options Options
	random  *rand.Rand
	view    *view.Snapshot
	waiting []*waiting
	running map[schedule.RequestID]view.EndpointID
	load    map[view.EndpointID]int
	tags    tags
	outputs []schedule.Output
}

type waiting struct {
	request schedule.Request
	tag     float64
}

// New returns a scheduler that knows no endpoints until the first Change.
func New(options Options) schedule.Scheduler {
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	return &Scheduler{
		options: options,
		random:  rand.New(options.Source),
		view:    &view.Snapshot{},
		running: map[schedule.RequestID]view.EndpointID{},
		load:    map[view.EndpointID]int{},
		tags:    newTags(),
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
	if organisation.MaxWaiting > 0 && s.waitingOf(r.Organisation) >= organisation.MaxWaiting {
		s.refuse(now, r.ID, schedule.RefusalOverload)
		return
	}
	w := &waiting{request: r}
	if s.options.Order == OrderStartTag {
		w.tag = s.tags.next(r.Pool, r.Organisation, r.Estimate, organisation.Weight)
	}
	s.waiting = append(s.waiting, w)
}

func (s *Scheduler) waitingOf(organisation string) int {
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
	s.load[endpoint]--
	if s.load[endpoint] == 0 {
		delete(s.load, endpoint)
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

// serve starts waiting requests for as long as an endpoint has a free slot.
func (s *Scheduler) serve(now time.Time) {
	for {
		i, endpoint := s.best(now)
		if i < 0 {
			break
		}
		w := s.waiting[i]
		s.remove(i)
		s.running[w.request.ID] = endpoint
		s.load[endpoint]++
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

// best returns the first request in order that has an endpoint, and that
// endpoint; -1 when there is none.
func (s *Scheduler) best(now time.Time) (int, view.EndpointID) {
	found, at := -1, view.EndpointID("")
	full := map[string]bool{}
	for i, w := range s.waiting {
		if found >= 0 && s.options.Order == OrderArrival {
			break
		}
		if found >= 0 && w.tag >= s.waiting[found].tag {
			continue
		}
		kind := w.request.Pool + "\x00" + w.request.Model
		if full[kind] {
			continue
		}
		endpoint, ok := s.choose(now, &w.request)
		if !ok {
			full[kind] = true
			continue
		}
		found, at = i, endpoint
	}
	return found, at
}

func (s *Scheduler) choose(now time.Time, r *schedule.Request) (view.EndpointID, bool) {
	var best view.EndpointID
	count := 0
	for i := range s.view.Endpoints {
		e := &s.view.Endpoints[i]
		load := s.load[e.ID]
		if e.Pool != r.Pool || !e.Takes(r.Model, now) || load >= s.options.Slots {
			continue
		}
		count++
		switch {
		case count == 1:
			best = e.ID
		case s.options.Choice == ChoiceRandom && s.random.IntN(count) == 0:
			best = e.ID
		case s.options.Choice == ChoiceFewestRunning && load < s.load[best]:
			best = e.ID
		}
	}
	return best, count > 0
}

func (s *Scheduler) refuse(now time.Time, id schedule.RequestID, reason schedule.RefusalReason) {
	s.outputs = append(s.outputs, schedule.Refusal{ID: id, Reason: reason, RetryAt: now.Add(retryAfter)})
}

// wake asks for an alarm at the earliest deadline of a waiting request.
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
