// Package claim encodes and decodes the records of the claim streams.
//
// Records are protocol buffers; record.pb.go is generated from record.proto and
// committed. Every record contains its format version.
package claim
