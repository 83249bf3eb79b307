// Package publication appends an operators' text to the log and learns what
// became of it.
//
// The log's order decides between operators who race, so a publisher knows the
// fate of its text only after reading its own record back. An append whose
// answer was lost may have landed, or may land later: the publisher reads on,
// and appends again under the same PublishID if nothing comes. At most one
// record of a PublishID is ever accepted.
package publication
