package caller

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestProvenStatusPromisesNothingUnknown guards against a status that tells callers to
// send a request again that may have run.
func TestProvenStatusPromisesNothingUnknown(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusUnauthorized, http.StatusTooManyRequests, http.StatusUnprocessableEntity, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
		for _, notRun := range []NotRun{NotRunTrue, NotRunFalse, NotRunUnknown} {
			got := (&Problem{Status: status, NotRun: notRun}).ProvenStatus()
			promises := got < http.StatusInternalServerError || got == http.StatusServiceUnavailable
			is.Equal(promises, notRun == NotRunTrue)
		}
	}
}
