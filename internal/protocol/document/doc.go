// Package document checks JSON documents more strictly than package json: a field that is
// left out, null, empty or stated twice means different things to those who write
// documents, and package json does not tell them apart.
package document
