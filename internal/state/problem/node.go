package problem

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth bounds how deep lists and objects may be nested.
const maxDepth = 32

// node is a parsed JSON value. Exactly one of members, elements and scalar
// is meaningful, by kind.
type node struct {
	kind     nodeKind
	members  []member
	elements []node
	// scalar is the value as encoding/json writes it.
	scalar json.RawMessage
}

type member struct {
	name  string
	value node
}

type nodeKind uint8

const (
	scalarNode nodeKind = iota
	objectNode
	listNode
)

// describe returns what stands at the node, for people.
func (n *node) describe() string {
	switch n.kind {
	case objectNode:
		return "an object"
	case listNode:
		return "a list"
	default:
		return string(n.scalar)
	}
}

var errTooDeep = fmt.Errorf("nested deeper than %d levels", maxDepth)

// parse reads exactly one JSON value.
func parse(data []byte) (node, error) {
	if !utf8.Valid(data) {
		return node{}, errors.New("bytes that are not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	n, err := parseValue(d, 0)
	if err != nil {
		return node{}, fmt.Errorf("byte %d: %w", d.InputOffset(), err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return node{}, fmt.Errorf("byte %d: more after the end of the value", d.InputOffset())
	}
	return n, nil
}

func parseValue(d *json.Decoder, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, errTooDeep
	}
	token, err := d.Token()
	if err != nil {
		return node{}, unexpectedEnd(err)
	}
	switch token {
	case json.Delim('{'):
		return parseObject(d, depth)
	case json.Delim('['):
		return parseList(d, depth)
	}
	scalar, err := json.Marshal(token)
	return node{scalar: scalar}, err
}

func parseObject(d *json.Decoder, depth int) (node, error) {
	n := node{kind: objectNode}
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return node{}, unexpectedEnd(err)
		}
		name, ok := token.(string)
		if !ok {
			return node{}, fmt.Errorf("%v where a field name belongs", token)
		}
		value, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		n.members = append(n.members, member{name, value})
	}
	_, err := d.Token()
	return n, unexpectedEnd(err)
}

func parseList(d *json.Decoder, depth int) (node, error) {
	n := node{kind: listNode}
	for d.More() {
		value, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		n.elements = append(n.elements, value)
	}
	_, err := d.Token()
	return n, unexpectedEnd(err)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
