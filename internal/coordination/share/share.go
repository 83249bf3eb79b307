package share

import (
	"math/rand/v2"
	"time"

	"hyssopreach/internal/coordination/bidding"
	"hyssopreach/internal/coordination/dispatch"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// Options configure a Scheduler.
type Options struct {
	// Source is the source of random numbers.
	Source rand.Source
	// Bidding limits the requests that wait at this router.
	Bidding bidding.Options
}

// Scheduler is the fair-share scheduler; see the package comment.
type Scheduler struct {
	view          *view.Snapshot
	dispatchers   *dispatch.Dispatchers
	bidder        *bidding.Bidder
	holder        holder
	localMessages []schedule.Message
	outputs       []schedule.Output
	// tickAt is the instant of the next tick, and wakeAt that of the alarm last
	// requested from the router; zero if none.
	tickAt time.Time
	wakeAt time.Time
}

// idleTickInterval is the maximum time from an input to the next tick. It
// applies while no request waits; otherwise the bidder needs an earlier tick.
const idleTickInterval = 100 * time.Millisecond

// New returns a scheduler that knows no endpoints until the first Change.
func New(options Options) schedule.Scheduler {
	random := rand.New(options.Source)
	dispatchers := dispatch.New(random)
	return &Scheduler{
		view:        &view.Snapshot{},
		dispatchers: dispatchers,
		bidder:      bidding.New(options.Bidding, random, dispatchers),
		holder:      newHolder(),
	}
}

// Step processes one input; see schedule.Scheduler.
func (s *Scheduler) Step(now time.Time, in schedule.Input) []schedule.Output {
	s.outputs = s.outputs[:0]
	switch in := in.(type) {
	case schedule.Arrival:
		s.bidder.Arrive(now, in.Request)
	case schedule.Departure:
		s.bidder.Depart(now, in.ID)
	case schedule.Progress:
		s.bidder.Progress(in)
	case schedule.Completion:
		s.bidder.Complete(now, in)
	case schedule.Load:
		s.dispatchers.Load(now, in)
	case schedule.Delivery:
		s.deliver(now, in.From, in.Message)
	case schedule.Change:
		s.change(now, in.View)
	case schedule.Alarm:
		s.wakeAt = time.Time{}
	}
	s.collect(now)
	if _, ok := in.(schedule.Alarm); !ok {
		s.advanceTick(now)
	}
	s.tick(now)
	return s.outputs
}

// change replaces the view of all roles and makes a tick due.
func (s *Scheduler) change(now time.Time, v *view.Snapshot) {
	s.view = v
	owners := make(map[view.EndpointID]view.RouterID, len(v.Endpoints))
	for i := range v.Endpoints {
		id := v.Endpoints[i].ID
		if owner, ok := v.Owner(string(id)); ok {
			owners[id] = owner
		}
	}
	s.dispatchers.Change(now, v, owners)
	s.collect(now)
	s.bidder.Change(now, v, owners)
	s.tickAt = now
}

// deliver passes a message to the role that processes it.
func (s *Scheduler) deliver(now time.Time, from view.RouterID, m schedule.Message) {
	switch m := m.(type) {
	case *schedule.Bid:
		s.dispatchers.Bid(now, from, m)
	case *schedule.Return:
		s.dispatchers.Return(now, from, m)
	case *schedule.Renewal:
		s.dispatchers.Renew(now, from, m)
	case *schedule.Counters:
		s.dispatchers.UpdateCounters(now, from, m)
	case *schedule.Grant:
		s.bidder.Grant(now, from, m)
	case *schedule.Shortage:
		s.bidder.Shortage(now, m)
	case *schedule.Tags:
		s.bidder.Tags(now, m)
	case *schedule.Report:
		s.send(from, s.holder.report(now, from, m))
	}
}

// collect gathers the outputs of the roles. It delivers messages between roles
// of this router until none is left.
func (s *Scheduler) collect(now time.Time) {
	for {
		for _, out := range s.bidder.TakeOutputs() {
			if m, ok := out.(schedule.Send); ok {
				s.send(m.To, m.Message)
				continue
			}
			s.outputs = append(s.outputs, out)
		}
		for _, m := range s.dispatchers.TakeMessages() {
			s.send(m.To, m.Message)
		}
		if len(s.localMessages) == 0 {
			return
		}
		m := s.localMessages[0]
		s.localMessages = s.localMessages[1:]
		s.deliver(now, s.view.Self, m)
	}
}

// send queues a message for delivery within this router, or adds it to the
// outputs if it is for another router.
func (s *Scheduler) send(to view.RouterID, m schedule.Message) {
	if to == s.view.Self {
		s.localMessages = append(s.localMessages, m)
		return
	}
	s.outputs = append(s.outputs, schedule.Send{To: to, Message: m})
}

// tick runs the timed work of the roles if it is due, and requests the next
// alarm.
func (s *Scheduler) tick(now time.Time) {
	if !s.tickAt.IsZero() && !now.Before(s.tickAt) {
		next := s.dispatchers.Tick(now)
		s.collect(now)
		if at := s.bidder.Tick(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
		s.collect(now)
		s.tickAt = next
	}
	if s.tickAt.IsZero() || s.wakeAt.Equal(s.tickAt) {
		return
	}
	s.wakeAt = s.tickAt
	s.outputs = append(s.outputs, schedule.Wake{At: s.wakeAt})
}

// advanceTick brings the next tick forward after an input, which may have added
// timed work.
func (s *Scheduler) advanceTick(now time.Time) {
	next := now.Add(idleTickInterval)
	if at := s.bidder.Due(now); !at.IsZero() && at.Before(next) {
		next = at
	}
	if s.tickAt.IsZero() || next.Before(s.tickAt) {
		s.tickAt = next
	}
}
