// Package claim encodes and decodes the records of the claim streams: the
// streams of the log that decide which router may run a non-idempotent request.
// Package state/claim describes their meaning.
//
// Records are protocol buffers; record.pb.go is generated from record.proto and
// committed. Every record contains its format version.
package claim
