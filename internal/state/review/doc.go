// Package review examines a configuration of the users' platform before operators write
// it: entries that can never take effect, limits that contradict each other, and what
// differs from the version in force.
//
// A Document holds what the configuration states, before defaults are applied. Reviews
// are pure functions: the same documents give the same report, in the same order. Reports
// never contain callers' keys.
package review
