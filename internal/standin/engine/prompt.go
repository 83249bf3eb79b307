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
	// bytesPerToken is the length of a prompt token.
	bytesPerToken = 4
	// defaultMaxTokens bounds the answer of a request that states no bound.
	defaultMaxTokens = 4096
	// largestMaxTokens bounds every answer.
	largestMaxTokens = 1 << 16
)

// prompt is the part of a request's body that the engine uses. Unlike our own
// formats it is spelt in the OpenAI style.
type prompt struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
	// ExactTokens fixes the number of tokens, for tests.
	ExactTokens int `json:"stand_in_tokens"`

	text   string
	tokens int
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

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
	p.MaxTokens = min(p.MaxTokens, largestMaxTokens)
	return &p, nil
}

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

// answerTokens is the number of tokens that the prompt generates. It is drawn
// from an exponential distribution whose seed is the prompt itself, so that
// callers can't foresee it and every engine of one seed agrees on it.
func (p *prompt) answerTokens(mean int, seed uint64) int {
	if p.ExactTokens > 0 {
		return min(p.ExactTokens, p.MaxTokens)
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(p.text), seed))
	drawn := -math.Log(1-random.Float64()) * float64(mean)
	return min(1+int(drawn), p.MaxTokens)
}

// token is the text of the generated token at the position.
func (p *prompt) token(tag string, position int) string {
	return tag + "." + strconv.Itoa(position) + " "
}

// Tag is what the tokens of an answer to the prompt text carry.
func Tag(text string) string {
	return strconv.FormatUint(xxhash.Sum64String(text), 16)
}

// ChatTag is the Tag of a chat with one user message.
func ChatTag(content string) string {
	return Tag(chatText([]message{{Role: "user", Content: content}}))
}

// Content is the whole answer of that many tokens to a prompt of that tag.
func Content(tag string, tokens int) string {
	var b strings.Builder
	var p prompt
	for i := range tokens {
		b.WriteString(p.token(tag, i))
	}
	return b.String()
}
