package trace

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds the length of one line of a log.
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
	// Source is the file of the line, followed by the text before its timestamp
	// if there is any.
	Source, Message string
	Fields          []Field
}

// Get returns the value of a key, or an empty string if the line lacks the key.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Mentions reports whether a value of the line is the subject, or begins with the
// subject and "#". An endpoint's id consists of the endpoint's key, "#" and the
// start time of its process, so that the key matches the endpoint across restarts.
func (l *Line) Mentions(subject string) bool {
	for _, f := range l.Fields {
		if f.Value == subject || strings.HasPrefix(f.Value, subject+"#") {
			return true
		}
	}
	return false
}

// Read calls visit with each line of the log and returns the number of lines
// that could not be parsed.
func Read(r io.Reader, source string, visit func(*Line)) (unparsed int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		text := lines.Text()
		at := strings.Index(text, fieldTime+"=")
		if at < 0 {
			if strings.TrimSpace(text) != "" {
				unparsed++
			}
			continue
		}
		l, ok := parseLine(text[at:])
		if !ok {
			unparsed++
			continue
		}
		l.Source = source
		if before := strings.TrimSpace(text[:at]); before != "" {
			l.Source += ": " + before
		}
		visit(l)
	}
	if err := lines.Err(); err != nil {
		return unparsed, fmt.Errorf("read log %s: %w", source, err)
	}
	return unparsed, nil
}

func parseLine(text string) (*Line, bool) {
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
