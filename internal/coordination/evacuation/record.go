package evacuation

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxDomains is the number of failure domains that can be evacuated at once.
	// Further ones, in alphabetical order, are ignored.
	MaxDomains = 64
	// maxNameBytes limits the name of a failure domain. Routers send each other the
	// names with each confirmation of the configuration.
	maxNameBytes = 128
	// maxValueBytes limits the values that are examined; larger ones count as
	// unreadable.
	maxValueBytes = 16 << 10
)

// Record is an operator's record of an evacuation in the store.
type Record struct {
	// Domain is the name of the failure domain.
	Domain string
	// Value is a JSON object. A record without a value ends the evacuation.
	Value []byte
	// Unreadable is set if the record has a value that can't be read.
	Unreadable bool
}

// Problem describes a malformed record.
type Problem struct {
	Domain string
	Reason string
	// Evacuates reports whether the record evacuates the domain all the same.
	Evacuates bool
}

// Decoder decodes records. It retains the problems of the last call, so that each is
// reported once. It is not safe for concurrent use.
type Decoder struct {
	reported map[Problem]bool
}

// Decode returns the domains that the records evacuate, sorted and without duplicates,
// and the problems that the previous records did not have. Of the problems of one call,
// only the first MaxDomains are considered.
func (d *Decoder) Decode(records []Record) ([]string, []Problem) {
	var domains []string
	var problems []Problem
	for i := range records {
		r := &records[i]
		if len(r.Value) == 0 && !r.Unreadable {
			continue
		}
		if !isName(r.Domain) {
			problems = append(problems, Problem{Domain: shorten(r.Domain), Reason: "the name of the failure domain is empty, too long or not printable"})
			continue
		}
		domains = append(domains, r.Domain)
		if r.Unreadable || !isObject(r.Value) {
			problems = append(problems, Problem{Domain: r.Domain, Reason: "the value is no JSON object", Evacuates: true})
		}
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if len(domains) > MaxDomains {
		for _, name := range domains[MaxDomains:] {
			problems = append(problems, Problem{Domain: name, Reason: "too many failure domains are evacuated"})
		}
		domains = domains[:MaxDomains]
	}
	return domains, d.unreported(problems)
}

// unreported returns the problems that the last call did not have.
func (d *Decoder) unreported(problems []Problem) []Problem {
	problems = problems[:min(len(problems), MaxDomains)]
	current := make(map[Problem]bool, len(problems))
	var fresh []Problem
	for _, p := range problems {
		if !d.reported[p] && !current[p] {
			fresh = append(fresh, p)
		}
		current[p] = true
	}
	d.reported = current
	return fresh
}

// normalise returns the valid names, sorted and without duplicates, at most MaxDomains.
func normalise(domains []string) []string {
	valid := slices.DeleteFunc(slices.Clone(domains), func(name string) bool { return !isName(name) })
	slices.Sort(valid)
	valid = slices.Compact(valid)
	return valid[:min(len(valid), MaxDomains)]
}

// isName reports whether a failure domain can have the name. Names are relayed as
// strings of protocol buffers, which must be valid UTF-8, and written to the log.
func isName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(c rune) bool { return !unicode.IsPrint(c) })
}

func shorten(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxNameBytes)], "?")
}

func isObject(value []byte) bool {
	return len(value) <= maxValueBytes && json.Valid(value) && bytes.HasPrefix(bytes.TrimLeft(value, " \t\r\n"), []byte("{"))
}
