// Package publication publishes an operators' text, the configuration of the
// fleet: it appends the text to the log and determines whether it was accepted.
//
// The order of the log decides between concurrent operators, so a publisher
// learns the outcome of its text only by reading its own record back. An append
// whose response was lost may have taken effect, or may take effect later: the
// publisher reads further, and appends again under the same PublishID if its
// record does not appear. At most one record of a PublishID is ever accepted.
package publication
