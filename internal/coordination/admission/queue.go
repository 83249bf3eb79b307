package admission

import (
	"cmp"
	"slices"
	"time"

	"hyssopreach/internal/coordination/cost"
	"hyssopreach/internal/coordination/schedule"
)

// queuedRequest is a request that waits to be started or refused.
type queuedRequest struct {
	request schedule.Request
	arrived time.Time
	// cost is the work charged to the organisation, in tokens.
	cost float64
	// prefixKey identifies the prompt prefix shared with other requests; zero
	// for none.
	prefixKey uint64
	// class is the mean prefill of the request's class, and judged is set once the
	// request is part of it.
	class  *classPrefill
	judged bool
	// counts is set if the request counts as demand; see returning.
	counts bool
	// estimate is the expected length of the answer, and byEnd the choice by the
	// expected end.
	estimate cost.Estimate
	byEnd    endChoice
}

// queue holds the waiting requests of a pool.
type queue struct {
	requests []*queuedRequest
}

func newQueue() queue { return queue{} }

// countOf returns the number of waiting requests of the organisation, without those
// that are underway; see schedule.Request.Underway.
func (l *queue) countOf(organisation string) int {
	n := 0
	for _, w := range l.requests {
		if w.request.Organisation == organisation && !w.request.Underway() {
			n++
		}
	}
	return n
}

func (l *queue) len() int { return len(l.requests) }

func (l *queue) add(w *queuedRequest) { l.requests = append(l.requests, w) }

func (l *queue) remove(id schedule.RequestID) bool {
	before := len(l.requests)
	l.requests = slices.DeleteFunc(l.requests, func(w *queuedRequest) bool { return w.request.ID == id })
	return len(l.requests) < before
}

// order sorts the queue. Requests that resume an answer are first, since their
// callers have already received a part of it. Nested calls are next, since their
// parents occupy capacity. Requests of organisations below the fair rate follow. The
// remaining order is by the rate that the organisation has received, and within
// an organisation by urgency and then by arrival.
func (l *queue) order(rates map[string]usageRates, fairRate float64) {
	slices.SortStableFunc(l.requests, func(a, b *queuedRequest) int {
		if order := cmp.Compare(boolToInt(b.request.Resumes), boolToInt(a.request.Resumes)); order != 0 {
			return order
		}
		if order := cmp.Compare(boolToInt(b.request.Nested), boolToInt(a.request.Nested)); order != 0 {
			return order
		}
		if a.request.Organisation != b.request.Organisation {
			x, y := rates[a.request.Organisation].received, rates[b.request.Organisation].received
			if order := cmp.Compare(boolToInt(x >= fairRate), boolToInt(y >= fairRate)); order != 0 {
				return order
			}
			if order := cmp.Compare(x, y); order != 0 {
				return order
			}
		}
		if order := cmp.Compare(b.request.Urgency, a.request.Urgency); order != 0 {
			return order
		}
		return a.arrived.Compare(b.arrived)
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
