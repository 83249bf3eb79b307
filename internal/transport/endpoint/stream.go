package endpoint

import "bytes"

// maxLineBytes bounds what is kept of a line; only the beginning decides.
const maxLineBytes = 64

// eventReader follows a stream of server-sent events without keeping it. It
// counts the events that carry data and notes the one that says [DONE].
type eventReader struct {
	// count is the number of events with data, the last one excepted.
	count int
	// done is set once the last event has come whole.
	done bool

	line []byte
	// data and last tell what the current event has shown so far.
	data bool
	last bool
}

// write takes the next bytes of the stream, cut anywhere.
func (r *eventReader) write(part []byte) {
	for len(part) > 0 {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			r.keep(part)
			return
		}
		r.keep(part[:end])
		r.endLine()
		part = part[end+1:]
	}
}

func (r *eventReader) keep(part []byte) {
	room := max(0, maxLineBytes-len(r.line))
	r.line = append(r.line, part[:min(room, len(part))]...)
}

var (
	dataField = []byte("data:")
	doneValue = []byte("[DONE]")
)

// endLine judges a whole line; an empty one ends the event.
func (r *eventReader) endLine() {
	line := bytes.TrimSuffix(r.line, []byte("\r"))
	r.line = r.line[:0]
	switch value, isData := bytes.CutPrefix(line, dataField); {
	case isData:
		r.last = !r.data && bytes.Equal(bytes.TrimPrefix(value, []byte(" ")), doneValue)
		r.data = true
	case len(line) == 0 && r.data:
		r.done = r.last
		if !r.last {
			r.count++
		}
		r.data, r.last = false, false
	}
}
