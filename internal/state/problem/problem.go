package problem

import (
	"fmt"
	"strings"
)

// maxProblems bounds the problems told at once, so that a large broken file
// does not lead to a larger error.
const maxProblems = 200

// maxFoundBytes bounds the part of the file that is quoted in one problem.
const maxFoundBytes = 80

// Problem is one thing that is wrong with a file.
type Problem struct {
	// Path leads to the place, as in "Services[2].DependsOn[0]".
	Path string
	// Found is what stands there.
	Found string
	// Allowed is what may stand there.
	Allowed string
}

// String returns the problem as one line.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "(whole file)"
	}
	return fmt.Sprintf("%s: found %s; allowed: %s", path, p.Found, p.Allowed)
}

// Problems is the error that tells all that is wrong with a file.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem; what goes beyond the bound is dropped.
func (ps *Problems) Add(path, found, allowed string) {
	if len(*ps) >= maxProblems {
		return
	}
	if len(found) > maxFoundBytes {
		found = strings.ToValidUTF8(found[:maxFoundBytes], "") + "..."
	}
	*ps = append(*ps, Problem{Path: path, Found: found, Allowed: allowed})
}

// Err returns the problems as an error, or nil when there are none.
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
