package document

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"github.com/matryer/is"
)

// TestCheck guards against documents that are decoded although the meaning of one of their
// fields is not certain.
func TestCheck(t *testing.T) {
	type entry struct {
		Name string `json:"name"`
	}
	type value struct {
		Entries *[]entry `json:"entries"`
	}
	for document, want := range map[string]error{
		`{}`:                                   nil,
		`{"entries":[]}`:                       nil,
		`{"other":null,"entries":[{}]}`:        nil,
		`null`:                                 errNull,
		`{"entries":null}`:                     errNull,
		`{"entries":[null]}`:                   errNull,
		`{"entries":[{"name":null}]}`:          errNull,
		`{"entries":[],"entries":[]}`:          errTwice,
		`{"entries":[{"Name":"x"}]}`:           errSpelling,
		`{"entries":[{"name":"x","nAmE":""}]}`: errSpelling,
	} {
		is := is.New(t)
		is.NoErr(json.Unmarshal([]byte(document), &value{}))
		is.True(errors.Is(Check([]byte(document), reflect.TypeFor[value]()), want)) // document
	}
}

func TestOptionalAcceptsNoNull(t *testing.T) {
	is := is.New(t)
	var o Optional[int]
	is.True(errors.Is(json.Unmarshal([]byte("null"), &o), errNull))
	is.NoErr(json.Unmarshal([]byte("3"), &o))
	is.Equal(o, Optional[int]{Value: 3, Set: true})
}
