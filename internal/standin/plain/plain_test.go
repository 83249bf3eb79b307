package plain

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// call handles a request without a server and returns the recorded response.
func call(s *Service, method, path, id, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader("hire"))
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("Idempotency-Key", key)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// TestRunsAreCountedByKey guards against repeated runs of an idempotency key
// that are not counted, and against responses with another request's id.
func TestRunsAreCountedByKey(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Name: "p", Concurrency: 1})
	for i := range 3 {
		w := call(s, http.MethodPost, "/bookings", fmt.Sprint("r", i), fmt.Sprint("k", i/2))
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Header().Get("X-Request-ID"), fmt.Sprint("r", i))
	}
	summary := s.Runs()
	is.Equal(summary.Total, 3)
	is.Equal(summary.Repeated(), []string{"k0"})
	is.Equal(call(s, http.MethodGet, "/nothing", "r", "").Code, http.StatusNotFound)
}

// TestConcurrentCallsAreBounded guards against more concurrent calls than the
// setting allows, which would end all calls too early.
func TestConcurrentCallsAreBounded(t *testing.T) {
	is := is.New(t)
	const calls, callTime = 6, 5 * time.Millisecond
	s := New(Settings{Concurrency: 2, CallTime: callTime})
	began := time.Now()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { call(s, http.MethodGet, "/assets/tile", "r", "") })
	}
	group.Wait()
	is.True(time.Since(began) >= calls/2*callTime) // at most two calls run at once
}
