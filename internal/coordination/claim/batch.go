package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

func (w *Writer) appendNext(now time.Time) {
	if w.flying || w.landed > 0 || !w.Ready() || now.Before(w.earnAt) {
		return
	}
	batch := claim.Batch{FormatVersion: claim.FormatVersion}
	taken := 0
	for _, p := range w.queue {
		if len(batch.Entries) == batchEntries {
			break
		}
		taken++
		if !w.open(p) {
			continue
		}
		kind := claim.KindClaim
		if p.ask.Release {
			kind = claim.KindRelease
		}
		batch.Entries = append(batch.Entries, claim.Entry{Kind: kind, Claim: p.ask.Claim})
		w.sent = append(w.sent, p)
	}
	w.queue = w.queue[taken:]
	w.carries = w.nextOfSeries(&batch)
	if len(batch.Entries) == 0 && !w.carries {
		return
	}
	w.append(now, batch)
}

func (w *Writer) append(now time.Time, batch claim.Batch) {
	w.spend(now)
	w.token++
	w.flying = true
	w.emit(Append{w.keyRange, w.token, batch})
}

// spend takes one append from the pacing allowance, which refills by one
// every appendInterval up to appendBurst.
func (w *Writer) spend(now time.Time) {
	floor := now.Add(-appendBurst * appendInterval)
	if w.earnAt.Before(floor) {
		w.earnAt = floor
	}
	w.earnAt = w.earnAt.Add(appendInterval)
}

func (w *Writer) appended(now time.Time, in Appended) {
	if in.Token != w.token || !w.flying {
		return
	}
	w.flying = false
	w.landed = in.Offset + 1
	w.landAt = now.Add(confirmWait)
	w.tip = max(w.tip, w.landed)
	w.confirm()
}

func (w *Writer) appendFailed(in AppendFailed) {
	if in.Token != w.token || !w.flying {
		return
	}
	w.flying = false
	w.emit(Decision{"ClaimsAppendUnknown", []string{
		"Range", strconv.Itoa(w.keyRange), "Entries", strconv.Itoa(len(w.sent)),
	}})
	w.reopen()
}

// confirm ends the last append once it has been read back.
func (w *Writer) confirm() {
	if w.landed == 0 || w.fold.Next() < w.landed {
		return
	}
	if w.carries {
		w.seriesLanded()
	}
	w.reopen()
}

// reopen puts the entries of the last append that have not been decided back
// in line. Appending a claim twice is harmless.
func (w *Writer) reopen() {
	undecided := w.sent[:0]
	for _, p := range w.sent {
		if w.open(p) {
			undecided = append(undecided, p)
		}
	}
	if len(undecided) > 0 {
		w.queue = append(undecided, w.queue...)
	}
	w.sent, w.landed, w.carries = nil, 0, false
}

// drop forgets, now and then, the asks that are decided or of no use any more
// because their claimants have given up.
func (w *Writer) drop(now time.Time) {
	if now.Before(w.dropAt) {
		return
	}
	w.dropAt = now.Add(dropEvery)
	kept := w.queue[:0]
	for _, p := range w.queue {
		switch {
		case !w.open(p):
		case now.After(p.ask.Deadline.Add(skewAllowance)):
			delete(w.byID, askID{p.ask.Claim.ID, p.ask.Release})
		default:
			kept = append(kept, p)
		}
	}
	clear(w.queue[len(kept):])
	w.queue = kept
}
