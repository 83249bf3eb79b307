package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	protocol "hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/plain"
)

// startServer serves the handler until the end of the test and returns its
// address.
func startServer(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// bookingSettings returns the settings for a load of count bookings.
func bookingSettings(count int, addresses ...netip.AddrPort) *Settings {
	return &Settings{
		Addresses: addresses, Fixed: true, Callers: 4, Requests: count, Resends: 2, Timeout: 10 * time.Second,
		RequestMix: RequestMix{Kinds: []Kind{KindBooking}}, Seed: 1,
	}
}

// TestEveryRequestIsCountedOnce guards against requests that are lost or
// counted twice in the report when several callers run concurrently.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	is := is.New(t)
	s := plain.New(plain.Settings{Concurrency: 2})
	r := Run(context.Background(), bookingSettings(50, startServer(t, s)))
	is.Equal(r.Requests, 50)
	is.Equal(r.Answered, 50)
	is.Equal(r.Tries, 50)
	is.Equal(s.Runs().Total, 50)
	is.Equal(r.Latency.TotalCount(), int64(50))
}

// TestResendsUseAnotherRouterAndTheSameKey guards against a resend to the router
// that failed, and against a resend with a new idempotency key, by which a
// request could run twice. The first router aborts every connection.
func TestResendsUseAnotherRouterAndTheSameKey(t *testing.T) {
	is := is.New(t)
	s := plain.New(plain.Settings{Concurrency: 2})
	var keys atomic.Int32
	broken := startServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get(protocol.HeaderIdempotencyKey) != "" {
			keys.Add(1)
		}
		panic(http.ErrAbortHandler)
	}))
	r := Run(context.Background(), bookingSettings(10, broken, startServer(t, s)))
	is.Equal(r.Answered, 10)
	is.Equal(r.Lost, 10)
	is.Equal(r.Tries, 20)
	is.Equal(int(keys.Load()), 10)
	is.Equal(len(s.Runs().ByKey), 10)
	is.Equal(len(r.NeverRun), 0) // a lost try may have run
}

// TestRefusalsAreCountedByNotRun guards against a refusal that is counted
// contrary to its NotRun value, and against keys in NeverRun of requests that
// may have run.
func TestRefusalsAreCountedByNotRun(t *testing.T) {
	for _, test := range []struct {
		notRunValue   protocol.NotRun
		notRun, ran   int
		unknown, keys int
	}{
		{protocol.NotRunTrue, 3, 0, 0, 3},
		{protocol.NotRunFalse, 0, 3, 0, 0},
		{protocol.NotRunUnknown, 0, 0, 3, 0},
	} {
		is := is.New(t)
		refusing := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			p := protocol.Problem{Status: http.StatusServiceUnavailable, NotRun: test.notRunValue, Step: "Test"}
			p.Write(w, time.Now())
		}))
		r := Run(context.Background(), bookingSettings(3, refusing))
		is.Equal(r.NotRun, test.notRun)
		is.Equal(r.Ran, test.ran)
		is.Equal(r.Unknown, test.unknown)
		is.Equal(len(r.NeverRun), test.keys)
		is.Equal(r.Refused["503 Test"], 9)
	}
}
