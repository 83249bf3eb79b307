// Package problem reads JSON that people write and tells everything that is
// wrong with it at once.
//
// Decode is stricter than encoding/json: field names are matched by exact
// case, unknown and repeated fields are refused, and null stands for nothing.
// Each Problem names the JSON path, what was found there and what is allowed,
// so that its reader can mend the file without asking.
package problem
