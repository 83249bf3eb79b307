package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

const (
	fieldTime    = "timestamp"
	fieldLevel   = "level"
	fieldMessage = "message"
)

// Field is a key and its value.
type Field struct{ Key, Value string }

// Line is one line of a log.
type Line struct {
	At time.Time
	// Source is where the line was read: its file, and what stood before its
	// timestamp.
	Source, Message string
	Fields          []Field
}

// Get returns the value of a key; empty if the line has none.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Names reports whether a value of the line is the subject, or begins with it
// as an endpoint's name does with its key.
func (l *Line) Names(subject string) bool {
	for _, f := range l.Fields {
		if f.Value == subject || strings.HasPrefix(f.Value, subject+"#") {
			return true
		}
	}
	return false
}

// read calls found with each line of the log and returns how many could not be
// read.
func read(r io.Reader, source string, found func(*Line)) (unread int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		at := strings.Index(text, fieldTime+"=")
		if at < 0 {
			if strings.TrimSpace(text) != "" {
				unread++
			}
			continue
		}
		l, ok := parse(text[at:])
		if !ok {
			unread++
			continue
		}
		l.Source = source
		if before := strings.TrimSpace(text[:at]); before != "" {
			l.Source += ": " + before
		}
		found(l)
	}
	if err := lines.Err(); err != nil {
		return unread, fmt.Errorf("read log %s: %w", source, err)
	}
	return unread, nil
}

func parse(text string) (*Line, bool) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	l := &Line{}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case fieldTime:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return nil, false
				}
				l.At = at
			case fieldLevel:
			case fieldMessage:
				l.Message = value
			default:
				l.Fields = append(l.Fields, Field{key, value})
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Message != ""
}
