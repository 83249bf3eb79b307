package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

func (w *Writer) appendNext(now time.Time) {
	if w.appending || w.unconfirmedEnd > 0 || !w.Ready() || now.Before(w.nextAppendAt) {
		return
	}
	batch := claim.Batch{FormatVersion: claim.FormatVersion}
	scanned := 0
	for _, p := range w.queue {
		if len(batch.Entries) == maxBatchEntries {
			break
		}
		scanned++
		if !w.isPending(p) {
			continue
		}
		kind := claim.KindClaim
		if p.request.Release {
			kind = claim.KindRelease
		}
		batch.Entries = append(batch.Entries, claim.Entry{Kind: kind, Claim: p.request.Claim})
		w.inAppend = append(w.inAppend, p)
	}
	w.queue = w.queue[scanned:]
	w.appendHasCheckpoint = w.addCheckpointEntries(&batch)
	if len(batch.Entries) == 0 && !w.appendHasCheckpoint {
		return
	}
	w.startAppend(now, batch)
}

func (w *Writer) startAppend(now time.Time, batch claim.Batch) {
	w.paceAppend(now)
	w.token++
	w.appending = true
	w.emit(Append{w.keyRange, w.token, batch})
}

// paceAppend moves nextAppendAt forward by appendInterval for an append that
// starts now. After an idle period nextAppendAt lies in the past, by at most
// appendBurst intervals, so that several appends may start at once.
func (w *Writer) paceAppend(now time.Time) {
	lowerBound := now.Add(-appendBurst * appendInterval)
	if w.nextAppendAt.Before(lowerBound) {
		w.nextAppendAt = lowerBound
	}
	w.nextAppendAt = w.nextAppendAt.Add(appendInterval)
}

func (w *Writer) appended(now time.Time, in Appended) {
	if in.Token != w.token || !w.appending {
		return
	}
	w.appending = false
	w.unconfirmedEnd = in.Offset + 1
	w.confirmDeadline = now.Add(confirmTimeout)
	w.logEnd = max(w.logEnd, w.unconfirmedEnd)
	w.confirmAppend()
}

func (w *Writer) appendFailed(in AppendFailed) {
	if in.Token != w.token || !w.appending {
		return
	}
	w.appending = false
	w.emit(Decision{"ClaimsAppendUnknown", []string{
		"Range", strconv.Itoa(w.keyRange), "Entries", strconv.Itoa(len(w.inAppend)),
	}})
	w.requeuePending()
}

// confirmAppend completes the last append once it has been read back.
func (w *Writer) confirmAppend() {
	if w.unconfirmedEnd == 0 || w.fold.Next() < w.unconfirmedEnd {
		return
	}
	if w.appendHasCheckpoint {
		w.checkpointPartConfirmed()
	}
	w.requeuePending()
}

// requeuePending puts the claim requests of the last append that have no
// verdict yet back at the front of the queue. Appending a claim twice is
// harmless.
func (w *Writer) requeuePending() {
	undecided := w.inAppend[:0]
	for _, p := range w.inAppend {
		if w.isPending(p) {
			undecided = append(undecided, p)
		}
	}
	if len(undecided) > 0 {
		w.queue = append(undecided, w.queue...)
	}
	w.inAppend, w.unconfirmedEnd, w.appendHasCheckpoint = nil, 0, false
}

// dropExpired removes, every dropInterval, the claim requests from the queue
// that have a verdict or whose deadline has passed, because their claimants no
// longer wait.
func (w *Writer) dropExpired(now time.Time) {
	if now.Before(w.dropAt) {
		return
	}
	w.dropAt = now.Add(dropInterval)
	remaining := w.queue[:0]
	for _, p := range w.queue {
		switch {
		case !w.isPending(p):
		case now.After(p.request.Deadline.Add(maxClockSkew)):
			delete(w.byID, requestKey{p.request.Claim.ID, p.request.Release})
		default:
			remaining = append(remaining, p)
		}
	}
	clear(w.queue[len(remaining):])
	w.queue = remaining
}
