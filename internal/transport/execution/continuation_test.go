package execution

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// partsAnswer is an answer whose reads return one part each.
type partsAnswer struct {
	status int
	header http.Header
	parts  []string
	// end is the error after the last part; nil stands for io.EOF.
	end error
}

func (a *partsAnswer) Status() int         { return a.status }
func (a *partsAnswer) Header() http.Header { return a.header }
func (a *partsAnswer) Close() error        { return nil }
func (a *partsAnswer) Read(p []byte) (int, error) {
	if len(a.parts) == 0 {
		if a.end == nil {
			return 0, io.EOF
		}
		return 0, a.end
	}
	n := copy(p, a.parts[0])
	if a.parts[0] = a.parts[0][n:]; a.parts[0] == "" {
		a.parts = a.parts[1:]
	}
	return n, nil
}

// partsBackend is a backend that plays one answer for each attempt, the last one as
// often as needed, and records the last event that each attempt states.
type partsBackend struct {
	answers    []*partsAnswer
	lastEvents []string
}

func (b *partsBackend) Send(_ context.Context, a *Attempt) (Answer, error) {
	b.lastEvents = append(b.lastEvents, a.LastEvent)
	answer := *b.answers[0]
	answer.parts = slices.Clone(answer.parts)
	if len(b.answers) > 1 {
		b.answers = b.answers[1:]
	}
	return &answer, nil
}

var errReset = errors.New("connection reset")

func eventStream(end error, parts ...string) *partsAnswer {
	return &partsAnswer{http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}}, parts, end}
}

func answerOfType(status int, mediaType string, parts ...string) *partsAnswer {
	return &partsAnswer{status, http.Header{"Content-Type": {mediaType}}, parts, nil}
}

const (
	event1, event2, event3, event4, event5 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n", "id: 5\ndata: e\n\n"
)

// runContinuations runs a stream that may be continued and returns what the caller
// got.
func runContinuations(t *testing.T, attempts int, answers ...*partsAnswer) (sink *recordingSink, backend *partsBackend, err error) {
	backend = &partsBackend{answers: answers}
	call := testCall(true)
	call.Events, call.Stream, call.Resumable, call.MaxAttempts, call.AttemptID = true, true, true, attempts, "fixed"
	sink = &recordingSink{}
	err = newTestRunner(t, backend).Run(t.Context(), call, sink)
	return sink, backend, err
}

// TestStreamContinuesOnlyWithItsOwnEvents guards against a stream that holds the text
// of an error, or ends as if it were complete, because the endpoint at which it was
// to be continued answered with something else.
func TestStreamContinuesOnlyWithItsOwnEvents(t *testing.T) {
	encoded := eventStream(nil, event3, event4)
	encoded.header.Set("Content-Encoding", "gzip")
	for name, wrong := range map[string]*partsAnswer{
		"server error":             answerOfType(http.StatusInternalServerError, "text/plain", "broken\n\n"),
		"unavailable":              answerOfType(http.StatusServiceUnavailable, "text/event-stream", event3),
		"redirect":                 answerOfType(http.StatusFound, "text/event-stream", event3),
		"another success":          answerOfType(http.StatusAccepted, "text/event-stream", event3),
		"no content":               answerOfType(http.StatusNoContent, "text/event-stream"),
		"JSON":                     answerOfType(http.StatusOK, "application/json", `{"error":"broken"}`),
		"JSON with an empty line":  answerOfType(http.StatusOK, "application/json", "{\"error\":\n\n\"broken\"}\n\n"),
		"page with an empty line":  answerOfType(http.StatusOK, "text/html", "<h1>broken</h1>\n\n", "id: 3\n\n"),
		"no type":                  {http.StatusOK, http.Header{}, []string{event3}, nil},
		"encoded":                  encoded,
		"empty":                    eventStream(nil),
		"empty lines":              eventStream(nil, "\n\n", "\n\n"),
		"comments":                 eventStream(nil, ": broken\n\n"),
		"text as events":           eventStream(nil, "broken\n\n"),
		"text and an event":        eventStream(nil, "broken\n\n"+event3),
		"head as events":           eventStream(nil, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\n\nbroken"),
		"event without ID":         eventStream(nil, "event: error\ndata: broken\n\n"),
		"begins again":             eventStream(nil, event1, event2, event3),
		"last event again":         eventStream(nil, event2, event3),
		"last event again at once": eventStream(nil, event2+event3),
		"skips an event":           eventStream(nil, event4),
		"inside an event":          eventStream(nil, event3[:6]),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			again := *wrong
			again.parts = strings.SplitAfter(strings.Join(wrong.parts, ""), "\n\n")
			sink, backend, err := runContinuations(t, 3, eventStream(errReset, event1, event2+event3[:4]), wrong, eventStream(nil, event3, event4))
			is.NoErr(err)
			is.True(sink.complete)
			is.Equal(sink.String(), event1+event2+event3+event4)
			is.Equal(backend.lastEvents, []string{"", "2", "2"})
			sink, backend, err = runContinuations(t, 2, eventStream(errReset, event1, event2+event3[:4]), &again)
			var broken *BrokenError
			is.True(errors.As(err, &broken))
			sent, cause := 2, CauseAttempts
			if wrong.status == http.StatusServiceUnavailable {
				// The endpoint has not run these attempts, which only the retry budget
				// bounds.
				sent, cause = 3, CauseRetryBudget
			}
			is.Equal(len(backend.lastEvents), sent)
			is.Equal(broken.Cause, cause)
			is.True(!sink.complete)
			is.Equal(sink.String(), event1+event2)
		})
	}
}

// TestHeadOfAnotherAnswerBreaksStream guards against a stream that holds an earlier
// refusal, which an endpoint repeats on a connection that ends with the stream.
func TestHeadOfAnotherAnswerBreaksStream(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\n"
	for name, parts := range map[string][]string{
		"between events":          {event1, head + event2, event3},
		"at once":                 {event1 + head + "refused" + event2 + event3},
		"inside an event":         {event1, event2[:6] + head, event2[6:], event3},
		"before a line":           {event1, "id: 2\n" + head + "data: b\n\n" + event3},
		"alone":                   {event1, head + "\n\n", event2},
		"each byte by itself":     strings.Split(event1+head+event2+event3, ""),
		"after the last event":    {event1, head},
		"with empty lines around": {event1, "\n\n" + head + "\n\n", event2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sink, _, err := runContinuations(t, 1, eventStream(nil, parts...))
			var broken *BrokenError
			is.True(errors.As(err, &broken))
			is.True(!sink.complete)
			is.Equal(strings.TrimRight(sink.String(), "\n"), strings.TrimRight(event1, "\n"))
			sink, backend, err := runContinuations(t, 2, eventStream(nil, parts...), eventStream(nil, event2, event3))
			is.NoErr(err)
			is.Equal(strings.ReplaceAll(sink.String(), "\n\n\n\n", "\n\n"), event1+event2+event3)
			is.Equal(backend.lastEvents, []string{"", "1"})
		})
	}
	is := is.New(t)
	const text = "id: 2\ndata: HTTP/1.1 503\ndata:HTTP/1.1\n\n"
	sink, _, err := runContinuations(t, 1, eventStream(nil, event1+text))
	is.NoErr(err)
	is.Equal(sink.String(), event1+text)
}

// TestRepeatedEventBreaksContinuation guards against an event that a caller gets
// twice because an endpoint repeats it within its continuation.
func TestRepeatedEventBreaksContinuation(t *testing.T) {
	for _, parts := range [][]string{{event3, event3, event4}, {event3 + event3 + event4}, {event3 + event2}} {
		is := is.New(t)
		sink, backend, err := runContinuations(t, 3, eventStream(errReset, event1+event2), eventStream(nil, parts...), eventStream(nil, event4))
		is.NoErr(err)
		is.Equal(sink.String(), event1+event2+event3+event4)
		is.Equal(backend.lastEvents, []string{"", "2", "3"})
	}
}

// TestSkippedEventsAfterOneEventBreakContinuation guards against a stream that lacks
// events because it broke off after its first one, and the endpoint at which it was to
// be continued skipped some.
func TestSkippedEventsAfterOneEventBreakContinuation(t *testing.T) {
	for _, parts := range [][]string{{event3, event4}, {event3 + event4}, {": c\n\n" + event3, "retry: 100\n\n", event4[:4], event4[4:], event5}} {
		is := is.New(t)
		sink, backend, err := runContinuations(t, 3, eventStream(errReset, event1), eventStream(nil, parts...), eventStream(nil, event2, event3))
		is.NoErr(err)
		is.Equal(sink.String(), event1+event2+event3)
		is.Equal(backend.lastEvents, []string{"", "1", "1"})
	}
}

// TestSoundContinuationsAreAccepted guards against checks of continuations that break
// off sound streams: those whose IDs are no numbers or do not rise by one, and those
// with comments, other fields or spaces.
func TestSoundContinuationsAreAccepted(t *testing.T) {
	for _, test := range []struct {
		name         string
		first, after []string
	}{
		{"consecutive", []string{event1, event2}, []string{event3, event4, event5}},
		{"at once", []string{event1 + event2}, []string{event3 + event4 + event5}},
		{"one event before", []string{event1}, []string{event3}},
		{"one event before, steps of two", []string{event1}, []string{event3, event5}},
		{"one event before, steps of two at once", []string{event1}, []string{event3 + event5}},
		{"one event before, steps that differ", []string{event1}, []string{event4, "id: 6\n\n", "id: 7\n\n"}},
		{"one event before, event without ID later", []string{event1}, []string{event3, "data: x\n\n", event5}},
		{"steps of eight", []string{"id: 8\n\n", "id: 16\n\n"}, []string{"id: 24\n\n"}},
		{"steps that differ", []string{"id: 1\n\n", "id: 2\n\n", "id: 7\n\n"}, []string{"id: 9\n\n"}},
		{"no numbers", []string{"id: b\n\n", "id: c\n\n"}, []string{"id: a\n\n", "id: d\n\n"}},
		{"numbers with more", []string{"id: 9-1\n\n", "id: 9-2\n\n"}, []string{"id: 9-1\n\n"}},
		{"number beyond 64 bits", []string{"id: 1\n\n", "id: 2\n\n"}, []string{"id: 36893488147419103232\n\n"}},
		{"comment first", []string{event1, event2}, []string{": c\n\n", event3}},
		{"comment with the event", []string{event1, event2}, []string{": c\n\n" + event3 + ": d\n\n"}},
		{"field before the ID", []string{event1, event2}, []string{"weight: 3\nid: 3\ndata: x\n\n"}},
		{"retry first", []string{event1, event2}, []string{"retry: 100\n\n" + event3}},
		{"no space", []string{event1, event2}, []string{"id:3\ndata:x\n\n"}},
		{"event without ID later", []string{event1, event2}, []string{event3, "data: x\n\n", event4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			want := strings.Join(test.first, "") + strings.Join(test.after, "")
			sink, _, err := runContinuations(t, 2, eventStream(errReset, test.first...), eventStream(nil, test.after...))
			is.NoErr(err)
			is.True(sink.complete)
			is.Equal(sink.String(), want)
		})
	}
}

// TestTypeParametersDoNotBreakContinuation guards against a continuation that is
// refused because its type has other parameters or is spelled in another way.
func TestTypeParametersDoNotBreakContinuation(t *testing.T) {
	is := is.New(t)
	sink, _, err := runContinuations(t, 2, eventStream(errReset, event1), answerOfType(http.StatusOK, "Text/Event-Stream; charset=utf-8", event2))
	is.NoErr(err)
	is.Equal(sink.String(), event1+event2)
}
