package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswerEndsAfterSilence guards against a complete answer whose end the caller does
// not get, because its endpoint was silent before the end for longer than callers have
// to accept a part.
func TestAnswerEndsAfterSilence(t *testing.T) {
	const timeout = 50 * time.Millisecond
	for _, stream := range []bool{true, false} {
		is := is.New(t)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			sink := NewSink(w, stream, timeout)
			_ = sink.Begin(http.StatusOK, http.Header{})
			_, _ = sink.Write([]byte("part"))
			time.Sleep(2 * timeout)
			_ = sink.End()
		}))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
		is.NoErr(err)
		response, err := s.Client().Do(request)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(string(body), "part")
		s.Close()
	}
}
