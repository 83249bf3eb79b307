package load

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/standin/engine"
)

// newChat returns a chat request of the given kind whose answer has three
// tokens.
func newChat(t *testing.T, kind Kind) *request {
	t.Helper()
	w := RequestMix{Kinds: []Kind{kind}, Model: "m", Tokens: 3, PromptBytes: 8}
	random := rand.New(rand.NewPCG(1, 1))
	for {
		if r := w.newRequest(random); r.tokens == 3 {
			return r
		}
	}
}

// stream returns the events of the tokens with the given tag and positions.
func stream(tag string, positions ...int) string {
	var b strings.Builder
	for _, p := range positions {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":\"%s.%d \"}}]}\n\n", tag, p)
	}
	return b.String()
}

// streamEnd holds the last events of a complete stream.
const streamEnd = "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n"

// TestStreamIsCheckedTokenByToken guards against wrong streams that count as
// answered, such as a stream with tokens of another request, with missing or
// repeated tokens, or with an end marker after too few tokens, and against a
// truncated stream that counts as wrong instead of cut off.
func TestStreamIsCheckedTokenByToken(t *testing.T) {
	r := newChat(t, KindStream)
	tests := []struct {
		name, body string
		wrong      bool // the stream has an end marker, but not the expected tokens
		fails      bool
	}{
		{"Correct", stream(r.tag, 0, 1, 2) + streamEnd, false, false},
		{"OtherTag", stream("0", 0, 1, 2) + streamEnd, true, true},
		{"OneOtherTag", stream(r.tag, 0) + stream("0", 1) + stream(r.tag, 2) + streamEnd, true, true},
		{"MissingToken", stream(r.tag, 0, 2) + streamEnd, true, true},
		{"RepeatedToken", stream(r.tag, 0, 1, 1, 2) + streamEnd, true, true},
		{"TooFewTokens", stream(r.tag, 0, 1) + streamEnd, true, true},
		{"Truncated", stream(r.tag, 0, 1), false, true},
		{"NoEndMarker", stream(r.tag, 0, 1, 2), false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := r.check(strings.NewReader(test.body))
			is.Equal(err != nil, test.fails)
			is.Equal(errors.Is(err, errWrongAnswer), test.wrong)
		})
	}
}

// TestUnstreamedAnswersAreChecked guards against answers with the content of
// another request or with too few tokens that count as answered.
func TestUnstreamedAnswersAreChecked(t *testing.T) {
	is := is.New(t)
	r := newChat(t, KindUnstreamed)
	body := func(tag string, tokens int) io.Reader {
		return strings.NewReader(fmt.Sprintf(`{"choices":[{"message":{"content":%q}}],"usage":{"completion_tokens":%d}}`,
			engine.AnswerContent(tag, tokens), tokens))
	}
	is.NoErr(r.check(body(r.tag, 3)))
	is.True(errors.Is(r.check(body("0", 3)), errWrongAnswer))
	is.True(errors.Is(r.check(body(r.tag, 2)), errWrongAnswer))
}

// TestPlainAnswersAreChecked guards against answers of a plain service to
// another path, body or key, and malformed answers, that count as answered.
func TestPlainAnswersAreChecked(t *testing.T) {
	is := is.New(t)
	w := RequestMix{Kinds: []Kind{KindBooking}, PlainPrefix: "/services/board"}
	r := w.newRequest(rand.New(rand.NewPCG(1, 1)))
	body := func(path, body, key string) io.Reader {
		return strings.NewReader(fmt.Sprintf(`{"Path":%q,"Body":%q,"Key":%q}`, path, body, key))
	}
	is.NoErr(r.check(body("/bookings", r.body, r.key)))
	is.True(errors.Is(r.check(body("/bookings", "another", r.key)), errWrongAnswer))
	is.True(errors.Is(r.check(body("/bookings", r.body, "another")), errWrongAnswer))
	is.True(errors.Is(r.check(body("/assets/x", r.body, r.key)), errWrongAnswer))
	is.True(errors.Is(r.check(strings.NewReader("{")), errWrongAnswer))
}
