package placement

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/lease"
)

const (
	// renewInterval is the time between two lease records of a holder.
	renewInterval = lease.Lifetime / 3
	// leaseMargin is the part at the end of a lease that is left unused, because
	// clocks may run at different rates.
	leaseMargin = time.Second
	// orderLifetime is the time within which an order must be sent and arrive.
	orderLifetime = 3 * time.Second
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 500 * time.Millisecond
	// maxNonces is the number of this router's own records whose send times are
	// retained.
	maxNonces = 32
)

// leaseClient acquires and renews the lease of a pool. It does not hold the
// lease while mayOrderUntil is zero.
type leaseClient struct {
	pool string
	self lease.Holder
	fold *lease.Fold

	owned       bool
	hasRead     bool
	readPending bool
	nextReadAt  time.Time
	logEnd      uint64 // offset of the next record to be appended, as last known
	// unseenLeaseUntil is the instant until which a lease may be in force whose
	// record the log had trimmed before it was read here.
	unseenLeaseUntil time.Time

	nonce         uint64
	appendPending bool
	nextAppendAt  time.Time
	// sentAt holds the instants at which this router's own records were sent, by
	// nonce.
	sentAt map[uint64]time.Time

	fencing       uint64
	mayOrderFrom  time.Time
	mayOrderUntil time.Time
}

func newLeaseClient(pool string, self lease.Holder) *leaseClient {
	return &leaseClient{pool: pool, self: self, fold: lease.NewFold(0), sentAt: map[uint64]time.Time{}}
}

// mayOrder reports whether orders may be given now.
func (h *leaseClient) mayOrder(now time.Time) bool {
	return now.Before(h.mayOrderUntil) && !now.Before(h.mayOrderFrom)
}

// handleOffsetTrimmed continues at the oldest record that the log retains.
func (h *leaseClient) handleOffsetTrimmed(now time.Time, oldest uint64) {
	h.readPending = false
	h.fold = lease.NewFold(oldest)
	h.unseenLeaseUntil = now.Add(lease.Lifetime + leaseMargin)
}

// handleRecords applies the records of a read. It returns a Decision when the
// lease is acquired or lost, or when a record can't be applied; no orders are
// then given until the lease is renewed.
func (h *leaseClient) handleRecords(now time.Time, in Records) []Output {
	h.readPending, h.hasRead = false, true
	var out []Output
	for i := range in.Records {
		r := &in.Records[i]
		if r.Offset < h.fold.Next() {
			continue
		}
		previous, _ := h.fold.Lease(h.pool)
		granted, err := h.fold.Apply(r.Offset, r.Appended, r.Record)
		if err != nil {
			h.nextReadAt = now.Add(readRetryDelay)
			h.mayOrderUntil = time.Time{}
			return append(out, Decision{"LeasesUnreadable", []string{"Pool", h.pool, "Error", err.Error()}})
		}
		if granted && r.Pool == h.pool {
			out = append(out, h.handleGrant(now, r, previous)...)
		}
	}
	h.logEnd = max(h.logEnd, in.Next, h.fold.Next())
	return out
}

func (h *leaseClient) handleGrant(now time.Time, r *Record, previous lease.Lease) []Output {
	if r.Holder != h.self {
		lost := now.Before(h.mayOrderUntil)
		h.mayOrderUntil = time.Time{}
		if lost {
			return []Output{Decision{"LeaseLost", []string{"Pool", h.pool, "Holder", r.Holder.Router, "Fencing", strconv.FormatUint(r.Offset, 10)}}}
		}
		return nil
	}
	if previous.Holder != h.self {
		// By then, every order of the previous holder has arrived or expired.
		h.mayOrderFrom = now.Add(orderLifetime)
	}
	sent, ok := h.sentAt[r.Nonce]
	if !ok {
		return nil // too old: its send time is no longer retained
	}
	h.fencing = r.Offset
	h.mayOrderUntil = sent.Add(lease.Lifetime - leaseMargin)
	if previous.Holder == h.self {
		return nil
	}
	return []Output{Decision{"LeaseTaken", []string{
		"Pool", h.pool, "Fencing", strconv.FormatUint(r.Offset, 10), "OrdersFrom", h.mayOrderFrom.UTC().Format(time.RFC3339Nano),
	}}}
}

// advance appends a record to acquire, renew or release the lease if one is
// due, and continues to read the log.
func (h *leaseClient) advance(now time.Time) []Output {
	var out []Output
	if h.appendDue(now) {
		h.nonce++
		h.appendPending = true
		h.nextAppendAt = now.Add(renewInterval)
		h.sentAt[h.nonce] = now
		delete(h.sentAt, h.nonce-maxNonces)
		out = append(out, Append{lease.Record{
			FormatVersion: lease.FormatVersion, Pool: h.pool, Holder: h.self, Nonce: h.nonce,
		}})
	}
	if !h.owned && now.Before(h.mayOrderUntil) && !h.appendPending {
		h.mayOrderUntil = time.Time{}
		h.appendPending = true
		out = append(out, Append{lease.Record{
			FormatVersion: lease.FormatVersion, Pool: h.pool, Holder: h.self, Nonce: h.nonce, Release: true,
		}})
	}
	if h.owned && !h.readPending && !now.Before(h.nextReadAt) {
		h.readPending = true
		out = append(out, Read{From: h.fold.Next(), Wait: h.hasRead && h.fold.Next() >= h.logEnd})
	}
	return out
}

// appendDue reports whether a record should be appended now: the lease is held
// here and due for renewal, or it appears to be free.
func (h *leaseClient) appendDue(now time.Time) bool {
	if !h.owned || h.appendPending || !h.hasRead || h.fold.Next() < h.logEnd || now.Before(h.nextAppendAt) {
		return false
	}
	l, known := h.fold.Lease(h.pool)
	if l.Holder == h.self && known {
		return true
	}
	if !known {
		return !h.fold.Incomplete() || !now.Before(h.unseenLeaseUntil)
	}
	// The log's clock decides on the lease; the local clock only avoids futile
	// requests.
	return !now.Before(l.Until)
}

// nextWake returns the next instant at which advance may have something to do;
// zero if there is none.
func (h *leaseClient) nextWake(now time.Time) time.Time {
	var at time.Time
	for _, t := range []time.Time{h.nextAppendAt, h.nextReadAt, h.unseenLeaseUntil, h.mayOrderFrom, h.mayOrderUntil} {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l, ok := h.fold.Lease(h.pool); ok && l.Until.After(now) && (at.IsZero() || l.Until.Before(at)) {
		at = l.Until
	}
	return at
}
