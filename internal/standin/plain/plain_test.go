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

func call(s *Service, method, path, id, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader("hire"))
	r.Header.Set("X-Request-ID", id)
	r.Header.Set("Idempotency-Key", key)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

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

func TestConcurrencyIsBounded(t *testing.T) {
	is := is.New(t)
	const calls, callTime = 6, 5 * time.Millisecond
	s := New(Settings{Concurrency: 2, CallTime: callTime})
	began := time.Now()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { call(s, http.MethodGet, "/assets/tile", "r", "") })
	}
	group.Wait()
	is.True(time.Since(began) >= calls/2*callTime) // two at a time, no faster
}
