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

// Decode reads one JSON value of at most limit bytes into target, a pointer
// to a struct, and returns all that is wrong with it. Fields that the JSON
// does not name keep what target held before.
func Decode(data []byte, limit int, target any) Problems {
	var ps Problems
	if len(data) > limit {
		ps.Add("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", limit))
		return ps
	}
	n, err := parse(data)
	if err != nil {
		ps.Add("", err.Error(), "one JSON value")
		return ps
	}
	assign(&ps, "", &n, reflect.ValueOf(target).Elem())
	return ps
}

// Describer is implemented by scalar types that say what they allow.
type Describer interface{ Allowed() string }

// assign stores the node in the value, or tells why it does not fit.
func assign(ps *Problems, path string, n *node, v reflect.Value) {
	if n.kind == scalarNode && string(n.scalar) == "null" {
		ps.Add(path, "null", describe(v))
		return
	}
	if isText(v) {
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
			assign(ps, at, &m.value, v.FieldByIndex(field.Index))
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
		assign(ps, Index(path, i), &n.elements[i], list.Index(i))
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

// isText reports whether the value reads itself from a JSON string.
func isText(v reflect.Value) bool {
	if !v.CanAddr() {
		return false
	}
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

// describe returns what the value's type allows, for people.
func describe(v reflect.Value) string {
	if d, ok := v.Interface().(Describer); ok {
		return d.Allowed()
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
