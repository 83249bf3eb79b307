package execution

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 256 << 10
	// reportInterval is the least time between two reports on a stream.
	reportInterval = 100 * time.Millisecond
)

var (
	errEventTooLong = errors.New("an event of the stream is too long")
	errEventCut     = errors.New("the stream ended inside an event")
)

// eventBuffer gathers the bytes of a stream and gives out whole events.
type eventBuffer struct{ held []byte }

// take adds bytes and returns the whole events so far, which stay valid until
// the next call.
func (b *eventBuffer) take(part []byte) ([]byte, error) {
	b.held = append(b.held, part...)
	end := bytes.LastIndex(b.held, eventEnd)
	if end < 0 {
		if len(b.held) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	return b.held[:end+len(eventEnd)], nil
}

// drop forgets what has been given out.
func (b *eventBuffer) drop(n int) { b.held = b.held[:copy(b.held, b.held[n:])] }

var idField = []byte("id:")

// lastEventID returns the id of the last event that has one, and the number of
// events.
func lastEventID(events []byte) (id string, count int) {
	for event := range bytes.SplitSeq(events, eventEnd) {
		if len(event) == 0 {
			continue
		}
		count++
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, idField); ok {
				id = string(bytes.TrimSpace(value))
			}
		}
	}
	return id, count
}

// copyEvents passes whole events on as they come. The head is held back until
// the first of them, so that a stream that breaks before can still be tried
// elsewhere; a stream that goes on elsewhere keeps its first head.
func (r *Runner) copyEvents(ctx context.Context, answer Answer, pace *pace, watch *watchdog, out *begun, p *progress) error {
	pooled := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(pooled)
	var held eventBuffer
	for {
		n, readErr := answer.Read(pooled[:])
		if n > 0 {
			watch.heard()
			pace.part(time.Now())
		}
		events, err := held.take(pooled[:n])
		if err != nil {
			return err
		}
		if len(events) > 0 {
			if err := passEvents(out, answer, events, p); err != nil {
				return err
			}
			pace.events(p.events)
			held.drop(len(events))
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return endEvents(out, answer, &held)
		case readErr != nil:
			return readErr
		case ctx.Err() != nil:
			return context.Cause(ctx)
		}
	}
}

func passEvents(out *begun, answer Answer, events []byte, p *progress) error {
	if err := beginOnce(out, answer); err != nil {
		return err
	}
	if _, err := out.Write(events); err != nil {
		return &sinkError{fmt.Errorf("write events to the caller: %w", err)}
	}
	last, count := lastEventID(events)
	if last != "" {
		p.lastEvent = last
	}
	p.events += count
	return nil
}

func beginOnce(out *begun, answer Answer) error {
	if out.started {
		return nil
	}
	if err := out.Begin(answer.Status(), answer.Header()); err != nil {
		return &sinkError{fmt.Errorf("begin the answer to the caller: %w", err)}
	}
	return nil
}

// endEvents ends a stream whose endpoint has ended it.
func endEvents(out *begun, answer Answer, held *eventBuffer) error {
	if len(held.held) > 0 {
		return errEventCut
	}
	if err := beginOnce(out, answer); err != nil {
		return err
	}
	return out.End()
}

// pace reports to the scheduler how a stream comes.
type pace struct {
	scheduling *Scheduling
	id         schedule.RequestID
	begin      time.Time
	lastPart   time.Time
	reportedAt time.Time
	longest    time.Duration
	reported   int
}

func newPace(begin time.Time, s *Scheduling, id schedule.RequestID) *pace {
	return &pace{scheduling: s, id: id, begin: begin}
}

// part notes that bytes have come.
func (c *pace) part(now time.Time) {
	if !c.lastPart.IsZero() {
		c.longest = max(c.longest, now.Sub(c.lastPart))
	}
	c.lastPart = now
}

// events notes how many events have come and reports from time to time.
func (c *pace) events(count int) {
	first := c.reportedAt.IsZero()
	if !first && c.lastPart.Sub(c.reportedAt) < reportInterval {
		return
	}
	report := schedule.Progress{ID: c.id, Service: float64(count - c.reported), LongestGap: c.longest}
	if n := count - c.reported; !first && n > 0 {
		report.EventInterval = c.lastPart.Sub(c.reportedAt) / time.Duration(n)
	}
	if first {
		report.FirstToken = max(c.lastPart.Sub(c.begin), 1)
	}
	c.reportedAt, c.reported, c.longest = c.lastPart, count, 0
	c.scheduling.Input(report)
}
