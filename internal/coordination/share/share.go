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
	// Source is where random numbers come from.
	Source rand.Source
	// Bidding bounds what waits at this router.
	Bidding bidding.Options
}

// Scheduler is the fair-share policy; see the package comment.
type Scheduler struct {
	view    *view.Snapshot
	table   *dispatch.Dispatchers
	bidder  *bidding.Bidder
	holder  holder
	local   []schedule.Message
	outputs []schedule.Output
	// tickAt is the instant of the next tick, wakeAt that of the alarm that
	// the router was last asked for; zero if none.
	tickAt time.Time
	wakeAt time.Time
}

// quietTick is the distance of ticks after an input when nothing waits.
const quietTick = 100 * time.Millisecond

// New returns a scheduler that knows no endpoints until the first Change.
func New(options Options) schedule.Scheduler {
	random := rand.New(options.Source)
	table := dispatch.New(random)
	return &Scheduler{
		view:   &view.Snapshot{},
		table:  table,
		bidder: bidding.New(options.Bidding, random, table),
		holder: newHolder(),
	}
}

// Step takes one input; see schedule.Scheduler.
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
		s.table.Load(now, in)
	case schedule.Delivery:
		s.deliver(now, in.From, in.Message)
	case schedule.Change:
		s.change(now, in.View)
	case schedule.Alarm:
		s.wakeAt = time.Time{}
	}
	s.drain(now)
	if _, ok := in.(schedule.Alarm); !ok {
		s.hurry(now)
	}
	s.tick(now)
	return s.outputs
}

func (s *Scheduler) change(now time.Time, v *view.Snapshot) {
	s.view = v
	owners := make(map[view.EndpointID]view.RouterID, len(v.Endpoints))
	for i := range v.Endpoints {
		id := v.Endpoints[i].ID
		if owner, ok := v.Owner(string(id)); ok {
			owners[id] = owner
		}
	}
	s.table.Change(now, v, owners)
	s.drain(now)
	s.bidder.Change(now, v, owners)
	s.tickAt = now
}

// deliver hands a message to the role that it is for.
func (s *Scheduler) deliver(now time.Time, from view.RouterID, m schedule.Message) {
	switch m := m.(type) {
	case *schedule.Bid:
		s.table.Bid(now, from, m)
	case *schedule.Return:
		s.table.Return(now, from, m)
	case *schedule.Renewal:
		s.table.Renew(now, from, m)
	case *schedule.Counters:
		s.table.UpdateCounters(now, from, m)
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

// drain collects what the roles ask for. What one role says to another in this
// router is delivered until nothing is left.
func (s *Scheduler) drain(now time.Time) {
	for {
		for _, out := range s.bidder.TakeOutputs() {
			if m, ok := out.(schedule.Send); ok {
				s.send(m.To, m.Message)
				continue
			}
			s.outputs = append(s.outputs, out)
		}
		for _, m := range s.table.TakeMessages() {
			s.send(m.To, m.Message)
		}
		if len(s.local) == 0 {
			return
		}
		m := s.local[0]
		s.local = s.local[1:]
		s.deliver(now, s.view.Self, m)
	}
}

func (s *Scheduler) send(to view.RouterID, m schedule.Message) {
	if to == s.view.Self {
		s.local = append(s.local, m)
		return
	}
	s.outputs = append(s.outputs, schedule.Send{To: to, Message: m})
}

// tick lets time act on the roles when it is due, and asks for the next alarm.
func (s *Scheduler) tick(now time.Time) {
	if !s.tickAt.IsZero() && !now.Before(s.tickAt) {
		next := s.table.Tick(now)
		s.drain(now)
		if at := s.bidder.Tick(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
		s.drain(now)
		s.tickAt = next
	}
	if s.tickAt.IsZero() || s.wakeAt.Equal(s.tickAt) {
		return
	}
	s.wakeAt = s.tickAt
	s.outputs = append(s.outputs, schedule.Wake{At: s.wakeAt})
}

// hurry brings the next tick forward after an input that may have left
// something to do.
func (s *Scheduler) hurry(now time.Time) {
	next := now.Add(quietTick)
	if at := s.bidder.Due(now); !at.IsZero() && at.Before(next) {
		next = at
	}
	if s.tickAt.IsZero() || next.Before(s.tickAt) {
		s.tickAt = next
	}
}
