package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

var (
	errNull     = errors.New("null is not allowed; leave the field out to state nothing")
	errTwice    = errors.New("the field stands there a second time")
	errSpelling = errors.New("the field is spelled in another way")
	errNoObject = errors.New("not an object")
	errNoNumber = errors.New("not a number")
)

// nullValue is JSON's null.
var nullValue = []byte("null")

// Check returns an error if a field of t is null in the JSON, stands there twice, or
// is spelled in another case, which package json accepts. The JSON must have been decoded
// into a value of type t without an error. Fields that t lacks may have any form.
func Check(data []byte, t reflect.Type) error { return checkFields(data, t, "") }

func checkFields(data []byte, t reflect.Type, path string) error {
	if bytes.Equal(bytes.TrimSpace(data), nullValue) {
		return fmt.Errorf("field %q: %w", path, errNull)
	}
	switch t.Kind() {
	case reflect.Pointer:
		return checkFields(data, t.Elem(), path)
	case reflect.Slice:
		var elements []json.RawMessage
		if err := json.Unmarshal(data, &elements); err != nil {
			return err
		}
		for i, element := range elements {
			if err := checkFields(element, t.Elem(), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		return checkObject(data, t, path)
	}
	return nil
}

func checkObject(data []byte, t reflect.Type, path string) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return fmt.Errorf("field %q: %w", path, errors.Join(errNoObject, err))
	}
	seen := make(map[string]bool, t.NumField())
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return err
		}
		stated, _ := token.(string)
		field, name, known := FieldNamed(t, stated)
		at := strings.TrimPrefix(path+"."+name, ".")
		switch {
		case !known:
			continue
		case stated != name:
			return fmt.Errorf("field %q: %w: %q", at, errSpelling, stated)
		case seen[name]:
			return fmt.Errorf("field %q: %w", at, errTwice)
		}
		seen[name] = true
		if err := checkFields(value, field.Type, at); err != nil {
			return err
		}
	}
	return nil
}

// FieldNamed returns the field of t into which package json decodes a member of the given
// name, and the name that the field has in JSON.
func FieldNamed(t reflect.Type, stated string) (field reflect.StructField, name string, known bool) {
	for i := range t.NumField() {
		field = t.Field(i)
		if name, _, _ = strings.Cut(field.Tag.Get("json"), ","); strings.EqualFold(name, stated) {
			return field, name, true
		}
	}
	return field, "", false
}

// Optional is a field that may be left out. Unlike a pointer it does not accept null.
type Optional[T any] struct {
	Value T
	Set   bool
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *Optional[T]) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, nullValue) {
		return errNull
	}
	o.Set = true
	return json.Unmarshal(data, &o.Value)
}
