package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result. The flag on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
