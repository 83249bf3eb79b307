package placement

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/lease"
)

const (
	// renewEvery is the time between two records of a holder.
	renewEvery = lease.Life / 3
	// leaseMargin is left unused at the end of a lease, for clocks that run
	// at different rates.
	leaseMargin = time.Second
	// orderLife is the time in which an order must have been sent and have
	// arrived.
	orderLife = 3 * time.Second
	// readRetry is the pause after a failed read.
	readRetry = 500 * time.Millisecond
	// keptNonces bounds the own records that are remembered.
	keptNonces = 32
)

// holder takes and keeps the lease of a pool. The zero time of mayOrderUntil
// means that it does not hold it.
type holder struct {
	pool string
	self lease.Holder
	fold *lease.Fold

	owned   bool
	heard   bool
	reading bool
	readAt  time.Time
	tip     uint64
	// blindUntil is when a reader that sees no records may take the lease.
	blindUntil time.Time

	nonce     uint64
	appending bool
	askAt     time.Time
	// sentAt are the instants at which own records were appended.
	sentAt map[uint64]time.Time

	fencing       uint64
	mayOrderFrom  time.Time
	mayOrderUntil time.Time
}

func newHolder(pool string, self lease.Holder) *holder {
	return &holder{pool: pool, self: self, fold: lease.NewFold(0), sentAt: map[uint64]time.Time{}}
}

// holds reports whether orders may be given now.
func (h *holder) holds(now time.Time) bool {
	return now.Before(h.mayOrderUntil) && !now.Before(h.mayOrderFrom)
}

func (h *holder) gone(now time.Time, oldest uint64) {
	h.reading = false
	h.fold = lease.NewFold(oldest)
	h.blindUntil = now.Add(lease.Life + leaseMargin)
}

// records folds what was read. It returns a decision when the lease is taken
// or lost.
func (h *holder) records(now time.Time, in Records) []Output {
	h.reading, h.heard = false, true
	var out []Output
	for i := range in.Records {
		r := &in.Records[i]
		if r.Offset < h.fold.Next() {
			continue
		}
		before, _ := h.fold.Lease(h.pool)
		granted, err := h.fold.Apply(r.Offset, r.Appended, r.Record)
		if err != nil {
			h.readAt = now.Add(readRetry)
			h.mayOrderUntil = time.Time{}
			return append(out, Decision{"LeasesUnreadable", []string{"Pool", h.pool, "Error", err.Error()}})
		}
		if granted && r.Pool == h.pool {
			out = append(out, h.granted(now, r, before)...)
		}
	}
	h.tip = max(h.tip, in.Next, h.fold.Next())
	return out
}

func (h *holder) granted(now time.Time, r *Record, before lease.Lease) []Output {
	if r.Holder != h.self {
		lost := now.Before(h.mayOrderUntil)
		h.mayOrderUntil = time.Time{}
		if lost {
			return []Output{Decision{"LeaseLost", []string{"Pool", h.pool, "Holder", r.Holder.Router, "Fencing", strconv.FormatUint(r.Offset, 10)}}}
		}
		return nil
	}
	if before.Holder != h.self {
		// Whatever the holder before sent has arrived by then.
		h.mayOrderFrom = now.Add(orderLife)
	}
	sent, ok := h.sentAt[r.Nonce]
	if !ok {
		return nil // too old to be of use
	}
	h.fencing = r.Offset
	h.mayOrderUntil = sent.Add(lease.Life - leaseMargin)
	if before.Holder == h.self {
		return nil
	}
	return []Output{Decision{"LeaseTaken", []string{
		"Pool", h.pool, "Fencing", strconv.FormatUint(r.Offset, 10), "OrdersFrom", h.mayOrderFrom.UTC().Format(time.RFC3339Nano),
	}}}
}

// proceed asks for the lease, renews it or gives it up, and reads on.
func (h *holder) proceed(now time.Time) []Output {
	var out []Output
	if h.wants(now) {
		h.nonce++
		h.appending = true
		h.askAt = now.Add(renewEvery)
		h.sentAt[h.nonce] = now
		delete(h.sentAt, h.nonce-keptNonces)
		out = append(out, Append{lease.Record{
			FormatVersion: lease.FormatVersion, Pool: h.pool, Holder: h.self, Nonce: h.nonce,
		}})
	}
	if !h.owned && now.Before(h.mayOrderUntil) && !h.appending {
		h.mayOrderUntil = time.Time{}
		h.appending = true
		out = append(out, Append{lease.Record{
			FormatVersion: lease.FormatVersion, Pool: h.pool, Holder: h.self, Nonce: h.nonce, Release: true,
		}})
	}
	if h.owned && !h.reading && !now.Before(h.readAt) {
		h.reading = true
		out = append(out, Read{From: h.fold.Next(), Wait: h.heard && h.fold.Next() >= h.tip})
	}
	return out
}

// wants reports whether a record should be appended now: the lease is ours and
// due for renewal, or it looks free.
func (h *holder) wants(now time.Time) bool {
	if !h.owned || h.appending || !h.heard || h.fold.Next() < h.tip || now.Before(h.askAt) {
		return false
	}
	l, known := h.fold.Lease(h.pool)
	if l.Holder == h.self && known {
		return true
	}
	if !known {
		return !h.fold.Blind() || !now.Before(h.blindUntil)
	}
	// The log's clock decides; ours only says when it is worth asking.
	return !now.Before(l.Until)
}

// nextAt returns the instant at which there is something to do; zero if none.
func (h *holder) nextAt(now time.Time) time.Time {
	var at time.Time
	for _, t := range []time.Time{h.askAt, h.readAt, h.blindUntil, h.mayOrderFrom, h.mayOrderUntil} {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	if l, ok := h.fold.Lease(h.pool); ok && l.Until.After(now) && (at.IsZero() || l.Until.Before(at)) {
		at = l.Until
	}
	return at
}
