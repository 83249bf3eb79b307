package execution

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lineEnds are the ends of lines that the event-stream format allows.
var lineEnds = map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"}

func withLineEnds(s, end string) string { return strings.ReplaceAll(s, "\n", end) }

// TestEventsWithEachLineEnd guards against streams whose events are not recognised because
// their lines do not end with LF: they ended as broken, and were not resumed. A CR and its
// LF may arrive in different reads.
func TestEventsWithEachLineEnd(t *testing.T) {
	for name, end := range lineEnds {
		t.Run(name, func(t *testing.T) {
			first, second, rest := withLineEnds(event1+": c\n\n"+event2, end), withLineEnds(event3, end), withLineEnds(event4+event5, end)
			for split := 1; split < len(first); split++ {
				is := is.New(t)
				sink, backend, err := runContinuations(t, 2,
					eventStream(errReset, first[:split], first[split:]+second[:7]), eventStream(nil, second+rest[:split%len(rest)], rest[split%len(rest):]))
				is.NoErr(err)
				is.True(sink.complete)
				is.Equal(sink.String(), first+second+rest)
				is.Equal(backend.lastEvents, []string{"", "2"})
			}
			is := is.New(t)
			sink, _, err := runContinuations(t, 1, eventStream(nil, strings.Split(first+second, "")...))
			is.NoErr(err)
			is.Equal(sink.String(), first+second)
			sink, _, err = runContinuations(t, 1, eventStream(nil, first, second[:len(second)-len(end)]))
			is.True(err != nil) // it ends inside an event
			is.Equal(sink.String(), first)
			sink, _, err = runContinuations(t, 1, eventStream(nil, first+"HTTP/1.1 200 OK\r\n\r\n"))
			is.True(err != nil) // another answer
			is.Equal(sink.String(), first)
		})
	}
}

// FuzzLineEnds guards against a stream whose events depend on the form of its line ends, or
// on how they are split between reads.
func FuzzLineEnds(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n: c\n\n\nid: 2\ndata: b\n\nid", uint(5))
	f.Add("\n\ndata\n\n", uint(2))
	f.Add("data: a\rb\r\n\r\n\r", uint(12))
	f.Add("\r\r\n\n\r\n", uint(1))
	f.Fuzz(func(t *testing.T, stream string, split uint) {
		count := func(parts ...string) (count int) {
			m := newMeter(true, true, time.Time{})
			for _, part := range parts {
				count += m.countEvents([]byte(part))
			}
			return count
		}
		at := int(split % uint(len(stream)+1))
		if got, want := count(stream[:at], stream[at:]), count(stream); got != want {
			t.Errorf("%d events in two parts, %d in one", got, want)
		}
		size := wholeEventsSize([]byte(stream), 0)
		whole := ""
		for event := range eventsOf([]byte(stream[:size])) {
			whole += string(event)
			if wholeEventsSize(event, 0) != len(event) {
				t.Errorf("event %q of %q is not whole", event, stream)
			}
		}
		if whole != stream[:size] {
			t.Errorf("events are %q, not %q", whole, stream[:size])
		}
		if strings.Contains(stream, "\r") {
			return
		}
		if i := strings.LastIndex(stream, "\n\n"); i >= 0 && size != i+2 {
			t.Errorf("%d bytes of whole events in %q, want %d", size, stream, i+2)
		}
		for _, end := range lineEnds {
			other := withLineEnds(stream, end)
			if got, want := wholeEventsSize([]byte(other), 0), len(withLineEnds(stream[:size], end)); got != want {
				t.Errorf("%d bytes of whole events in %q, want %d", got, other, want)
			}
			if got, want := readEventIDs([]byte(other)), readEventIDs([]byte(stream)); got != want {
				t.Errorf("events %v in %q, want %v", got, other, want)
			}
			if got, want := count(other), count(stream); got != want {
				t.Errorf("%d events in %q, want %d", got, other, want)
			}
		}
	})
}
