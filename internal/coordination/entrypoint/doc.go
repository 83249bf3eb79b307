// Package entrypoint selects the routers that callers are told to use, by what each
// router can take and by the caller's failure domain.
//
// Callers pick evenly at random among the addresses of an answer for each new
// connection. The share of a router is therefore the sum over all answers of one
// divided by the size of the answer, where the answer names it. A Table keeps the
// sizes of answers even and varies how many answers name a router: in each of the
// two parts of an answer, routers in the caller's failure domain and others, a router
// is named in proportion to its weight. The weight is the stated processor capacity,
// reduced while the router reports that its processor time is used up.
//
// Invariants:
//   - The answer to one caller changes only where a router of it, or one that takes its
//     place, has changed, or where the number of routers of other failure domains does.
//   - An answer names routers of two failure domains if there are usable ones.
//   - A router that is usable keeps a part of its weight, however busy it is.
//   - Where the routers state the same capacity, or none, a Table selects nothing.
//
// A Table has no clock, goroutine or network and is not safe for concurrent use.
package entrypoint
