package execution

import (
	"bytes"
	"iter"
)

// lineEnd returns the length of the first line, and that of the line with its end: LF, CR
// LF or CR. The latter is 0 if the line has not ended. A CR at the end of b ends the line;
// an LF that follows it then looks like an empty line.
func lineEnd(b []byte) (line, whole int) {
	line = bytes.IndexByte(b, '\n')
	if line < 0 {
		line = len(b)
	}
	if cr := bytes.IndexByte(b[:line], '\r'); cr >= 0 {
		if cr+1 == line && line < len(b) {
			return cr, cr + 2
		}
		return cr, cr + 1
	}
	if line == len(b) {
		return line, 0
	}
	return line, line + 1
}

// lines returns the lines of b without their ends.
func lines(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			line, whole := lineEnd(b)
			if !yield(b[:line]) || whole == 0 {
				return
			}
			b = b[whole:]
		}
	}
}

// eventsOf returns the events of b, each with the empty line that ends it, and then the
// rest if there is one. Further empty lines are events without a field.
func eventsOf(b []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(b) > 0 {
			size := firstEventSize(b)
			if !yield(b[:size]) {
				return
			}
			b = b[size:]
		}
	}
}

func firstEventSize(b []byte) int {
	for size := 0; size < len(b); {
		line, whole := lineEnd(b[size:])
		if whole == 0 {
			break
		}
		size += whole
		if line == 0 {
			return size
		}
	}
	return len(b)
}

// wholeEventsSize returns the length of all whole events of b, which begins with an event:
// that of b up to its last empty line. It is 0 if no empty line ends after the first
// searched bytes.
func wholeEventsSize(b []byte, searched int) int {
	for end := len(b); ; end-- {
		i := bytes.LastIndexAny(b[min(searched, end):end], "\r\n")
		if i < 0 {
			return 0
		}
		begin := searched + i
		end = begin + 1
		switch {
		case b[begin] == '\r' && end < len(b) && b[end] == '\n':
			continue // inside a CR LF
		case b[begin] == '\n' && begin > 0 && b[begin-1] == '\r':
			begin--
		}
		if begin == 0 || b[begin-1] == '\r' || b[begin-1] == '\n' {
			return end
		}
	}
}
