package problem

import (
	"fmt"
	"strings"
)

// maxProblems bounds the number of problems reported for one file, so that a
// large invalid file does not cause an even larger error.
const maxProblems = 200

// maxFoundBytes bounds the length of Problem.Found, which quotes the file.
const maxFoundBytes = 80

// Problem is one fault of a file.
type Problem struct {
	// Path is the JSON path of the fault, such as "Services[2].DependsOn[0]".
	// It is empty for a fault of the whole file.
	Path string
	// Found is what the file has at the path.
	Found string
	// Allowed is what is allowed at the path.
	Allowed string
}

// String returns the problem as a single line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "(whole file)"
	}
	return fmt.Sprintf("%s: found %s; allowed: %s", path, p.Found, p.Allowed)
}

// Problems is an error that lists the faults of a file.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem. Problems beyond maxProblems are dropped, and a long
// found value is truncated.
func (ps *Problems) Add(path, found, allowed string) {
	if len(*ps) >= maxProblems {
		return
	}
	if len(found) > maxFoundBytes {
		found = strings.ToValidUTF8(found[:maxFoundBytes], "") + "..."
	}
	*ps = append(*ps, Problem{Path: path, Found: found, Allowed: allowed})
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Field returns the path of a field of the value at path.
func Field(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of an element of the list at path.
func Index(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
