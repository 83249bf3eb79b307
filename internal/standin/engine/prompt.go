package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the simulated length of a prompt token.
	bytesPerToken = 4
	// defaultMaxTokens bounds the answer of a request that states no bound.
	defaultMaxTokens = 4096
	// maxTokensLimit bounds the answer of every request.
	maxTokensLimit = 1 << 16
)

// prompt holds the fields of a request's body that the engine uses. Its keys
// follow the OpenAI API, unlike those of the project's own formats.
type prompt struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens bounds the number of tokens of the answer.
	MaxTokens int `json:"max_tokens"`
	// ExactTokens is the number of tokens of the answer, up to MaxTokens; zero
	// means that the number is random. It is an extension for tests.
	ExactTokens int `json:"stand_in_tokens"`

	text   string
	tokens int
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// parsePrompt decodes the body of a chat completion request if chat is set,
// and of a completion request otherwise.
func parsePrompt(body []byte, chat bool) (*prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	p.text = p.Prompt
	if chat {
		if len(p.Messages) == 0 {
			return nil, errors.New("messages: found none, allowed is one or more")
		}
		p.text = chatText(p.Messages)
	}
	p.tokens = max(1, len(p.text)/bytesPerToken)
	if p.MaxTokens <= 0 {
		p.MaxTokens = defaultMaxTokens
	}
	p.MaxTokens = min(p.MaxTokens, maxTokensLimit)
	return &p, nil
}

// chatText returns the messages of a chat as one text, each preceded by its
// role.
func chatText(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// answerTokens returns the number of tokens that are generated for the prompt.
// Unless ExactTokens is set, the number is drawn from an exponential
// distribution and seeded by the prompt and the engine's seed, so that callers
// can't predict it and all engines with the same seed give the same number.
func (p *prompt) answerTokens(mean int, seed uint64) int {
	if p.ExactTokens > 0 {
		return min(p.ExactTokens, p.MaxTokens)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(p.text), seed))
	drawn := -math.Log(1-random.Float64()) * float64(mean)
	return min(1+int(drawn), p.MaxTokens)
}

// token returns the text of the generated token at the given position.
func (p *prompt) token(tag string, position int) string {
	return tag + "." + strconv.Itoa(position) + " "
}

// Tag returns the tag that every token of an answer to the prompt text
// carries.
func Tag(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// ChatTag returns the Tag of a chat with one user message.
func ChatTag(content string) string {
	return Tag(chatText([]message{{Role: "user", Content: content}}))
}

// AnswerContent returns the text of a complete answer with the given tag and
// number of tokens.
func AnswerContent(tag string, tokens int) string {
	var b strings.Builder
	var p prompt
	for i := range tokens {
		b.WriteString(p.token(tag, i))
	}
	return b.String()
}
