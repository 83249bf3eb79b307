package admission

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// partLife is the time for which an engine is believed to keep a part of
	// a prompt after its last use.
	partLife = 15 * time.Second
	// maxParts bounds the parts that are remembered for each engine.
	maxParts = 8192
)

// parts remembers which parts of prompts an engine has read for this router.
type parts struct {
	usedAt map[uint64]time.Time
}

func newParts() parts { return parts{usedAt: map[uint64]time.Time{}} }

// held returns how many tokens of the prompt the engine should hold: those of
// the leading parts that it has read lately.
func (c *parts) held(now time.Time, p *schedule.Prompt) int64 {
	tokens := int64(0)
	for _, part := range p.Parts {
		used, known := c.usedAt[part.ID]
		if !known || now.Sub(used) > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes that the engine reads the prompt.
func (c *parts) use(now time.Time, p *schedule.Prompt) {
	if p == nil {
		return
	}
	if len(c.usedAt) > maxParts {
		c.expire(now)
	}
	for _, part := range p.Parts {
		c.usedAt[part.ID] = now
	}
}

// expire forgets what is old, and everything if nothing is.
func (c *parts) expire(now time.Time) {
	for id, used := range c.usedAt {
		if now.Sub(used) > partLife {
			delete(c.usedAt, id)
		}
	}
	if len(c.usedAt) > maxParts {
		clear(c.usedAt)
	}
}

// forget takes back a use that did not happen.
func (c *parts) forget(p *schedule.Prompt) {
	if p != nil && len(p.Parts) > 0 {
		delete(c.usedAt, p.Parts[len(p.Parts)-1].ID)
	}
}

// sharedKey names the longest beginning that the prompt has in common with
// others; zero if there is none.
func sharedKey(p *schedule.Prompt) uint64 {
	switch n := len(p.Parts); n {
	case 0:
		return 0
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// sharedTokens is the length of the parts that other prompts begin with too.
func sharedTokens(p *schedule.Prompt) int64 {
	tokens := int64(0)
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// outputTokens is what the engine is expected to generate; zero without a prompt.
func outputTokens(p *schedule.Prompt) int64 {
	if p == nil {
		return 0
	}
	return p.OutputTokens
}
