package endpoint

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEventReader guards against a stream that counts as complete without a
// [DONE] event of its own, and against miscounted events.
func TestEventReader(t *testing.T) {
	tests := []struct {
		name, stream string
		count        int
		done         bool
	}{
		{"Empty", "", 0, false},
		{"Tokens", "data: a\n\ndata: b\n\n", 2, false},
		{"Done", "data: a\n\ndata: [DONE]\n\n", 1, true},
		{"DoneWithReturns", "data:a\r\n\r\ndata:[DONE]\r\n\r\n", 1, true},
		{"DoneInsideText", "data: \"[DONE]\"\n\n", 1, false},
		{"DoneInLongLine", "data: [DONE]" + strings.Repeat("x", 200) + "\n\n", 1, false},
		{"DoneInSecondLine", "data: a\ndata: [DONE]\n\n", 1, false},
		{"Comment", ": data: [DONE]\n\n", 0, false},
		{"DataAfterDone", "data: [DONE]\n\ndata: a\n\n", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var r eventReader
			r.write([]byte(test.stream))
			is.Equal(r.count, test.count)
			is.Equal(r.done, test.done)
		})
	}
}

// FuzzEventReader checks that the result doesn't depend on how the stream is
// split between writes, that a stream is done only if it contains [DONE], and
// that the retained part of a line is bounded.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"), uint8(3))
	f.Add([]byte("data:[DONE]\r\n\r\n"), uint8(1))
	f.Add([]byte(": c\nevent: x\ndata: [DONE]\ndata: y\n\n"), uint8(7))
	f.Add([]byte("data: "+strings.Repeat("z", 100)+"\n\n"), uint8(64))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var whole, cut eventReader
		whole.write(stream)
		step := int(size) + 1
		for rest := stream; len(rest) > 0; rest = rest[min(step, len(rest)):] {
			cut.write(rest[:min(step, len(rest))])
		}
		if whole.count != cut.count || whole.done != cut.done {
			t.Fatalf("read at once: %d events, done %t; read in parts: %d events, done %t", whole.count, whole.done, cut.count, cut.done)
		}
		if whole.done && !bytes.Contains(stream, doneValue) {
			t.Fatal("the reader is done, but the stream does not contain [DONE]")
		}
		if len(cut.line) > maxLineBytes {
			t.Fatalf("%d bytes of a line are retained, which is too many", len(cut.line))
		}
	})
}
