package caller

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the prompt prefix that is hashed to find an
// engine that has the prefix in its cache.
const prefixBytes = 1024

// CompletionRequest holds the fields of a model call that routing depends on.
type CompletionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// ParseCompletion decodes the body of a model call. It ignores other fields,
// which only concern the engine.
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	var c CompletionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, fmt.Errorf("parse the completion request: %w", err)
	}
	if c.Model == "" {
		return nil, fmt.Errorf("parse the completion request: field \"model\" is missing; name one of the models in force")
	}
	if len(c.Messages) == 0 && len(c.Prompt) == 0 {
		return nil, fmt.Errorf("parse the completion request: both \"messages\" and \"prompt\" are missing; give one of them")
	}
	if c.MaxTokens < 0 {
		return nil, fmt.Errorf("parse the completion request: \"max_tokens\" is %d; it must not be negative", c.MaxTokens)
	}
	return &c, nil
}

// Prefix returns a hash of the model and the prompt's prefix. The hash is never
// zero.
func (c *CompletionRequest) Prefix() uint64 {
	prompt := c.Messages
	if len(prompt) == 0 {
		prompt = c.Prompt
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(c.Model)
	_, _ = d.Write(prompt[:min(len(prompt), prefixBytes)])
	return max(d.Sum64(), 1)
}
