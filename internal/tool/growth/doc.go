// Package growth runs benchmarks of the repository that have two sizes, and
// checks the growth of their costs against a bound. It runs the go command, so
// it works only inside the repository and is never part of a router.
package growth
