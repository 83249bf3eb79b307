package claim

import (
	"errors"
	"strconv"
	"time"

	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

const (
	// appendInterval is the minimum mean time between two appends of one range,
	// so that all ranges together make fewer than 60 appends a second.
	appendInterval = 145 * time.Millisecond
	// appendBurst is the number of appends that may follow the first append
	// after an idle period without delay, so that a single claim does not wait.
	appendBurst = 4
	// maxBatchEntries is the maximum number of entries in one record.
	maxBatchEntries = 400
	// maxPending is the maximum number of claim requests that wait in one writer.
	maxPending = 4096
	// maxKeys is the maximum number of keys that one range holds.
	maxKeys = 300_000
	// readRetryDelay is the delay before a retry after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// confirmTimeout is the time after which the entries of a successful append
	// that has not been read back are appended again.
	confirmTimeout = time.Second
	// dropInterval is the time between two scans of the queue for expired claim
	// requests.
	dropInterval = 100 * time.Millisecond
	// idleTimeout is how long the state of a range is retained after its last
	// use.
	idleTimeout = time.Minute
	// maxClockSkew is the difference allowed between the clocks of two routers.
	maxClockSkew = time.Second
)

// WriterInput is an event that a Writer processes.
type WriterInput interface{ writerInput() }

// RequestReceived delivers a claim request from a claimant.
type RequestReceived struct {
	From    view.RouterID
	Request Request
}

// Records delivers records in the order of the log. Next is the end of the log:
// the offset of the next record to be appended when the log answered.
type Records struct {
	Records []claim.Record
	Next    uint64
}

// OffsetTrimmed reports that the log no longer holds the offset that was read.
// Oldest is the oldest offset that it holds.
type OffsetTrimmed struct{ Oldest uint64 }

// ReadFailed reports that a read failed.
type ReadFailed struct{}

// Appended reports that an append has taken effect.
type Appended struct {
	Token  uint64
	Offset uint64
}

// AppendFailed reports that the result of an append is unknown: it may have
// taken effect, or may still take effect later.
type AppendFailed struct{ Token uint64 }

// Ownership reports whether this router owns the range. An owner reads the
// stream continuously, so that it can serve a claim at once.
type Ownership struct{ Owned bool }

// WriterAlarm reports that the instant of the last Wake has come.
type WriterAlarm struct{}

func (RequestReceived) writerInput() {}
func (Records) writerInput()         {}
func (OffsetTrimmed) writerInput()   {}
func (ReadFailed) writerInput()      {}
func (Appended) writerInput()        {}
func (AppendFailed) writerInput()    {}
func (Ownership) writerInput()       {}
func (WriterAlarm) writerInput()     {}

// pending is a claim request that has no verdict yet.
type pending struct {
	request Request
	from    view.RouterID
}

// Writer appends the claims of one key range to the log and answers them with
// verdicts. It is not safe for concurrent use.
type Writer struct {
	keyRange  int
	retention time.Duration
	fold      *claim.Fold
	// blocked is set once the stream contains a record in a format that this
	// program cannot read.
	blocked  bool
	owned    bool
	unloadAt time.Time

	// reading is set while a Read is in flight. logEnd is the highest known
	// next offset of the log; it is valid once logEndKnown is set.
	reading     bool
	logEndKnown bool
	logEnd      uint64
	readAt      time.Time

	// byID holds every claim request without a verdict. queue holds the claim
	// requests that are in no append, and inAppend those of the last append.
	byID     map[requestKey]*pending
	queue    []*pending
	inAppend []*pending
	dropAt   time.Time

	// appending is set while the append with this token is in flight.
	// unconfirmedEnd is the offset after an append that has taken effect, until
	// its record is read back or confirmDeadline passes; zero if there is none.
	appending           bool
	token               uint64
	unconfirmedEnd      uint64
	confirmDeadline     time.Time
	nextAppendAt        time.Time
	appendHasCheckpoint bool

	checkpoint       *checkpoint
	nextCheckpointAt time.Time
	barAt            time.Time
	wakeAt           time.Time
	out              []Output
}

type requestKey struct {
	id      claim.ID
	release bool
}

// NewWriter returns the writer of a key range. The retention is how long the
// platform's log holds a record. The writer regularly appends the live claims
// again, so that the retention may be shorter than the lifetime of a key.
func NewWriter(keyRange int, retention time.Duration) *Writer {
	return &Writer{
		keyRange: keyRange, retention: retention,
		fold: claim.NewFold(0), byID: map[requestKey]*pending{},
	}
}

// Ready reports whether the writer has read the stream to its end and its fold
// is loaded, so that it can decide claims.
func (w *Writer) Ready() bool {
	return !w.blocked && w.fold.Loaded() && w.logEndKnown && w.fold.Next() >= w.logEnd
}

// Step processes one input at the given instant and returns the outputs to
// carry out, in order.
func (w *Writer) Step(now time.Time, in WriterInput) []Output {
	w.out = w.out[:0]
	switch in := in.(type) {
	case RequestReceived:
		w.requestReceived(now, in)
	case Ownership:
		w.owned = in.Owned
	case Records:
		w.records(now, in)
	case OffsetTrimmed:
		w.offsetTrimmed(in.Oldest)
	case ReadFailed:
		w.reading = false
		w.readAt = now.Add(readRetryDelay)
	case Appended:
		w.appended(now, in)
	case AppendFailed:
		w.appendFailed(in)
	case WriterAlarm:
		w.wakeAt = time.Time{}
	}
	w.advance(now)
	return w.out
}

func (w *Writer) requestReceived(now time.Time, in RequestReceived) {
	key := requestKey{in.Request.Claim.ID, in.Request.Release}
	if p, ok := w.byID[key]; ok {
		p.from, p.request.Deadline = in.From, in.Request.Deadline
		return
	}
	if s, ok := w.resultFromLog(now, &in.Request); ok {
		w.emit(SendVerdict{in.From, Verdict{s}})
		return
	}
	full := w.fold.Len()+len(w.byID) >= maxKeys && !in.Request.Release
	if full || len(w.byID) >= maxPending || w.blocked {
		w.emit(SendVerdict{in.From, Verdict{claim.Result{Claim: in.Request.Claim.ID, Verdict: claim.VerdictBusy}}})
		return
	}
	if in.Request.Release {
		delete(w.byID, requestKey{in.Request.Claim.ID, false})
	}
	p := &pending{request: in.Request, from: in.From}
	w.byID[key] = p
	w.queue = append(w.queue, p)
}

// resultFromLog returns the result of a claim if the records read so far decide
// it without an append. A winner that the log has decided remains the winner; a
// result that later records may change needs an append.
func (w *Writer) resultFromLog(now time.Time, a *Request) (claim.Result, bool) {
	if !w.fold.Loaded() {
		return claim.Result{}, false
	}
	if a.Release {
		return claim.Result{Claim: a.Claim.ID, Verdict: claim.VerdictReleased}, w.fold.IsVoid(a.Claim.ID)
	}
	s := w.fold.Result(&a.Claim)
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
	w.reading, w.logEndKnown = false, true
	loaded := w.fold.Loaded()
	if !loaded && len(in.Records) == 0 && w.allExpired(in.Next) {
		w.fold, w.checkpoint = claim.NewEmptyFold(in.Next), nil
	}
	for i := range in.Records {
		r := &in.Records[i]
		if r.Offset < w.fold.Next() {
			continue
		}
		results, err := w.fold.Apply(*r)
		if err != nil {
			w.recordUnreadable(now, err)
			return
		}
		if len(results) > 0 {
			w.answerDecided(results, r.Batch.Entries)
		}
	}
	w.logEnd = max(w.logEnd, in.Next, w.fold.Next())
	if !loaded && w.fold.Loaded() {
		w.answerFromLog(now)
	}
	w.confirmAppend()
}

// answerDecided answers the claim requests whose entries have just been read
// back.
func (w *Writer) answerDecided(results []claim.Result, entries []claim.Entry) {
	at := 0
	for i := range entries {
		kind := entries[i].Kind
		if kind != claim.KindClaim && kind != claim.KindRelease {
			continue
		}
		s := results[at]
		at++
		key := requestKey{s.Claim, kind == claim.KindRelease}
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

// offsetTrimmed starts again with the oldest record in the log. The records in
// between are lost, so the new fold gives no results until a checkpoint has
// restored the state.
func (w *Writer) offsetTrimmed(oldest uint64) {
	w.reading = false
	w.emit(Decision{"ClaimsHole", []string{
		"Range", strconv.Itoa(w.keyRange), "Wanted", strconv.FormatUint(w.fold.Next(), 10),
		"Oldest", strconv.FormatUint(oldest, 10),
	}})
	w.fold = claim.NewFold(oldest)
	w.checkpoint = nil
	w.logEnd = max(w.logEnd, oldest)
}

func (w *Writer) recordUnreadable(now time.Time, err error) {
	w.readAt = now.Add(readRetryDelay)
	w.blocked = errors.Is(err, claim.ErrUnsupportedVersion)
	w.emit(Decision{"ClaimsUnreadable", []string{"Range", strconv.Itoa(w.keyRange), "Error", err.Error()}})
}

// isPending reports whether the claim request still waits for its verdict.
func (w *Writer) isPending(p *pending) bool {
	return w.byID[requestKey{p.request.Claim.ID, p.request.Release}] == p
}

// advance starts the appends and reads that are due and requests a Wake for the
// next instant at which something is due.
func (w *Writer) advance(now time.Time) {
	if w.unconfirmedEnd > 0 && !now.Before(w.confirmDeadline) {
		w.requeuePending()
	}
	w.dropExpired(now)
	w.unloadIfIdle(now)
	w.startCheckpoint(now)
	w.barIfStateLost(now)
	w.appendNext(now)
	w.readNext(now)
	w.wake(now)
}

// unloadIfIdle drops the state of the range when this router has neither owned
// the range nor had a claim request for it for idleTimeout.
func (w *Writer) unloadIfIdle(now time.Time) {
	if w.inUse() {
		w.unloadAt = now.Add(idleTimeout)
		return
	}
	if w.fold.Len() > 0 && !w.reading && now.After(w.unloadAt) {
		w.fold, w.logEndKnown, w.checkpoint = claim.NewFold(0), false, nil
	}
}

func (w *Writer) inUse() bool {
	return w.owned || len(w.byID) > 0 || w.appending || w.unconfirmedEnd > 0
}

// answerFromLog answers the claim requests that arrived before the log was
// read, if the log alone decides them.
func (w *Writer) answerFromLog(now time.Time) {
	for _, p := range w.queue {
		if !w.isPending(p) {
			continue
		}
		if s, ok := w.resultFromLog(now, &p.request); ok {
			delete(w.byID, requestKey{p.request.Claim.ID, p.request.Release})
			w.emit(SendVerdict{p.from, Verdict{s}})
		}
	}
}

func (w *Writer) readNext(now time.Time) {
	if w.reading || w.blocked || !w.inUse() || now.Before(w.readAt) {
		return
	}
	w.reading = true
	w.emit(Read{Range: w.keyRange, From: w.fold.Next(), Wait: w.logEndKnown && w.fold.Next() >= w.logEnd})
}

func (w *Writer) wake(now time.Time) {
	at := earliest(now, w.nextCheckpointAt, w.barAt)
	if !w.reading {
		at = earliest(now, at, w.readAt)
	}
	if w.unconfirmedEnd > 0 {
		at = earliest(now, at, w.confirmDeadline)
	}
	if len(w.queue) > 0 || w.checkpoint != nil {
		at = earliest(now, at, w.nextAppendAt, w.dropAt)
	}
	if !at.IsZero() && !at.Equal(w.wakeAt) {
		w.wakeAt = at
		w.emit(Wake{at})
	}
}

// earliest returns the first of the instants that lie after now, or zero if
// there is none.
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
