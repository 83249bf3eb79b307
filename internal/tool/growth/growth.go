package growth

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
)

// Result is one benchmark's cost at one size.
type Result struct {
	// Name is the benchmark's name without the size.
	Name string
	// Size is the benchmark's own words for the size.
	Size string
	// Nanoseconds, Bytes and Allocations are for one operation.
	Nanoseconds, Bytes, Allocations float64
}

var line = regexp.MustCompile(`^Benchmark([^/\s]+)/(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op\s+([\d.]+) B/op\s+([\d.]+) allocs/op`)

// Parse reads the output of go test -bench with -benchmem.
func Parse(output []byte) []Result {
	var results []Result
	lines := bufio.NewScanner(bytes.NewReader(output))
	for lines.Scan() {
		m := line.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		r := Result{Name: m[1], Size: m[2]}
		for i, to := range []*float64{&r.Nanoseconds, &r.Bytes, &r.Allocations} {
			*to, _ = strconv.ParseFloat(m[3+i], 64) // the expression matches digits
		}
		results = append(results, r)
	}
	return results
}

// Run runs the benchmarks of the packages.
func Run(ctx context.Context, packages ...string) ([]Result, error) {
	arguments := append([]string{"test", "-run", "^$", "-bench", ".", "-benchmem", "-benchtime", "200ms"}, packages...)
	output, err := exec.CommandContext(ctx, "go", arguments...).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("run the benchmarks: %w: %s", err, output)
	}
	return Parse(output), nil
}

// Missed compares the last size of each benchmark with its first and returns
// what grew more than the bound allows.
func Missed(results []Result, bound float64) []string {
	var missed []string
	first := map[string]Result{}
	for _, r := range results {
		small, ok := first[r.Name]
		if !ok {
			first[r.Name] = r
			continue
		}
		check := func(what string, after, before float64) {
			if after > bound*max(before, 1) {
				missed = append(missed, fmt.Sprintf("%s: %s grow from %.0f at %s to %.0f at %s, over %.2f times",
					r.Name, what, before, small.Size, after, r.Size, bound))
			}
		}
		check("nanoseconds", r.Nanoseconds, small.Nanoseconds)
		check("bytes", r.Bytes, small.Bytes)
		check("allocations", r.Allocations, small.Allocations)
	}
	return missed
}
