package claim

import (
	"errors"
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

const (
	// appendInterval is the least mean time between two appends of one
	// range, so that all ranges together stay under 60 appends a second.
	appendInterval = 145 * time.Millisecond
	// appendBurst is the number of appends that may go out without waiting
	// after a quiet time, so that a lone claim is not held back.
	appendBurst = 4
	// batchEntries is the most entries in one record.
	batchEntries = 400
	// maxPending is the most claims that wait in one writer.
	maxPending = 4096
	// maxKeys is the most keys that one range remembers.
	maxKeys = 300_000
	// readRetry is the pause after a failed read.
	readRetry = 100 * time.Millisecond
	// confirmWait is how long an append that was answered may stay unread
	// before its entries are appended again.
	confirmWait = time.Second
	// dropEvery is the time between two searches for asks of no use.
	dropEvery = 100 * time.Millisecond
	// idleLife is how long a range is remembered after its last use.
	idleLife = time.Minute
	// skewAllowance is the difference allowed between two routers' clocks.
	skewAllowance = time.Second
)

// WriterInput is something that a Writer is told.
type WriterInput interface{ writerInput() }

// Asked says that a claimant has asked for a claim.
type RequestReceived struct {
	From    view.RouterID
	Request Request
}

// Records brings records in the order of the log. Next is the offset that
// the next appended record would have got when the log answered.
type Records struct {
	Records []claim.Record
	Next    uint64
}

// Gone says that the wanted offset is no longer kept by the log, and which
// is the oldest that is.
type OffsetGone struct{ Oldest uint64 }

// ReadFailed says that a read brought nothing.
type ReadFailed struct{}

// Appended says that an append has taken effect.
type Appended struct {
	Token  uint64
	Offset uint64
}

// AppendFailed says that the fate of an append is unknown: it may have taken
// effect, or may yet.
type AppendFailed struct{ Token uint64 }

// Own says whether this router owns the range. An owner reads ahead, so that
// it can grant at once.
type Ownership struct{ Owned bool }

// WriterAlarm says that the instant asked for by Wake has come.
type WriterAlarm struct{}

func (RequestReceived) writerInput() {}
func (Records) writerInput()         {}
func (OffsetGone) writerInput()      {}
func (ReadFailed) writerInput()      {}
func (Appended) writerInput()        {}
func (AppendFailed) writerInput()    {}
func (Ownership) writerInput()       {}
func (WriterAlarm) writerInput()     {}

// pending is an ask that has not been decided.
type pending struct {
	ask  Request
	from view.RouterID
}

// Writer appends the claims of one key range and tells how they stand. It is
// not safe for concurrent use.
type Writer struct {
	keyRange  int
	retention time.Duration
	fold      *claim.Fold
	// blocked is set by a record that this program cannot read.
	blocked bool
	owned   bool
	idleAt  time.Time

	// reading is set while a Read is under way; tip is the log's next offset
	// as last heard, once heard is set.
	reading bool
	heard   bool
	tip     uint64
	readAt  time.Time

	// byID holds every undecided ask; queue holds those that are in no
	// append, and sent those of the last append.
	byID   map[askID]*pending
	queue  []*pending
	sent   []*pending
	dropAt time.Time

	// flying is set while the append with this token is under way; landed is
	// the offset after it, until that has been read.
	flying  bool
	token   uint64
	landed  uint64
	landAt  time.Time
	earnAt  time.Time
	carries bool

	series  *series
	carryAt time.Time
	barAt   time.Time
	wakeAt  time.Time
	out     []Output
}

type askID struct {
	id      claim.ID
	release bool
}

// NewWriter returns the writer of a key range. The retention is how long the
// platform's log keeps a record; claims are carried forward when it is too
// short for a key's life.
func NewWriter(keyRange int, retention time.Duration) *Writer {
	return &Writer{
		keyRange: keyRange, retention: retention,
		fold: claim.NewFold(0), byID: map[askID]*pending{},
	}
}

// Ready reports whether the writer knows every claim that still matters.
func (w *Writer) Ready() bool {
	return !w.blocked && w.fold.Loaded() && w.heard && w.fold.Next() >= w.tip
}

// Step takes one input at the given instant and returns what is to be done,
// in order.
func (w *Writer) Step(now time.Time, in WriterInput) []Output {
	w.out = w.out[:0]
	switch in := in.(type) {
	case RequestReceived:
		w.asked(now, in)
	case Ownership:
		w.owned = in.Owned
	case Records:
		w.records(now, in)
	case OffsetGone:
		w.gone(in.Oldest)
	case ReadFailed:
		w.reading = false
		w.readAt = now.Add(readRetry)
	case Appended:
		w.appended(now, in)
	case AppendFailed:
		w.appendFailed(in)
	case WriterAlarm:
		w.wakeAt = time.Time{}
	}
	w.proceed(now)
	return w.out
}

func (w *Writer) asked(now time.Time, in RequestReceived) {
	key := askID{in.Request.Claim.ID, in.Request.Release}
	if p, ok := w.byID[key]; ok {
		p.from, p.ask.Deadline = in.From, in.Request.Deadline
		return
	}
	if s, ok := w.known(now, &in.Request); ok {
		w.emit(SendVerdict{in.From, Verdict{s}})
		return
	}
	full := w.fold.Len()+len(w.byID) >= maxKeys && !in.Request.Release
	if full || len(w.byID) >= maxPending || w.blocked {
		w.emit(SendVerdict{in.From, Verdict{claim.Standing{Claim: in.Request.Claim.ID, Verdict: claim.VerdictBusy}}})
		return
	}
	if in.Request.Release {
		delete(w.byID, askID{in.Request.Claim.ID, false})
	}
	p := &pending{ask: in.Request, from: in.From}
	w.byID[key] = p
	w.queue = append(w.queue, p)
}

// known answers an ask from the log alone, without an append. A winner once
// decided there stays the winner; what may have changed since is asked anew.
func (w *Writer) known(now time.Time, a *Request) (claim.Standing, bool) {
	if !w.fold.Loaded() {
		return claim.Standing{}, false
	}
	if a.Release {
		return claim.Standing{Claim: a.Claim.ID, Verdict: claim.VerdictReleased}, w.fold.Void(a.Claim.ID)
	}
	s := w.fold.Standing(&a.Claim)
	switch s.Verdict {
	case claim.VerdictWon, claim.VerdictReleased:
		return s, true
	case claim.VerdictHeld, claim.VerdictMismatch:
		return s, now.Before(s.Until)
	default:
		return s, false
	}
}

func (w *Writer) records(now time.Time, in Records) {
	w.reading, w.heard = false, true
	loaded := w.fold.Loaded()
	if !loaded && len(in.Records) == 0 && w.forgotten(in.Next) {
		w.fold, w.series = claim.NewEmptyFold(in.Next), nil
	}
	for i := range in.Records {
		r := &in.Records[i]
		if r.Offset < w.fold.Next() {
			continue
		}
		standings, err := w.fold.Apply(*r)
		if err != nil {
			w.fail(now, err)
			return
		}
		if len(standings) > 0 {
			w.settle(standings, r.Batch.Entries)
		}
	}
	w.tip = max(w.tip, in.Next, w.fold.Next())
	if !loaded && w.fold.Loaded() {
		w.answerKnown(now)
	}
	w.confirm()
}

// settle answers the asks whose entries have just been read.
func (w *Writer) settle(standings []claim.Standing, entries []claim.Entry) {
	at := 0
	for i := range entries {
		kind := entries[i].Kind
		if kind != claim.KindClaim && kind != claim.KindRelease {
			continue
		}
		s := standings[at]
		at++
		key := askID{s.Claim, kind == claim.KindRelease}
		p, ok := w.byID[key]
		if !ok {
			continue
		}
		delete(w.byID, key)
		w.emit(SendVerdict{p.from, Verdict{s}})
		w.emit(Decision{"ClaimDecided", []string{
			"Claim", s.Claim.String(), "Verdict", s.Verdict.String(),
			"Range", strconv.Itoa(w.keyRange), "Offset", strconv.FormatUint(w.fold.Next()-1, 10),
			"Claimant", string(p.from),
		}})
	}
}

// gone begins again at the oldest record kept. What lies between is unknown,
// and the new fold grants nothing until it is complete.
func (w *Writer) gone(oldest uint64) {
	w.reading = false
	w.emit(Decision{"ClaimsHole", []string{
		"Range", strconv.Itoa(w.keyRange), "Wanted", strconv.FormatUint(w.fold.Next(), 10),
		"Oldest", strconv.FormatUint(oldest, 10),
	}})
	w.fold = claim.NewFold(oldest)
	w.series = nil
	w.tip = max(w.tip, oldest)
}

func (w *Writer) fail(now time.Time, err error) {
	w.readAt = now.Add(readRetry)
	w.blocked = errors.Is(err, claim.ErrVersion)
	w.emit(Decision{"ClaimsUnreadable", []string{"Range", strconv.Itoa(w.keyRange), "Error", err.Error()}})
}

// open reports whether the ask still awaits its verdict.
func (w *Writer) open(p *pending) bool {
	return w.byID[askID{p.ask.Claim.ID, p.ask.Release}] == p
}

// proceed starts whatever can be started now and asks to be woken for the rest.
func (w *Writer) proceed(now time.Time) {
	if w.landed > 0 && !now.Before(w.landAt) {
		w.reopen()
	}
	w.drop(now)
	w.rest(now)
	w.carryForward(now)
	w.bar(now)
	w.appendNext(now)
	w.readNext(now)
	w.wake(now)
}

// rest forgets the range when this router has neither owned it nor been asked
// about it for a while.
func (w *Writer) rest(now time.Time) {
	if w.busy() {
		w.idleAt = now.Add(idleLife)
		return
	}
	if w.fold.Len() > 0 && !w.reading && now.After(w.idleAt) {
		w.fold, w.heard, w.series = claim.NewFold(0), false, nil
	}
}

func (w *Writer) busy() bool {
	return w.owned || len(w.byID) > 0 || w.flying || w.landed > 0
}

// answerKnown answers the asks that came before the log had been read.
func (w *Writer) answerKnown(now time.Time) {
	for _, p := range w.queue {
		if !w.open(p) {
			continue
		}
		if s, ok := w.known(now, &p.ask); ok {
			delete(w.byID, askID{p.ask.Claim.ID, p.ask.Release})
			w.emit(SendVerdict{p.from, Verdict{s}})
		}
	}
}

func (w *Writer) readNext(now time.Time) {
	if w.reading || w.blocked || !w.busy() || now.Before(w.readAt) {
		return
	}
	w.reading = true
	w.emit(Read{Range: w.keyRange, From: w.fold.Next(), Wait: w.heard && w.fold.Next() >= w.tip})
}

func (w *Writer) wake(now time.Time) {
	at := earliest(now, w.carryAt, w.barAt)
	if !w.reading {
		at = earliest(now, at, w.readAt)
	}
	if w.landed > 0 {
		at = earliest(now, at, w.landAt)
	}
	if len(w.queue) > 0 || w.series != nil {
		at = earliest(now, at, w.earnAt, w.dropAt)
	}
	if !at.IsZero() && !at.Equal(w.wakeAt) {
		w.wakeAt = at
		w.emit(Wake{at})
	}
}

// earliest returns the first of the instants that lie after now; zero if none.
func earliest(now time.Time, instants ...time.Time) time.Time {
	var at time.Time
	for _, t := range instants {
		if t.After(now) && (at.IsZero() || t.Before(at)) {
			at = t
		}
	}
	return at
}

func (w *Writer) emit(o Output) { w.out = append(w.out, o) }
