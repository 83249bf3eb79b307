// Package revision determines which revision of the operators' text is in
// force, by folding the log's stream of published texts: applying its records
// in order to a state.
//
// The fold is a pure function of the records and their offsets: a published
// text is accepted if and only if it is based on the revision in force at its
// offset and is valid by the rules of its own format version. All readers of
// the same offsets therefore reach the same result, whichever program version
// they run.
//
// Invariants:
//   - Revision numbers only increase, and no revision has two texts.
//   - The fold does not continue across a gap in the log. After a gap the fold
//     is incomplete until a snapshot or a peer states which revision was in
//     force at an offset from which all records are still available.
//   - A record in a newer format than this program supports counts as a gap.
package revision
