package problem

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth is the maximum nesting depth of lists and objects.
const maxDepth = 32

// node is a parsed JSON value. Its kind determines which one of members,
// elements and scalar is used.
type node struct {
	kind     nodeKind
	members  []member
	elements []node
	// scalar is the value as encoded by encoding/json.
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

// describe describes the node in messages for operators.
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

// parseJSON parses data that must be exactly one JSON value.
func parseJSON(data []byte) (node, error) {
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
		return node{}, fmt.Errorf("byte %d: data after the end of the value", d.InputOffset())
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
			return node{}, fmt.Errorf("found %v, want a field name", token)
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

// unexpectedEnd replaces io.EOF, which is an error within a value, by
// io.ErrUnexpectedEOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
