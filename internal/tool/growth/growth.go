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

// Result is the cost of one benchmark at one size.
type Result struct {
	// Name is the benchmark's name without the size.
	Name string
	// Size is the name of the sub-benchmark, which states the size.
	Size string
	// Nanoseconds, Bytes and Allocations are per operation.
	Nanoseconds, Bytes, Allocations float64
}

var benchmarkLine = regexp.MustCompile(`^Benchmark([^/\s]+)/(\S+?)(?:-\d+)?\s+\d+\s+([\d.]+) ns/op\s+([\d.]+) B/op\s+([\d.]+) allocs/op`)

// Parse parses the output of go test -bench with -benchmem.
func Parse(output []byte) []Result {
	var results []Result
	scanner := bufio.NewScanner(bytes.NewReader(output))
	for scanner.Scan() {
		match := benchmarkLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			continue
		}
		r := Result{Name: match[1], Size: match[2]}
		for i, figure := range []*float64{&r.Nanoseconds, &r.Bytes, &r.Allocations} {
			*figure, _ = strconv.ParseFloat(match[3+i], 64) // the expression matches only digits and dots
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

// ExceededBounds compares each benchmark's later results with its first and
// returns a description of each cost that grew by more than the factor bound.
// Costs below one count as one.
func ExceededBounds(results []Result, bound float64) []string {
	var exceeded []string
	first := map[string]Result{}
	for _, r := range results {
		small, ok := first[r.Name]
		if !ok {
			first[r.Name] = r
			continue
		}
		compare := func(quantity string, after, before float64) {
			if after > bound*max(before, 1) {
				exceeded = append(exceeded, fmt.Sprintf("%s: %s per operation grow from %.0f at %s to %.0f at %s, bound %.2f times",
					r.Name, quantity, before, small.Size, after, r.Size, bound))
			}
		}
		compare("nanoseconds", r.Nanoseconds, small.Nanoseconds)
		compare("bytes", r.Bytes, small.Bytes)
		compare("allocations", r.Allocations, small.Allocations)
	}
	return exceeded
}
