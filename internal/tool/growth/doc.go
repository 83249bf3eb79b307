// Package growth runs the repository's benchmarks at two sizes and compares
// how their costs grow with a bound. It starts the Go tool, so it works only
// inside the repository and is never part of a router.
package growth
