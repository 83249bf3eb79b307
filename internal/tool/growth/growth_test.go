package growth

import (
	"testing"

	"github.com/matryer/is"
)

const output = `goos: linux
BenchmarkBid/organisations=122/endpoints=76-12         	  100000	       120.5 ns/op	      40 B/op	       1 allocs/op
BenchmarkBid/organisations=980/endpoints=610-12        	  100000	       400 ns/op	      40 B/op	       1 allocs/op
PASS
`

// TestExceededBoundsReportsGrowthAboveBound checks that Parse reads both sizes
// from the output of go test, and that ExceededBounds reports a cost only if it
// grew by more than the bound.
func TestExceededBoundsReportsGrowthAboveBound(t *testing.T) {
	is := is.New(t)
	results := Parse([]byte(output))
	is.Equal(len(results), 2)
	is.Equal(results[1], Result{"Bid", "organisations=980/endpoints=610", 400, 40, 1})
	is.Equal(len(ExceededBounds(results, 1.43)), 1) // only nanoseconds grew
	is.Equal(len(ExceededBounds(results, 4)), 0)
}
