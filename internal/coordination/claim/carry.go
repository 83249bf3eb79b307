package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

// series is a pass that repeats every living claim and ends in a checkpoint.
type series struct {
	// from is the offset up to which the fold had read when the pass began.
	from uint64
	keys []claim.Digest
	// last are the keys in the append whose fate is open; they are repeated
	// until the records have been read back.
	last []claim.Digest
	// checkpoint is set once the record that ends the pass was appended.
	checkpoint bool
}

// carryForward begins a pass in good time before the log forgets the claims
// of the last one. No pass is needed while the log keeps its records for
// longer than two lives of a key.
func (w *Writer) carryForward(now time.Time) {
	if w.retention >= 2*claim.KeyLife || !w.owned || !w.Ready() {
		return
	}
	if w.carryAt.IsZero() {
		w.carryAt = now.Add(w.retention / 4)
	}
	if w.series != nil || now.Before(w.carryAt) {
		return
	}
	w.carryAt = now.Add(w.retention / 4)
	w.series = &series{from: w.fold.Next(), keys: w.fold.Living()}
	w.emit(Decision{"ClaimsCarried", []string{
		"Range", strconv.Itoa(w.keyRange), "Keys", strconv.Itoa(len(w.series.keys)),
		"From", strconv.FormatUint(w.series.from, 10),
	}})
}

// nextOfSeries adds the next claims of the pass to a batch that has room, or
// its checkpoint. A part is taken again if its append was not confirmed.
func (w *Writer) nextOfSeries(b *claim.Batch) bool {
	s := w.series
	room := batchEntries - len(b.Entries)
	if s == nil || room <= 0 {
		return false
	}
	if len(s.last) == 0 && len(s.keys) > 0 {
		n := min(room, len(s.keys))
		s.last, s.keys = s.keys[:n], s.keys[n:]
	}
	for _, d := range s.last {
		b.Entries = append(b.Entries, w.fold.Carry(d)...)
	}
	if len(s.last) == 0 {
		b.Checkpoint = s.from
		s.checkpoint = true
	}
	return true
}

// seriesLanded notes that the part last appended has been read back.
func (w *Writer) seriesLanded() {
	if w.series == nil {
		return
	}
	w.series.last = nil
	if w.series.checkpoint {
		w.series = nil
	}
}
