package problem

import "regexp"

// Names occur in paths, log lines and metrics, so they contain neither spaces
// nor the separators used there.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// AllowedName describes the well-formed names in messages for operators.
const AllowedName = `a name of 1 to 100 letters, digits, ".", "_" or "-"`

// IsName reports whether the name of an organisation, service, VM or failure
// domain is well formed.
func IsName(name string) bool { return namePattern.MatchString(name) }
