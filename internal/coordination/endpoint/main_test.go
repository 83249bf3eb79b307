package endpoint

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result. The flag -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}
