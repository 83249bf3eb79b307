// Package claim turns the records of the claim streams into bytes and back.
//
// The form is protocol buffers; record.pb.go is generated from record.proto
// and committed. Every record states its format version.
package claim
