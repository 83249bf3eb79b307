package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/route"
)

// TestContinuationHasTimeLeft guards against looking for the continuation of a stream
// only when its caller is about to give up, or while most of its patience is left.
func TestContinuationHasTimeLeft(t *testing.T) {
	for _, test := range []struct{ objective, patience, want time.Duration }{
		{500 * time.Millisecond, 3200 * time.Millisecond, 2200 * time.Millisecond},
		{500 * time.Millisecond, 2 * time.Second, time.Second},
		{800 * time.Millisecond, 3200 * time.Millisecond, 1600 * time.Millisecond},
		{100 * time.Millisecond, 3200 * time.Millisecond, 2400 * time.Millisecond},
		{0, 2 * time.Second, 1500 * time.Millisecond},
		{0, 0, 0}, // the patience is not known
	} {
		is := is.New(t)
		is.Equal(maxSilence(&route.Route{Objective: test.objective, Patience: test.patience}), test.want)
	}
}
