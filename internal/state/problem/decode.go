package problem

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Decode decodes one JSON value of at most limit bytes into target, a pointer
// to a struct, and returns all problems found. Fields that the JSON omits keep
// their values in target.
func Decode(data []byte, limit int, target any) Problems {
	var ps Problems
	if len(data) > limit {
		ps.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", limit))
		return ps
	}
	n, err := parseJSON(data)
	if err != nil {
		ps.Add("", err.Error(), "one JSON value")
		return ps
	}
	assignValue(&ps, "", &n, reflect.ValueOf(target).Elem())
	return ps
}

// Describer is implemented by scalar types that describe their allowed values.
type Describer interface{ DescribeAllowed() string }

// assignValue stores the node in the value, or adds a problem if the node is
// not allowed there.
func assignValue(ps *Problems, path string, n *node, v reflect.Value) {
	if n.kind == scalarNode && string(n.scalar) == "null" {
		ps.Add(path, "null", describe(v))
		return
	}
	if isTextUnmarshaler(v) {
		assignScalar(ps, path, n, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		assignStruct(ps, path, n, v)
	case reflect.Slice:
		assignSlice(ps, path, n, v)
	default:
		assignScalar(ps, path, n, v)
	}
}

func assignStruct(ps *Problems, path string, n *node, v reflect.Value) {
	if n.kind != objectNode {
		ps.Add(path, n.describe(), describe(v))
		return
	}
	seen := make(map[string]bool, len(n.members))
	for i := range n.members {
		m := &n.members[i]
		at := Field(path, m.name)
		field, known := v.Type().FieldByName(m.name)
		switch {
		case !known || !field.IsExported():
			ps.Add(at, "an unknown field", "one of "+fieldNames(v.Type()))
		case seen[m.name]:
			ps.Add(at, "the field a second time", "each field once")
		default:
			assignValue(ps, at, &m.value, v.FieldByIndex(field.Index))
		}
		seen[m.name] = true
	}
}

func assignSlice(ps *Problems, path string, n *node, v reflect.Value) {
	if n.kind != listNode {
		ps.Add(path, n.describe(), describe(v))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements))
	for i := range n.elements {
		assignValue(ps, Index(path, i), &n.elements[i], list.Index(i))
	}
	v.Set(list)
}

func assignScalar(ps *Problems, path string, n *node, v reflect.Value) {
	if n.kind != scalarNode {
		ps.Add(path, n.describe(), describe(v))
		return
	}
	if err := json.Unmarshal(n.scalar, v.Addr().Interface()); err != nil {
		ps.Add(path, string(n.scalar), describe(v))
	}
}

// isTextUnmarshaler reports whether the value's type decodes itself from a JSON
// string.
func isTextUnmarshaler(v reflect.Value) bool {
	if !v.CanAddr() {
		return false
	}
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

// describe describes the values that the type of v allows, in messages for
// operators.
func describe(v reflect.Value) string {
	if d, ok := v.Interface().(Describer); ok {
		return d.DescribeAllowed()
	}
	switch v.Type() {
	case reflect.TypeFor[time.Time]():
		return `an instant such as "2026-10-01T09:30:00Z"`
	case reflect.TypeFor[netip.AddrPort]():
		return `an address and port such as "10.0.0.1:8080"`
	}
	switch v.Kind() {
	case reflect.Struct:
		return "an object with the fields " + fieldNames(v.Type())
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a whole number"
	}
}

func fieldNames(t reflect.Type) string {
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if f.IsExported() {
			names = append(names, f.Name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
