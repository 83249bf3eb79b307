// Package problem decodes JSON files that operators write and reports all of
// their faults together.
//
// Decode is stricter than encoding/json: field names are case-sensitive,
// unknown and repeated fields are refused, and null is never accepted. Each
// Problem states the JSON path, what was found there and what is allowed, so
// that the operator can correct the file without further information.
package problem
