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

func newChat(t *testing.T, kind Kind) *request {
	t.Helper()
	w := Work{Kinds: []Kind{kind}, Model: "m", Tokens: 3, PromptBytes: 8}
	random := rand.New(rand.NewPCG(1, 1))
	for {
		if r := w.newRequest(random); r.tokens == 3 {
			return r
		}
	}
}

// stream is a stream of the tokens with the given tag and positions.
func stream(tag string, positions ...int) string {
	var b strings.Builder
	for _, p := range positions {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":\"%s.%d \"}}]}\n\n", tag, p)
	}
	return b.String()
}

const done = "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n"

func TestStreamIsCheckedTokenByToken(t *testing.T) {
	r := newChat(t, KindStream)
	tests := []struct {
		name, body string
		wrong      bool // it looks whole and isn't the request's own
		fails      bool
	}{
		{"Own", stream(r.tag, 0, 1, 2) + done, false, false},
		{"Foreign", stream("0", 0, 1, 2) + done, true, true},
		{"OneForeign", stream(r.tag, 0) + stream("0", 1) + stream(r.tag, 2) + done, true, true},
		{"Gap", stream(r.tag, 0, 2) + done, true, true},
		{"Twice", stream(r.tag, 0, 1, 1, 2) + done, true, true},
		{"Short", stream(r.tag, 0, 1) + done, true, true},
		{"Cut", stream(r.tag, 0, 1), false, true},
		{"CutAtTheEnd", stream(r.tag, 0, 1, 2), false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := r.check(strings.NewReader(test.body))
			is.Equal(err != nil, test.fails)
			is.Equal(errors.Is(err, errWrong), test.wrong)
		})
	}
}

func TestWholeAnswersAreChecked(t *testing.T) {
	is := is.New(t)
	r := newChat(t, KindWhole)
	body := func(tag string, tokens int) io.Reader {
		return strings.NewReader(fmt.Sprintf(`{"choices":[{"message":{"content":%q}}],"usage":{"completion_tokens":%d}}`,
			engine.Content(tag, tokens), tokens))
	}
	is.NoErr(r.check(body(r.tag, 3)))
	is.True(errors.Is(r.check(body("0", 3)), errWrong))
	is.True(errors.Is(r.check(body(r.tag, 2)), errWrong))
}

func TestPlainAnswersAreChecked(t *testing.T) {
	is := is.New(t)
	w := Work{Kinds: []Kind{KindBooking}, PlainPrefix: "/services/board"}
	r := w.newRequest(rand.New(rand.NewPCG(1, 1)))
	body := func(path, body, key string) io.Reader {
		return strings.NewReader(fmt.Sprintf(`{"Path":%q,"Body":%q,"Key":%q}`, path, body, key))
	}
	is.NoErr(r.check(body("/bookings", r.body, r.key)))
	is.True(errors.Is(r.check(body("/bookings", "another", r.key)), errWrong))
	is.True(errors.Is(r.check(body("/bookings", r.body, "another")), errWrong))
	is.True(errors.Is(r.check(body("/assets/x", r.body, r.key)), errWrong))
	is.True(errors.Is(r.check(strings.NewReader("{")), errWrong))
}
