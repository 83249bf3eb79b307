package peer

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/view"
)

// FromScheduleMessage converts a scheduler's message to its wire form. It returns nil
// for a type that has no wire form.
func FromScheduleMessage(m schedule.Message) *Message {
	switch m := m.(type) {
	case *schedule.Bid:
		return &Message{Kind: &Message_Bid{&Bid{
			Endpoint: string(m.Endpoint), Line: fromLine(m.Queue), Waiting: uint32(m.Waiting),
			Received: m.Received, Resync: m.Resync, Urgency: int32(m.Urgency),
			Tag: m.Tag, Rate: float32(m.Rate), Reserve: float32(m.Reserve),
		}}}
	case *schedule.Grant:
		return &Message{Kind: &Message_Grant{&Grant{
			Grant: uint64(m.Grant), Endpoint: string(m.Endpoint), Line: fromLine(m.Queue),
			DeadlineUnixMillis: m.Deadline.UnixMilli(), Virtual: m.Virtual,
		}}}
	case *schedule.Return:
		return &Message{Kind: &Message_Return{&Return{
			Grant: uint64(m.Grant), Endpoint: string(m.Endpoint), Line: fromLine(m.Queue),
			Result: uint32(m.Result), ElapsedMicros: m.Elapsed.Microseconds(),
			FirstTokenMicros: m.FirstToken.Microseconds(), Tag: m.Tag, Rate: float32(m.Rate),
		}}}
	case *schedule.Renewal:
		return &Message{Kind: &Message_Renewal{fromRenewal(m)}}
	case *schedule.Report:
		return &Message{Kind: &Message_Report{&Report{
			Pool: m.Pool, Charges: fromCharges(m.Charges), Virtual: m.Virtual, Incarnation: m.Incarnation,
			Floor: m.Floor,
		}}}
	case *schedule.Tags:
		return &Message{Kind: &Message_Tags{&Tags{
			Pool: m.Pool, Accounts: fromAccounts(m.Accounts), Virtual: m.Virtual, Floor: m.Floor,
		}}}
	case *schedule.Counters:
		return &Message{Kind: &Message_Counters{fromCounters(m)}}
	case *schedule.Pulse:
		return &Message{Kind: &Message_Pulse{fromPulse(m)}}
	case *schedule.Shortage:
		return &Message{Kind: &Message_Shortage{&Shortage{Endpoint: string(m.Endpoint), Room: uint32(m.FreeSlots)}}}
	}
	return nil
}

// ToScheduleMessage converts a message for the scheduler from its wire form. It
// returns false if the message is of another kind.
func ToScheduleMessage(m *Message) (schedule.Message, bool) {
	switch kind := m.GetKind().(type) {
	case *Message_Pulse:
		return toPulse(kind.Pulse), true
	case *Message_Bid:
		w := kind.Bid
		return &schedule.Bid{
			Endpoint: view.EndpointID(w.GetEndpoint()), Queue: toLine(w.GetLine()),
			Waiting: int(w.GetWaiting()), Received: w.GetReceived(), Resync: w.GetResync(),
			Urgency: int(w.GetUrgency()), Tag: w.GetTag(), Rate: float64(w.GetRate()), Reserve: float64(w.GetReserve()),
		}, true
	case *Message_Grant:
		w := kind.Grant
		return &schedule.Grant{
			Grant: schedule.GrantID(w.GetGrant()), Endpoint: view.EndpointID(w.GetEndpoint()),
			Queue: toLine(w.GetLine()), Deadline: time.UnixMilli(w.GetDeadlineUnixMillis()),
			Virtual: w.GetVirtual(),
		}, true
	case *Message_Return:
		w := kind.Return
		return &schedule.Return{
			Grant: schedule.GrantID(w.GetGrant()), Endpoint: view.EndpointID(w.GetEndpoint()),
			Queue: toLine(w.GetLine()), Result: schedule.Result(w.GetResult()),
			Elapsed: micros(w.GetElapsedMicros()), FirstToken: micros(w.GetFirstTokenMicros()), Tag: w.GetTag(), Rate: float64(w.GetRate()),
		}, true
	case *Message_Renewal:
		return toRenewal(kind.Renewal), true
	case *Message_Report:
		w := kind.Report
		return &schedule.Report{
			Pool: w.GetPool(), Incarnation: w.GetIncarnation(), Charges: toCharges(w.GetCharges()),
			Virtual: w.GetVirtual(), Floor: w.GetFloor(),
		}, true
	case *Message_Tags:
		w := kind.Tags
		return &schedule.Tags{
			Pool: w.GetPool(), Accounts: toAccounts(w.GetAccounts()), Virtual: w.GetVirtual(),
			Floor: w.GetFloor(),
		}, true
	case *Message_Counters:
		return toCounters(kind.Counters), true
	case *Message_Shortage:
		w := kind.Shortage
		return &schedule.Shortage{Endpoint: view.EndpointID(w.GetEndpoint()), FreeSlots: int(w.GetRoom())}, true
	}
	return nil, false
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func fromLine(l schedule.QueueKey) *Line {
	return &Line{Organisation: l.Organisation, Model: l.Model, Exclusive: l.Exclusive}
}

func toLine(w *Line) schedule.QueueKey {
	return schedule.QueueKey{Organisation: w.GetOrganisation(), Model: w.GetModel(), Exclusive: w.GetExclusive()}
}

func fromRenewal(m *schedule.Renewal) *Renewal {
	w := &Renewal{Endpoint: string(m.Endpoint), Running: make([]*RunningGrant, len(m.Running))}
	for i, r := range m.Running {
		w.Running[i] = &RunningGrant{
			Grant: uint64(r.Grant), Line: fromLine(r.Queue),
			FirstTokenMicros: r.FirstToken.Microseconds(),
		}
	}
	return w
}

func toRenewal(w *Renewal) *schedule.Renewal {
	m := &schedule.Renewal{Endpoint: view.EndpointID(w.GetEndpoint())}
	for _, r := range w.GetRunning() {
		m.Running = append(m.Running, schedule.Running{
			Grant: schedule.GrantID(r.GetGrant()), Queue: toLine(r.GetLine()),
			FirstToken: micros(r.GetFirstTokenMicros()),
		})
	}
	return m
}

func fromCharges(charges []schedule.Charge) []*Charge {
	w := make([]*Charge, len(charges))
	for i, c := range charges {
		w[i] = &Charge{
			Organisation: c.Organisation, Total: c.Total, Settled: c.Settled,
			Acknowledged: c.Acknowledged, Reserved: c.Reserved, Waiting: c.Waiting,
		}
	}
	return w
}

func toCharges(w []*Charge) []schedule.Charge {
	charges := make([]schedule.Charge, len(w))
	for i, c := range w {
		charges[i] = schedule.Charge{
			Organisation: c.GetOrganisation(), Total: c.GetTotal(), Settled: c.GetSettled(),
			Acknowledged: c.GetAcknowledged(), Reserved: c.GetReserved(), Waiting: c.GetWaiting(),
		}
	}
	return charges
}

func fromAccounts(accounts []schedule.Account) []*Account {
	w := make([]*Account, len(accounts))
	for i, a := range accounts {
		w[i] = &Account{
			Organisation: a.Organisation, Settled: a.Settled, Total: a.Total,
			OthersReserved: a.OthersReserved, OthersWait: a.OthersWait, Lifted: a.Lifted,
		}
	}
	return w
}

func toAccounts(w []*Account) []schedule.Account {
	accounts := make([]schedule.Account, len(w))
	for i, a := range w {
		accounts[i] = schedule.Account{
			Organisation: a.GetOrganisation(), Settled: a.GetSettled(), Total: a.GetTotal(),
			OthersReserved: a.GetOthersReserved(), OthersWait: a.GetOthersWait(),
			Lifted: a.GetLifted(),
		}
	}
	return accounts
}

func fromCounters(m *schedule.Counters) *Counters {
	w := &Counters{Pool: m.Pool, Counters: make([]*Counter, len(m.Counters))}
	for i, c := range m.Counters {
		w.Counters[i] = &Counter{Organisation: c.Organisation, Tag: c.Tag, Rate: float32(c.Rate)}
	}
	return w
}

func toCounters(w *Counters) *schedule.Counters {
	m := &schedule.Counters{Pool: w.GetPool()}
	for _, c := range w.GetCounters() {
		m.Counters = append(m.Counters, schedule.Counter{Organisation: c.GetOrganisation(), Tag: c.GetTag(), Rate: float64(c.GetRate())})
	}
	return m
}

func fromPulse(m *schedule.Pulse) *Pulse {
	w := &Pulse{Busy: float32(m.Busy)}
	for _, l := range m.Endpoints {
		w.Endpoints = append(w.Endpoints, &EndpointLoad{
			Endpoint: string(l.Endpoint), Requests: uint32(l.Requests), Backlog: l.Backlog, Memory: l.Memory,
			Samples: fromSamples(l.Samples),
		})
	}
	for _, o := range m.Organisations {
		w.Organisations = append(w.Organisations, &OrganisationUse{
			Organisation: o.Organisation, Asked: float32(o.Requested), Received: float32(o.Received), Unserved: float32(o.Unserved),
		})
	}
	return w
}

func toPulse(w *Pulse) *schedule.Pulse {
	m := &schedule.Pulse{Busy: toCapacity(w.GetBusy())}
	for _, l := range w.GetEndpoints() {
		m.Endpoints = append(m.Endpoints, schedule.EndpointLoad{
			Endpoint: view.EndpointID(l.GetEndpoint()), Requests: int(l.GetRequests()), Backlog: l.GetBacklog(), Memory: l.GetMemory(),
			Samples: toSamples(l.GetSamples()),
		})
	}
	for _, o := range w.GetOrganisations() {
		m.Organisations = append(m.Organisations, schedule.OrganisationUse{
			Organisation: o.GetOrganisation(), Requested: float64(o.GetAsked()), Received: float64(o.GetReceived()), Unserved: float64(o.GetUnserved()),
		})
	}
	return m
}

// fromSamples returns nil, which takes no space in a message, for no samples.
func fromSamples(s schedule.Samples) *Samples {
	if s.Count <= 0 {
		return nil
	}
	return &Samples{
		Count: uint32(s.Count), EventIntervalMillis: uint32(s.EventInterval.Milliseconds()), LongestGapMillis: uint32(s.LongestGap.Milliseconds()),
	}
}

func toSamples(w *Samples) schedule.Samples {
	return schedule.Samples{
		Count:         int(w.GetCount()),
		EventInterval: time.Duration(w.GetEventIntervalMillis()) * time.Millisecond,
		LongestGap:    time.Duration(w.GetLongestGapMillis()) * time.Millisecond,
	}
}
