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

// The kinds of requests.
const (
	// KindStream is a chat whose answer is streamed.
	KindStream Kind = "Stream"
	// KindUnstreamed is a chat whose answer is not streamed.
	KindUnstreamed Kind = "Whole"
	// KindAsset and KindShare are reads from a plain service.
	KindAsset Kind = "Asset"
	KindShare Kind = "Share"
	// KindBooking is a write to a plain service that must run at most once.
	KindBooking Kind = "Booking"
)

// RequestMix describes the requests of a load.
type RequestMix struct {
	// Kinds holds the kinds from which requests are drawn with equal
	// probability. A kind that is listed twice is drawn twice as often.
	Kinds []Kind
	// Model is the model of chats.
	Model string
	// Tokens is the mean number of tokens of a chat's answer. The numbers are
	// uniformly distributed from 1 to 2*Tokens-1.
	Tokens int
	// PromptBytes is the approximate length of a chat's prompt.
	PromptBytes int
	// PlainPrefix is the prefix of the paths of the plain service, such as
	// "/services/Dispatch". It is empty if the service is called directly.
	PlainPrefix string
}

// request is a request, which is the same in all its tries.
type request struct {
	kind   Kind
	method string
	path   string
	body   string
	// key is the idempotency key; empty if the request needs none.
	key string
	// tag and tokens determine the expected answer to a chat.
	tag    string
	tokens int
	// onToken is called for each streamed token, unless it is nil.
	onToken func()
}

// newRequest returns a random request. It depends only on w and on the state
// of the random source.
func (w *RequestMix) newRequest(random *rand.Rand) *request {
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

// reader is an io.Reader of random bytes.
type reader struct{ random *rand.Rand }

// Read fills p with random bytes.
func (r reader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}
