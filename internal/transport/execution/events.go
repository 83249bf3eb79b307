package execution

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/transport/memory"
)

const (
	// maxEventBytes bounds the size of an event of a stream.
	maxEventBytes = 256 << 10
	// maxEventIDBytes bounds the ID of an event, which is kept, logged and sent to the
	// endpoint that continues the stream.
	maxEventIDBytes = 4 << 10
	// freeEventBytes is the size of the buffer of a stream that counts towards no limit.
	freeEventBytes = 2 * copyBytes
	// reportInterval is the minimum time between two progress reports on a
	// stream.
	reportInterval = 100 * time.Millisecond
)

var (
	errEventTooLong   = errors.New("an event of the stream is too long")
	errEventIDTooLong = errors.New("the ID of an event of the stream is too long")
	errEventTruncated = errors.New("the stream ended inside an event")
	errHeadInStream   = errors.New("the stream holds the head of another answer")
)

// eventBuffer buffers the bytes of a stream until they form whole events.
type eventBuffer struct {
	buffered []byte
	// end is the end of the last whole event in the buffer.
	end int
	// checked is the size of the whole events at its beginning that have been examined
	// and are held back, since they are comments only.
	checked int
	// holding accounts for the memory of the buffer.
	holding memory.Holding
}

// add appends part and returns all whole events in the buffer; nil if part completes none,
// unless the stream has ended with it. The returned slice is valid until the next call of a
// method.
func (b *eventBuffer) add(part []byte, ended bool) ([]byte, error) {
	from := len(b.buffered)
	if err := b.grow(len(b.buffered) + len(part)); err != nil {
		return nil, err
	}
	b.buffered = append(b.buffered, part...)
	size := wholeEventsSize(b.buffered, from)
	b.end = max(b.end, size)
	switch {
	case size > 0 || ended && b.end > 0:
		return b.buffered[:b.end], nil
	case b.end == 0 && len(b.buffered) > maxEventBytes:
		return nil, errEventTooLong
	}
	return nil, nil
}

// headStart begins the head of an answer, and no line of an event.
var headStart = []byte("HTTP/1.")

// beforeHead returns the events before the first one with a line that begins the head of
// an answer. Where the body has neither a length nor chunks, an endpoint that writes
// another answer on its connection writes it into the stream.
func beforeHead(events []byte) ([]byte, error) {
	for offset := 0; ; {
		i := bytes.Index(events[offset:], headStart)
		if i < 0 {
			return events, nil
		}
		offset += i
		if offset == 0 || events[offset-1] == '\n' || events[offset-1] == '\r' {
			return events[:wholeEventsSize(events[:offset], 0)], errHeadInStream
		}
		offset += len(headStart)
	}
}

// beforeLongID returns the events before the first one whose ID is too long.
func beforeLongID(events []byte) ([]byte, error) {
	if len(events) <= maxEventIDBytes {
		return events, nil
	}
	size := 0
	for event := range eventsOf(events) {
		if len(event) > maxEventIDBytes {
			if id, _ := readEvent(event); len(id) > maxEventIDBytes {
				return events[:size], errEventIDTooLong
			}
		}
		size += len(event)
	}
	return events, nil
}

// grow makes room for size bytes in the buffer.
func (b *eventBuffer) grow(size int) error {
	if size <= cap(b.buffered) {
		return nil
	}
	capacity := max(size, 2*cap(b.buffered))
	if err := b.holding.Resize(int64(capacity)); err != nil {
		return fmt.Errorf("read an event of the stream: %w", err)
	}
	b.buffered = append(make([]byte, 0, capacity), b.buffered...)
	return nil
}

// discard removes the first n bytes from the buffer. It returns the memory that only a
// large event needs.
func (b *eventBuffer) discard(n int) {
	b.end, b.checked = max(b.end-n, 0), 0
	rest := b.buffered[n:]
	if cap(b.buffered) <= freeEventBytes || len(rest) > copyBytes {
		b.buffered = b.buffered[:copy(b.buffered, rest)]
		return
	}
	b.buffered = append(make([]byte, 0, copyBytes), rest...)
	b.holding.Release()
}

// copyEvents forwards whole events to the caller as they arrive. It sends the
// head of the answer, and comments before the first event, only with that event,
// so that a stream that breaks off earlier can still be retried at another endpoint. A stream that is
// resumed at another endpoint retains the head that was sent first; see continuation.
func (r *Runner) copyEvents(ctx context.Context, answer Answer, reporter *streamReporter, watch *silenceWatch, out *sinkTracker, p *progress) error {
	pooled := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(pooled)
	buffer := eventBuffer{holding: r.AnswerMemory.NewHolding(freeEventBytes)}
	defer buffer.holding.Release()
	joint, err := newContinuation(out, answer, p)
	if err != nil {
		return err
	}
	for {
		n, readErr := answer.Read(pooled[:])
		if n > 0 {
			reporter.dataReceived(time.Now())
		}
		whole, err := buffer.add(pooled[:n], readErr != nil)
		if err != nil {
			return err
		}
		held := min(buffer.checked, len(whole))
		added, foreign := beforeHead(whole[held:])
		added, long := beforeLongID(added)
		foreign = errors.Join(foreign, long)
		complete := errors.Is(readErr, io.EOF) && foreign == nil
		added, invalid := joint.valid(added, complete)
		ids := readEventIDs(added)
		events := whole[:held+len(added)]
		if err := watch.eventsArrived(ids.count, complete); err != nil {
			return err
		}
		forward := len(events) > 0 && (joint.mayForward(out.started) || ids.count > 0 || complete && joint == nil)
		switch {
		case forward:
			if err := forwardEvents(ctx, out, answer, events, complete); err != nil {
				return err
			}
			buffer.discard(len(events))
			p.received(ids)
			reporter.eventsForwarded(p.events)
			if ids.count > 0 && readErr == nil {
				watch.resume(p, out.started)
				r.awaitMoreEvents(ctx, reporter, p.call.MaxSilence)
			}
		case len(buffer.buffered) > maxEventBytes:
			return errEventTooLong
		default:
			buffer.checked = max(buffer.checked, len(events))
		}
		if err := errors.Join(invalid, foreign); err != nil {
			return err
		}
		if ended, err := endStream(ctx, out, answer, &buffer, joint, readErr); ended {
			return err
		}
	}
}

// awaitMoreEvents delays the next read of a stream by the time that Runner.ReadInterval
// states, so that one read and one write forward several events. The caller's leaving ends
// the delay. It takes at most half of the silence after which another endpoint is sought:
// an endpoint whose events have not been read must not count as silent.
func (r *Runner) awaitMoreEvents(ctx context.Context, reporter *streamReporter, maxSilence time.Duration) {
	reporter.delayed = false
	if r.ReadInterval == nil {
		return
	}
	interval := r.ReadInterval()
	if maxSilence > 0 {
		interval = min(interval, maxSilence/2)
	}
	if interval <= 0 {
		return
	}
	delay := interval - time.Since(reporter.lastReceived)
	if delay <= 0 {
		return
	}
	reporter.delayed = true
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endStream ends the answer if the last read has ended the stream, or the call has
// ended, and reports whether that is so.
func endStream(ctx context.Context, out *sinkTracker, answer Answer, buffer *eventBuffer, joint *continuation, readErr error) (ended bool, err error) {
	switch {
	case errors.Is(readErr, io.EOF):
		if err := joint.end(); err != nil {
			return true, err
		}
		return true, endEvents(out, answer, buffer)
	case readErr != nil:
		return true, readErr
	case ctx.Err() != nil:
		return true, context.Cause(ctx)
	}
	return false, nil
}

// forwardEvents writes events to the caller. It begins no answer of a call that has ended,
// unless that is complete: it would be cut, and the caller can still get a failure.
func forwardEvents(ctx context.Context, out *sinkTracker, answer Answer, events []byte, complete bool) error {
	if ctx.Err() != nil && !out.started && !complete {
		return context.Cause(ctx)
	}
	if err := ensureBegun(out, answer); err != nil {
		return err
	}
	if _, err := out.Write(events); err != nil {
		return &sinkError{fmt.Errorf("write events to the caller: %w", err)}
	}
	return nil
}

func ensureBegun(out *sinkTracker, answer Answer) error {
	if out.started {
		return nil
	}
	if err := out.Begin(answer.Status(), answer.Header()); err != nil {
		return &sinkError{fmt.Errorf("begin the answer to the caller: %w", err)}
	}
	return nil
}

// endEvents ends the answer once the endpoint has ended its stream. It fails if
// the stream ends with an incomplete event.
func endEvents(out *sinkTracker, answer Answer, buffer *eventBuffer) error {
	if len(buffer.buffered) > 0 {
		return errEventTruncated
	}
	if err := ensureBegun(out, answer); err != nil {
		return err
	}
	return out.End()
}

// streamReporter reports the progress of a stream to the scheduler.
type streamReporter struct {
	scheduling   *Scheduling
	id           schedule.RequestID
	begin        time.Time
	lastReceived time.Time
	// firstEventAt is when the first event was forwarded; zero if none was.
	firstEventAt   time.Time
	reportedAt     time.Time
	longestPause   time.Duration
	reportedEvents int
	// delayed is set if the read of these events was delayed; see Runner.ReadInterval. The
	// times between them then say nothing about the endpoint.
	delayed bool
	// late is Runner.Late.
	late func() bool
	// survived is called once the endpoint has sent events for SurvivalTime, not counting
	// the longest pause since the first event; nil to call nothing.
	survived   func()
	worstPause time.Duration
}

func newStreamReporter(begin time.Time, s *Scheduling, id schedule.RequestID, late func() bool) *streamReporter {
	return &streamReporter{scheduling: s, id: id, begin: begin, late: late}
}

// dataReceived records that data arrived at the given time.
func (c *streamReporter) dataReceived(now time.Time) {
	if !c.lastReceived.IsZero() {
		c.longestPause = max(c.longestPause, now.Sub(c.lastReceived))
	}
	if !c.firstEventAt.IsZero() {
		c.worstPause = max(c.worstPause, now.Sub(c.lastReceived))
	}
	c.lastReceived = now
}

// eventsForwarded records the number of events forwarded so far, and reports to
// the scheduler at most once per reportInterval.
func (c *streamReporter) eventsForwarded(count int) {
	first := c.reportedAt.IsZero()
	if c.firstEventAt.IsZero() {
		c.firstEventAt = c.lastReceived
	}
	if c.survived != nil && c.lastReceived.Sub(c.firstEventAt)-c.worstPause >= SurvivalTime {
		c.survived()
		c.survived = nil
	}
	if !first && c.lastReceived.Sub(c.reportedAt) < reportInterval {
		return
	}
	report := schedule.Progress{ID: c.id, Service: float64(count - c.reportedEvents), LongestGap: c.longestPause}
	report.Late = c.delayed || c.late != nil && c.late()
	if n := count - c.reportedEvents; !first && n > 0 {
		report.EventInterval = c.lastReceived.Sub(c.reportedAt) / time.Duration(n)
	}
	if first {
		report.FirstToken = max(c.lastReceived.Sub(c.begin), 1)
	}
	c.reportedAt, c.reportedEvents, c.longestPause = c.lastReceived, count, 0
	c.scheduling.Input(report)
}
