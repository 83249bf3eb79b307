package execution

import (
	"bytes"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strconv"
)

var (
	errNoEvent       = errors.New("the stream that continues another one ended before its first event")
	errEventNoID     = errors.New("the stream that continues another one begins with an event without an ID")
	errEventRepeated = errors.New("the stream that continues another one repeats an event")
	errEventSkipped  = errors.New("the stream that continues another one skips an event")
)

// answerForm is the part of the head of an answer by which callers read its body.
type answerForm struct {
	status              int
	mediaType, encoding string
}

func formOf(status int, h http.Header) answerForm {
	f := answerForm{status: status, mediaType: h.Get("Content-Type"), encoding: h.Get("Content-Encoding")}
	if mediaType, _, err := mime.ParseMediaType(f.mediaType); err == nil {
		f.mediaType = mediaType
	}
	return f
}

// continuation checks the events of an answer with which an endpoint continues a
// stream that has begun at another one. Its methods accept everything if it is nil,
// which stands for an answer that continues none.
type continuation struct {
	progress *progress
	// begun is set once the first event has been accepted.
	begun bool
}

// newContinuation returns nil unless the stream has begun. It fails if the body of the
// answer can't be a part of the one that has begun.
func newContinuation(out *sinkTracker, answer Answer, p *progress) (*continuation, error) {
	if !out.started {
		return nil, nil
	}
	if form := formOf(answer.Status(), answer.Header()); form != out.form {
		return nil, fmt.Errorf("the stream that began as %v can't be continued with %v", out.form, form)
	}
	return &continuation{progress: p}, nil
}

// valid returns the events before the first one that can't follow those that the
// caller has received, and the reason. IDs rise in a stream, so one that does not is a
// repetition. The first event must be the next one if all IDs so far rose by one. If
// the caller has received one event only, the step to the second event of the
// continuation shows whether they rise by one; until that has arrived, or the answer is
// complete, events after a gap are not returned.
func (c *continuation) valid(events []byte, complete bool) ([]byte, error) {
	if c == nil {
		return events, nil
	}
	last, size := c.progress.lastEvent, 0
	for event := range eventsOf(events) {
		id, isEvent := readEvent(event)
		if isEvent {
			if err := c.follows(last, id); err != nil {
				return events[:size], fmt.Errorf("event %q after %q: %w", id, last, err)
			}
			if c.gapUnexplained(last, id) {
				switch next := readEventIDs(events[size+len(event):]).first; {
				case next == "" && !complete:
					return events[:size], nil
				case isNext(id, next):
					return events[:size], fmt.Errorf("event %q after %q and before %q: %w", id, last, next, errEventSkipped)
				}
			}
			c.begun = true
		}
		if id != "" {
			last = id
		}
		size += len(event)
	}
	return events, nil
}

func (c *continuation) follows(last, id string) error {
	if id == "" {
		if c.begun {
			return nil
		}
		return errEventNoID
	}
	before, after, ok := parseIDs(last, id)
	switch {
	case id == last, ok && after <= before:
		return errEventRepeated
	case ok && !c.begun && c.progress.steps.consecutive() && after != before+1:
		return errEventSkipped
	}
	return nil
}

// gapUnexplained reports whether the first event is not the one after the last, and it is
// not known whether IDs rise by one.
func (c *continuation) gapUnexplained(last, id string) bool {
	_, _, ok := parseIDs(last, id)
	return ok && !c.begun && c.progress.steps == (idSteps{}) && !isNext(last, id)
}

// isNext reports whether both IDs are numbers and the second is one above the first.
func isNext(id, next string) bool {
	before, after, ok := parseIDs(id, next)
	return ok && after == before+1
}

// mayForward reports whether bytes that hold no event may be forwarded. Before the
// first event of a continuation it is not known whether they belong to the stream.
func (c *continuation) mayForward(started bool) bool {
	if c == nil {
		return started
	}
	return c.begun
}

// end returns an error if the end of the answer is not certain to be that of the
// stream. An endpoint may answer so after the last event, but also if it
// knows nothing of the stream; a caller that resumes the stream itself gets its answer.
func (c *continuation) end() error {
	if c == nil || c.begun {
		return nil
	}
	return errNoEvent
}

// idSteps records whether the IDs of the events of a stream rose by one.
type idSteps struct {
	// ones is the number of steps of one, and others is set after a step that was
	// not.
	ones   int
	others bool
}

// add records the steps from the event with the ID last over the events.
func (s *idSteps) add(last string, e eventIDs) {
	if e.count == 0 {
		return
	}
	if last != "" {
		s.addStep(last, e.first, 1)
	}
	if e.count > 1 {
		s.addStep(e.first, e.last, e.count-1)
	}
}

func (s *idSteps) addStep(from, to string, events int) {
	if before, after, ok := parseIDs(from, to); ok && after > before && after-before == uint64(events) {
		s.ones += events
		return
	}
	s.others = true
}

// consecutive reports whether all IDs rose by one.
func (s *idSteps) consecutive() bool { return s.ones > 0 && !s.others }

func parseIDs(before, after string) (b, a uint64, ok bool) {
	b, beforeErr := strconv.ParseUint(before, 10, 64)
	a, afterErr := strconv.ParseUint(after, 10, 64)
	return b, a, beforeErr == nil && afterErr == nil
}

// eventIDs are the IDs of the first and the last event that have one, and the number
// of events.
type eventIDs struct {
	first, last string
	count       int
}

var idField, retryField = []byte("id:"), []byte("retry:")

// readEventIDs reads the IDs of whole events. Comments and empty lines alone are no
// event.
func readEventIDs(events []byte) eventIDs {
	var e eventIDs
	for event := range eventsOf(events) {
		id, isEvent := readEvent(event)
		if isEvent {
			e.count++
		}
		if id != "" {
			e.last = id
			if e.first == "" {
				e.first = id
			}
		}
	}
	return e
}

// readEvent returns the ID of an event, empty if it has none, and whether it is one:
// comments, and the time after which callers are to connect again, are none.
func readEvent(event []byte) (id string, isEvent bool) {
	for line := range lines(event) {
		isEvent = isEvent || len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, retryField)
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, isEvent
}
