package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"hyssopreach/internal/standin/engine"
)

// Kind is a kind of request.
type Kind string

// The kinds of request.
const (
	// KindStream is a chat whose answer is streamed.
	KindStream Kind = "Stream"
	// KindWhole is a chat whose answer comes in one piece.
	KindWhole Kind = "Whole"
	// KindAsset and KindShare are reads from a plain service.
	KindAsset Kind = "Asset"
	KindShare Kind = "Share"
	// KindBooking must run at most once.
	KindBooking Kind = "Booking"
)

// Work says what requests ask for.
type Work struct {
	// Kinds are drawn from with equal chance; one that stands twice comes
	// twice as often.
	Kinds []Kind
	// Model is the model of chats.
	Model string
	// Tokens is the mean length of a chat's answer; lengths are drawn evenly
	// between one and twice the mean.
	Tokens int
	// PromptBytes is the length of a chat's prompt.
	PromptBytes int
	// PlainPrefix goes before the paths of the plain service, such as
	// "/services/Dispatch"; it is empty for a direct call.
	PlainPrefix string
}

// request is one request, the same in all its tries.
type request struct {
	kind   Kind
	method string
	path   string
	body   string
	// key is the idempotency key; empty if the request needs none.
	key string
	// tag and tokens tell what a chat must be answered.
	tag    string
	tokens int
	// served is told of each streamed token; nil for nobody.
	served func()
}

func (w *Work) newRequest(random *rand.Rand) *request {
	kind := w.Kinds[random.IntN(len(w.Kinds))]
	name := strconv.FormatUint(random.Uint64(), 36)
	switch kind {
	case KindAsset:
		return &request{kind: kind, method: http.MethodGet, path: w.PlainPrefix + "/assets/" + name}
	case KindShare:
		return &request{kind: kind, method: http.MethodGet, path: w.PlainPrefix + "/share/" + name}
	case KindBooking:
		return &request{
			kind: kind, method: http.MethodPost, path: w.PlainPrefix + "/bookings",
			body: "booking " + name, key: uuid.Must(uuid.NewRandomFromReader(reader{random})).String(),
		}
	}
	prompt := name + strings.Repeat(" log", w.PromptBytes/len(" log"))
	r := &request{
		kind: kind, method: http.MethodPost, path: "/v1/chat/completions",
		tag: engine.ChatTag(prompt), tokens: 1 + random.IntN(max(1, 2*w.Tokens-1)),
	}
	r.body = fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%t,"max_tokens":%d,"stand_in_tokens":%d}`,
		w.Model, prompt, kind == KindStream, 8*w.Tokens, r.tokens)
	return r
}

// reader draws bytes from a random source.
type reader struct{ random *rand.Rand }

// Read fills p.
func (r reader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}
