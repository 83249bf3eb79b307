package claim

import (
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
)

// seriesPerRetention is the number of series that are written within the
// retention of the log, so that the log always holds a complete series.
const seriesPerRetention = 4

// missedSeriesLimit is the number of series that must fail to appear before the
// state of a stream counts as lost.
const missedSeriesLimit = 2

// series is a snapshot of the state of the stream that is appended to the
// stream again, in one or more records, before the log drops the original
// records.
type series struct {
	claim.Series
	items []claim.Item
	// unconfirmed are the items of the last append until its record has been
	// read back; if that append fails, they are appended again.
	unconfirmed []claim.Item
	// finalAppended is set once the record that ends the series is in a batch.
	finalAppended bool
}

// seriesInterval returns the time between the starts of two series.
func (w *Writer) seriesInterval() time.Duration {
	return min(w.retention/seriesPerRetention, claim.KeyLifetime)
}

// startSeries begins a series well before the log drops the last one. It does
// so even when there are no live claims, because a writer that starts later
// must be able to tell an empty state from a lost one.
func (w *Writer) startSeries(now time.Time) {
	if !w.owned || !w.Ready() {
		return
	}
	if w.nextSeriesAt.IsZero() {
		w.nextSeriesAt = now.Add(w.seriesInterval())
	}
	if w.series != nil || now.Before(w.nextSeriesAt) {
		return
	}
	w.nextSeriesAt = now.Add(w.seriesInterval())
	w.series = &series{
		Series: claim.Series{From: w.fold.Next(), Clock: w.fold.Clock(), BarredUntil: w.fold.BarredUntil()},
		items:  w.fold.Items(),
	}
	w.emit(Decision{"ClaimsCarried", []string{
		"Range", strconv.Itoa(w.keyRange), "Items", strconv.Itoa(len(w.series.items)),
		"From", strconv.FormatUint(w.series.From, 10),
	}})
}

// addSeriesEntries adds the next items of the series to a batch that has room,
// or ends the series. It adds the same items again if their append was not
// confirmed. It reports whether the batch is part of the series.
func (w *Writer) addSeriesEntries(b *claim.Batch) bool {
	s := w.series
	room := maxBatchEntries - len(b.Entries)
	if s == nil || room <= 0 {
		return false
	}
	if len(s.unconfirmed) == 0 && len(s.items) > 0 {
		n := min(room, len(s.items))
		s.unconfirmed, s.items = s.items[:n], s.items[n:]
	}
	for _, i := range s.unconfirmed {
		b.Entries = append(b.Entries, w.fold.Carry(i))
	}
	b.Series = &claim.Series{From: s.From}
	if len(s.unconfirmed) == 0 {
		s.finalAppended = true
		end := s.Series
		end.Final = true
		b.Series = &end
	}
	return true
}

// seriesPartConfirmed records that the part last appended has been read back.
func (w *Writer) seriesPartConfirmed() {
	if w.series == nil {
		return
	}
	w.series.unconfirmed = nil
	if w.series.finalAppended {
		w.series = nil
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
		w.barAt = now.Add(missedSeriesLimit * w.seriesInterval())
	}
	if now.Before(w.barAt) || w.appending || w.unconfirmedEnd > 0 {
		return
	}
	w.barAt = now.Add(missedSeriesLimit * w.seriesInterval())
	w.emit(Decision{"ClaimsBarred", []string{"Range", strconv.Itoa(w.keyRange)}})
	w.startAppend(now, claim.Batch{FormatVersion: claim.FormatVersion, Bar: true})
}
