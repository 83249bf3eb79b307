package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/tool/soak"
	"hyssopreach/platform/standin"
)

// seeds lists the seeds of short soaks. A seed that has failed once stays in the
// list, with the cause.
var seeds = []struct {
	seed  uint64
	cause string
}{
	{1, ""},
}

// TestGuaranteesHoldUnderFaults runs routers as processes under overlapping
// faults. It guards against requests that run twice, that run after a refusal or
// with a removed key, against answers that are wrong or cut off by a planned
// stop, and against routers that don't serve again after the last fault.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "hyssopreach")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "hyssopreach/cmd/hyssopreach").CombinedOutput()
	if err != nil {
		t.Fatalf("build the routers' program: %v: %s", err, output)
	}
	for _, one := range seeds {
		t.Run(fmt.Sprint(one.seed), func(t *testing.T) {
			is := is.New(t)
			r, err := soak.Run(t.Context(), soak.Options{
				Dialect: standin.Dialect{},
				Seed:    one.seed, Duration: 8 * time.Second, Interval: 700 * time.Millisecond, Binary: binary, Directory: t.TempDir(),
				Routers: 3, Endpoints: 3, Callers: 6, OnFault: func(line string) { t.Log(line) },
			})
			is.NoErr(err)
			for _, violation := range r.Violations {
				t.Error(violation)
			}
			is.True(r.Outcomes["once served"] > 0)
		})
	}
	is.True(len(seeds) > 0)
}
