package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/transport/memory"
)

// TestHeadsCountTowardsTheirMemory guards against heads that are each within their bound
// and together take more memory than there is.
func TestHeadsCountTowardsTheirMemory(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	fields := strings.Repeat("X: y\r\n", 200)
	tests := []struct {
		name, answer string
		fits         bool
	}{
		{"Small", begin + "Content-Length: 2\r\n\r\nok", true},
		{"EmptyLinesInBody", begin + "Content-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000), true},
		{"LinesInBody", begin + "Content-Length: 3000\r\n\r\n" + strings.Repeat("xyz\r\n", 600), true},
		{"Fields", begin + fields + "Content-Length: 2\r\n\r\nok", false},
		{"LongLine", begin + "X: " + strings.Repeat("y", 30<<10) + "\r\nContent-Length: 2\r\n\r\nok", false},
		{"Informational", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200) + begin + "Content-Length: 2\r\n\r\nok", false},
		{"FieldsAfterInformational", "HTTP/1.1 103 Early Hints\r\n\r\n" + begin + fields + "Content-Length: 2\r\n\r\nok", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			full := memory.NewLimiter(100)
			address := answerOnce(t, test.answer)
			options := defaultOptions
			options.AttemptHeader, options.HeadMemory = "Request-Id", full
			client := NewClientWithOptions(nil, options)
			defer client.Close()
			answer, err := client.Do(context.Background(), address, &Attempt{ID: "a", Method: "POST", Path: "/"})
			if !test.fits {
				is.True(errors.Is(err, memory.ErrExhausted))
				var failed *Error
				is.True(errors.As(err, &failed) && failed.Sent)
			} else {
				is.NoErr(err)
				_, err = io.Copy(io.Discard, answer)
				is.NoErr(err)
				is.NoErr(answer.Close())
			}
			whole := full.NewHolding(0)
			is.NoErr(whole.Resize(100)) // all has been returned
		})
	}
}

// TestHeadMemoryIsHeldUntilClose guards against heads that no longer count while their
// answers are passed on.
func TestHeadMemoryIsHeldUntilClose(t *testing.T) {
	is := is.New(t)
	const total = 64 << 10
	heads := memory.NewLimiter(total)
	address := answerOnce(t, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"+strings.Repeat("X: y\r\n", 200)+"Content-Length: 2\r\n\r\nok")
	options := defaultOptions
	options.AttemptHeader, options.HeadMemory = "Request-Id", heads
	client := NewClientWithOptions(nil, options)
	defer client.Close()
	answer, err := client.Do(context.Background(), address, &Attempt{ID: "a", Method: "POST", Path: "/"})
	is.NoErr(err)
	whole := heads.NewHolding(0)
	is.True(errors.Is(whole.Resize(total), memory.ErrExhausted))
	is.NoErr(answer.Close())
	is.NoErr(whole.Resize(total))
}

// TestErrorTextIsBounded guards against errors that quote whole lines of an answer, which
// are logged and sent to callers.
func TestErrorTextIsBounded(t *testing.T) {
	for _, line := range []string{strings.Repeat("\x00", 50<<10), "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x01", 50<<10)} {
		is := is.New(t)
		client := NewClient(nil)
		_, err := client.Do(context.Background(), answerOnce(t, line+"\r\n\r\n"), &Attempt{ID: "a", Method: "POST", Path: "/"})
		is.True(err != nil)
		t.Logf("%d bytes", len(err.Error()))
		is.True(len(err.Error()) < 1000)
		is.NoErr(client.Close())
	}
}

// TestControlErrorTextIsBounded is the same for the answers to control requests.
func TestControlErrorTextIsBounded(t *testing.T) {
	is := is.New(t)
	client := NewClient(nil)
	defer client.Close()
	_, err := client.Load(context.Background(), answerOnce(t, "HTTP/1.1 500 No\r\nContent-Length: 50000\r\n\r\n"+strings.Repeat("x", 50_000)))
	is.True(err != nil)
	is.Equal(statusOf(err), http.StatusInternalServerError)
	is.True(len(err.Error()) < 1000)
}

// TestAnswersToQuestionsCountTowardsTheirMemory guards against heads and bodies of answers to
// questions that are each within their bound and together take more memory than there is.
func TestAnswersToQuestionsCountTowardsTheirMemory(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	body := `"` + strings.Repeat("x", 50_000) + `"`
	for _, test := range []struct {
		name, answer string
		err          error
		bodyBytes    int
	}{
		{"Small", begin + "Content-Length: 2\r\n\r\n{}", nil, 2},
		{"Fields", begin + strings.Repeat("X: y\r\n", 200) + "Content-Length: 2\r\n\r\n{}", memory.ErrExhausted, 0},
		{"Body", begin + "Content-Length: 50002\r\n\r\n" + body, nil, 16 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			full := memory.NewLimiter(100)
			options := defaultOptions
			options.HeadMemory = full
			client := NewClientWithOptions(nil, options)
			defer client.Close()
			answer, err := client.Ask(t.Context(), answerOnce(t, test.answer), "/report", nil)
			is.True(errors.Is(err, test.err))
			if err == nil {
				is.Equal(answer.Status, http.StatusOK)
				is.True(len(answer.Body) <= test.bodyBytes) // the rest is not read
			}
			whole := full.NewHolding(0)
			is.NoErr(whole.Resize(100)) // all has been returned
		})
	}
}

// answerOnce starts an endpoint that sends the answer to one request.
func answerOnce(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	return serveRaw(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	})
}
