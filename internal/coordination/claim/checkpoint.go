package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

// checkpointsPerRetention is the number of checkpoints that are written within
// the retention of the log, so that the log always holds a complete checkpoint.
const checkpointsPerRetention = 4

// missedCheckpointLimit is the number of checkpoints that must fail to appear
// before the state of a stream counts as lost.
const missedCheckpointLimit = 2

// checkpoint is a snapshot of the state of the stream that is appended to the
// stream again, in one or more records, before the log drops the original
// records. The stored form of the records calls it a series.
type checkpoint struct {
	claim.Checkpoint
	items []claim.Item
	// unconfirmed are the items of the last append until its record has been
	// read back; if that append fails, they are appended again.
	unconfirmed []claim.Item
	// finalAppended is set once the record that ends the checkpoint is in a
	// batch.
	finalAppended bool
}

// checkpointInterval returns the time between the starts of two checkpoints.
func (w *Writer) checkpointInterval() time.Duration {
	return min(w.retention/checkpointsPerRetention, claim.KeyLifetime)
}

// startCheckpoint begins a checkpoint well before the log drops the last one. It
// does so even when there are no live claims, because a writer that starts
// later must be able to tell an empty state from a lost one.
func (w *Writer) startCheckpoint(now time.Time) {
	if !w.owned || !w.Ready() {
		return
	}
	if w.nextCheckpointAt.IsZero() {
		w.nextCheckpointAt = now.Add(w.checkpointInterval())
	}
	if w.checkpoint != nil || now.Before(w.nextCheckpointAt) {
		return
	}
	w.nextCheckpointAt = now.Add(w.checkpointInterval())
	w.checkpoint = &checkpoint{
		Checkpoint: claim.Checkpoint{From: w.fold.Next(), Clock: w.fold.Clock(), BarredUntil: w.fold.BarredUntil()},
		items:      w.fold.Items(),
	}
	w.emit(Decision{"ClaimsCarried", []string{
		"Range", strconv.Itoa(w.keyRange), "Items", strconv.Itoa(len(w.checkpoint.items)),
		"From", strconv.FormatUint(w.checkpoint.From, 10),
	}})
}

// addCheckpointEntries adds the next items of the checkpoint to a batch that has
// room, or ends the checkpoint. It adds the same items again if their append was
// not confirmed. It reports whether the batch is part of the checkpoint.
func (w *Writer) addCheckpointEntries(b *claim.Batch) bool {
	s := w.checkpoint
	room := maxBatchEntries - len(b.Entries)
	if s == nil || room <= 0 {
		return false
	}
	if len(s.unconfirmed) == 0 && len(s.items) > 0 {
		n := min(room, len(s.items))
		s.unconfirmed, s.items = s.items[:n], s.items[n:]
	}
	for _, i := range s.unconfirmed {
		b.Entries = append(b.Entries, w.fold.CheckpointEntry(i))
	}
	b.Checkpoint = &claim.Checkpoint{From: s.From}
	if len(s.unconfirmed) == 0 {
		s.finalAppended = true
		end := s.Checkpoint
		end.Final = true
		b.Checkpoint = &end
	}
	return true
}

// checkpointPartConfirmed records that the part of the checkpoint in the last
// append has been read back.
func (w *Writer) checkpointPartConfirmed() {
	if w.checkpoint == nil {
		return
	}
	w.checkpoint.unconfirmed = nil
	if w.checkpoint.finalAppended {
		w.checkpoint = nil
	}
}

// allExpired reports whether every claim before the offset next has expired.
// That holds if the log keeps records for longer than keys live and has no
// records left.
func (w *Writer) allExpired(next uint64) bool {
	return w.retention >= claim.KeyLifetime+claim.MaxClockSkew && w.fold.Next() == next
}

// barIfStateLost appends a bar when the log no longer holds the state of the
// stream and no writer has appended it again. The bar keeps every claim from
// winning until all claims that were lost have expired.
func (w *Writer) barIfStateLost(now time.Time) {
	if w.fold.Loaded() || !w.owned || !w.logEndKnown || w.fold.Next() < w.logEnd {
		w.barAt = time.Time{}
		return
	}
	if w.barAt.IsZero() {
		w.barAt = now.Add(missedCheckpointLimit * w.checkpointInterval())
	}
	if now.Before(w.barAt) || w.appending || w.unconfirmedEnd > 0 {
		return
	}
	w.barAt = now.Add(missedCheckpointLimit * w.checkpointInterval())
	w.emit(Decision{"ClaimsBarred", []string{"Range", strconv.Itoa(w.keyRange)}})
	w.startAppend(now, claim.Batch{FormatVersion: claim.FormatVersion, Bar: true})
}
