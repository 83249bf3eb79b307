package review

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the kind of a difference.
type ChangeKind string

// The kinds of differences of a document from the one in force.
const (
	Added   ChangeKind = "Added"
	Removed ChangeKind = "Removed"
	Changed ChangeKind = "Changed"
)

// Change is a difference from the version in force.
type Change struct {
	Kind    ChangeKind
	Subject string
	Detail  string
}

// compare adds the differences of a document from the one in force.
func (r *Report) compare(before, after *Document) {
	r.Changes = []Change{}
	r.compareFields("limits", limits(before), limits(after))
	compareAll(r, before.Routes, after.Routes, (*Route).key, (*Route).subject)
	compareAll(r, before.Services, after.Services, func(s *Service) string { return s.Name }, func(s *Service) string { return fmt.Sprintf("service %q", s.Name) })
	r.compareOrganisations(before, after)
}

// documentLimits are the fields of a Document that apply to all its entries.
type documentLimits struct {
	Keyless                bool
	HeaderBytes, BodyBytes int64
	TokensPerSecond        float64
}

func limits(d *Document) documentLimits {
	return documentLimits{d.Keyless, d.HeaderBytes, d.BodyBytes, d.TokensPerSecond}
}

// compareAll adds the differences of entries that are identified by a key. Of those with
// the same key, the first one counts.
func compareAll[T any](r *Report, before, after []T, key, subject func(*T) string) {
	known := make(map[string]*T, len(before))
	for i := len(before) - 1; i >= 0; i-- {
		known[key(&before[i])] = &before[i]
	}
	kept := make(map[string]bool, len(after))
	for i := range after {
		k := key(&after[i])
		if kept[k] {
			continue
		}
		kept[k] = true
		if old, existed := known[k]; existed {
			r.compareFields(subject(&after[i]), *old, after[i])
		} else {
			r.Changes = append(r.Changes, Change{Added, subject(&after[i]), ""})
		}
	}
	for i := range before {
		if k := key(&before[i]); !kept[k] {
			kept[k] = true
			r.Changes = append(r.Changes, Change{Removed, subject(&before[i]), ""})
		}
	}
}

// compareFields adds a change that names each field in which two structs of the same type
// differ.
func (r *Report) compareFields(subject string, before, after any) {
	var differing []string
	old, changed := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		x, y := old.Field(i).Interface(), changed.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			differing = append(differing, fmt.Sprintf("%s from %v to %v", old.Type().Field(i).Name, x, y))
		}
	}
	if len(differing) > 0 {
		r.Changes = append(r.Changes, Change{Changed, subject, strings.Join(differing, ", ")})
	}
}

// compareOrganisations adds the differences of the organisations. Keys are counted and not
// named, since reports are kept and passed on.
func (r *Report) compareOrganisations(before, after *Document) {
	old, now := keysOf(before), keysOf(after)
	names := slices.Sorted(maps.Keys(now))
	for _, name := range names {
		subject := fmt.Sprintf("organisation %q", name)
		if _, existed := old[name]; !existed {
			r.Changes = append(r.Changes, Change{Added, subject, fmt.Sprintf("%d keys", len(now[name]))})
			continue
		}
		if added, removed := missing(now[name], old[name]), missing(old[name], now[name]); added+removed > 0 {
			r.Changes = append(r.Changes, Change{Changed, subject, fmt.Sprintf("%d keys added, %d removed", added, removed)})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, remains := now[name]; !remains {
			r.Changes = append(r.Changes, Change{Removed, fmt.Sprintf("organisation %q", name), fmt.Sprintf("%d keys", len(old[name]))})
		}
	}
}

func keysOf(d *Document) map[string]map[string]bool {
	all := make(map[string]map[string]bool, len(d.Organisations))
	for _, o := range d.Organisations {
		if all[o.Name] == nil {
			all[o.Name] = map[string]bool{}
		}
		for _, key := range o.Keys {
			all[o.Name][key] = true
		}
	}
	return all
}

// missing returns the number of keys that the others lack.
func missing(keys, others map[string]bool) int {
	n := 0
	for key := range keys {
		if !others[key] {
			n++
		}
	}
	return n
}
