package endpoint

import "bytes"

// maxLineBytes bounds the retained part of a line; only the beginning of a line
// is needed to recognise it.
const maxLineBytes = 64

// eventReader parses a stream of server-sent events without storing the stream.
// It counts the events that carry data and detects the final [DONE] event.
type eventReader struct {
	// count is the number of events with data, except the [DONE] event.
	count int
	// done is set once the complete [DONE] event has been read, and reset if
	// another event with data follows.
	done bool

	line []byte
	// hasData is set if the current event has a data field so far, and
	// isDoneEvent if its only data so far is [DONE].
	hasData     bool
	isDoneEvent bool
}

// write parses the next part of the stream, which may end anywhere.
func (r *eventReader) write(part []byte) {
	for len(part) > 0 {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			r.appendToLine(part)
			return
		}
		r.appendToLine(part[:end])
		r.endLine()
		part = part[end+1:]
	}
}

func (r *eventReader) appendToLine(part []byte) {
	remaining := max(0, maxLineBytes-len(r.line))
	r.line = append(r.line, part[:min(remaining, len(part))]...)
}

var (
	dataField = []byte("data:")
	doneValue = []byte("[DONE]")
)

// endLine evaluates a complete line; an empty line ends the current event.
func (r *eventReader) endLine() {
	line := bytes.TrimSuffix(r.line, []byte("\r"))
	r.line = r.line[:0]
	switch value, isData := bytes.CutPrefix(line, dataField); {
	case isData:
		r.isDoneEvent = !r.hasData && bytes.Equal(bytes.TrimPrefix(value, []byte(" ")), doneValue)
		r.hasData = true
	case len(line) == 0 && r.hasData:
		r.done = r.isDoneEvent
		if !r.isDoneEvent {
			r.count++
		}
		r.hasData, r.isDoneEvent = false, false
	}
}
