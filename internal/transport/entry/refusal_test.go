package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/protocol/caller"
)

// TestRefusalOfResentKeyDoesNotClaimNotRun guards against a refusal at admission
// that states that a request with an idempotency key has not run, although an
// earlier send with the same key may have run at another router.
func TestRefusalOfResentKeyDoesNotClaimNotRun(t *testing.T) {
	for _, test := range []struct {
		name, key, first string
		status           int
		want             caller.NotRun
	}{
		{"no key", "", "", http.StatusServiceUnavailable, caller.NotRunTrue},
		{"key", "k", "", http.StatusServiceUnavailable, caller.NotRunUnknown},
		{"first send", "k", "true", http.StatusServiceUnavailable, caller.NotRunTrue},
		{"malformed", "k", "", http.StatusBadRequest, caller.NotRunTrue},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			router := newFakeRouter()
			h := New("r1", Limits{TotalBodyBytes: 1}, router, router, router, metrics.NewRegistry(), &log.Logger{Handler: discard.New()})
			w := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/services/s/x", nil)
			request.Header.Set(caller.HeaderIdempotencyKey, test.key)
			request.Header.Set(caller.HeaderFirstSend, test.first)
			h.refuseAtAdmission(h.newRequest(w, request), NewRefusal(test.status, "Admit", "refused"))
			is.True(strings.Contains(w.Body.String(), `"NotRun":"`+string(test.want)+`"`))
		})
	}
}
