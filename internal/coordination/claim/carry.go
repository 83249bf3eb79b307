package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

// carriesPerRetention is the number of passes in the time that the log keeps
// a record, so that the log always holds a whole pass.
const carriesPerRetention = 4

// passesMissed is the number of passes that must fail to appear before the
// state of a stream is taken for forgotten.
const passesMissed = 2

// series is a pass that repeats the state of the stream.
type series struct {
	claim.Series
	items []claim.Item
	// last are the items in the append whose fate is open; they are repeated
	// until the record has been read back.
	last []claim.Item
	// ending is set once the record that ends the pass was appended.
	ending bool
}

// carryEvery is the time between two passes.
func (w *Writer) carryEvery() time.Duration {
	return min(w.retention/carriesPerRetention, claim.KeyLife)
}

// carryForward begins a pass in good time before the log forgets the last
// one. Passes go on when no claim is alive, since a writer that starts later
// must be able to tell an empty state from a forgotten one.
func (w *Writer) carryForward(now time.Time) {
	if !w.owned || !w.Ready() {
		return
	}
	if w.carryAt.IsZero() {
		w.carryAt = now.Add(w.carryEvery())
	}
	if w.series != nil || now.Before(w.carryAt) {
		return
	}
	w.carryAt = now.Add(w.carryEvery())
	w.series = &series{
		Series: claim.Series{From: w.fold.Next(), Clock: w.fold.Clock(), BarredUntil: w.fold.BarredUntil()},
		items:  w.fold.Items(),
	}
	w.emit(Decision{"ClaimsCarried", []string{
		"Range", strconv.Itoa(w.keyRange), "Items", strconv.Itoa(len(w.series.items)),
		"From", strconv.FormatUint(w.series.From, 10),
	}})
}

// nextOfSeries adds the next items of the pass to a batch that has room, or
// ends the pass. A part is taken again if its append was not confirmed.
func (w *Writer) nextOfSeries(b *claim.Batch) bool {
	s := w.series
	room := batchEntries - len(b.Entries)
	if s == nil || room <= 0 {
		return false
	}
	if len(s.last) == 0 && len(s.items) > 0 {
		n := min(room, len(s.items))
		s.last, s.items = s.items[:n], s.items[n:]
	}
	for _, i := range s.last {
		b.Entries = append(b.Entries, w.fold.Carry(i))
	}
	b.Series = &claim.Series{From: s.From}
	if len(s.last) == 0 {
		s.ending = true
		end := s.Series
		end.Final = true
		b.Series = &end
	}
	return true
}

// seriesLanded notes that the part last appended has been read back.
func (w *Writer) seriesLanded() {
	if w.series == nil {
		return
	}
	w.series.last = nil
	if w.series.ending {
		w.series = nil
	}
}

// forgotten reports whether every claim before the offset has expired: the
// log keeps records for longer than keys live, and has none left.
func (w *Writer) forgotten(next uint64) bool {
	return w.retention >= claim.KeyLife+claim.Skew && w.fold.Next() == next
}

// bar makes a fresh start when the log has forgotten the state of the stream
// and nobody repeats it: no claim can win until all that were forgotten have
// expired.
func (w *Writer) bar(now time.Time) {
	if w.fold.Loaded() || !w.owned || !w.heard || w.fold.Next() < w.tip {
		w.barAt = time.Time{}
		return
	}
	if w.barAt.IsZero() {
		w.barAt = now.Add(passesMissed * w.carryEvery())
	}
	if now.Before(w.barAt) || w.flying || w.landed > 0 {
		return
	}
	w.barAt = now.Add(passesMissed * w.carryEvery())
	w.emit(Decision{"ClaimsBarred", []string{"Range", strconv.Itoa(w.keyRange)}})
	w.append(now, claim.Batch{FormatVersion: claim.FormatVersion, Bar: true})
}
