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

// TestRefusalOfAResentKeyClaimsNoMoreThanIsKnown refuses keyed requests at
// admission, where nothing is known of earlier sends.
func TestRefusalOfAResentKeyClaimsNoMoreThanIsKnown(t *testing.T) {
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
			i := newInstallation()
			h := New("r1", Limits{TotalBodyBytes: 1}, i, i, i, metrics.NewRegistry(), &log.Logger{Handler: discard.New()})
			w := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/services/s/x", nil)
			request.Header.Set(caller.HeaderIdempotencyKey, test.key)
			request.Header.Set(caller.HeaderFirstSend, test.first)
			h.refuse(h.newRequest(w, request), NewRefusal(test.status, "Admit", "refused"))
			is.True(strings.Contains(w.Body.String(), `"NotRun":"`+string(test.want)+`"`))
		})
	}
}
