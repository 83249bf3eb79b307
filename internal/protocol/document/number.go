package document

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// maxShown bounds the part of a malformed value that an error shows.
const maxShown = 40

// Millis is a time in milliseconds. Any JSON number is accepted, however large.
type Millis float64

// ParseMillis parses a time in milliseconds.
func ParseMillis(s string) (Millis, error) {
	value, err := parseNumber(s)
	if err != nil {
		return 0, fmt.Errorf("parse milliseconds %q: %w", s[:min(len(s), maxShown)], err)
	}
	return Millis(value), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Millis) UnmarshalJSON(data []byte) (err error) {
	*m, err = ParseMillis(string(data))
	return err
}

// Duration returns the time, the longest one if it is longer than that, and zero if it is
// negative.
func (m Millis) Duration() time.Duration {
	if m >= Millis(math.MaxInt64/time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(max(m, 0) * Millis(time.Millisecond))
}

// Unreadable is the value of a LooseNumber that is stated and no number from 0 on.
const Unreadable LooseNumber = -1

// LooseNumber is a number from 0 on. One of another type does not make the document
// unreadable.
type LooseNumber float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *LooseNumber) UnmarshalJSON(data []byte) error {
	value, err := parseNumber(string(data))
	if *n = LooseNumber(value); err != nil || value < 0 {
		*n = Unreadable
	}
	return nil
}

// Seconds returns the number as a time in seconds, bounded as a Duration is.
func (n LooseNumber) Seconds() time.Duration { return Millis(n * 1000).Duration() }

// parseNumber parses a number. One that is out of range is infinite.
func parseNumber(s string) (float64, error) {
	value, err := strconv.ParseFloat(s, 64)
	switch {
	case math.IsNaN(value):
		return 0, errNoNumber
	case err != nil && !math.IsInf(value, 0):
		return 0, errNoNumber
	default:
		return value, nil
	}
}
