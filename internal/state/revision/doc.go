// Package revision folds the log's stream of published texts into the one
// revision in force.
//
// The fold is a pure function of the records and their offsets: a published
// text is accepted if and only if it is based on the revision in force at its
// offset and is valid by the rules of its own format version. So every reader
// of the same offsets judges alike, whichever program version it runs.
//
// Invariants:
//   - A revision's number only grows, and never gets a second text.
//   - A hole in the log is never folded over. After a hole, the fold is blind
//     until a snapshot or a peer proves which revision was in force at an
//     offset from which every record is still to be read.
//   - A record in a format newer than this program is a hole as well.
package revision
