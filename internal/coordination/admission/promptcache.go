package admission

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// cachedPartLifetime is the time for which an engine is assumed to retain a
	// prompt part in its cache after the last use.
	cachedPartLifetime = 15 * time.Second
	// maxCachedParts is the number of parts tracked for each engine above which
	// outdated parts are removed.
	maxCachedParts = 8192
)

// promptCache estimates the content of an engine's prompt cache from the
// prompts that this router has sent to the engine.
type promptCache struct {
	usedAt map[uint64]time.Time
}

func newPromptCache() promptCache { return promptCache{usedAt: map[uint64]time.Time{}} }

// cachedTokens returns the number of tokens of the prompt that the engine
// should have in its cache: those of the leading parts that it has processed
// recently.
func (c *promptCache) cachedTokens(now time.Time, p *schedule.Prompt) int64 {
	tokens := int64(0)
	for _, part := range p.Parts {
		used, known := c.usedAt[part.ID]
		if !known || now.Sub(used) > cachedPartLifetime {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// insert records that the engine processes the prompt.
func (c *promptCache) insert(now time.Time, p *schedule.Prompt) {
	if p == nil {
		return
	}
	if len(c.usedAt) > maxCachedParts {
		c.expire(now)
	}
	for _, part := range p.Parts {
		c.usedAt[part.ID] = now
	}
}

// expire removes the outdated parts, and all parts if too many remain.
func (c *promptCache) expire(now time.Time) {
	for id, used := range c.usedAt {
		if now.Sub(used) > cachedPartLifetime {
			delete(c.usedAt, id)
		}
	}
	if len(c.usedAt) > maxCachedParts {
		clear(c.usedAt)
	}
}

// remove undoes insert for a prompt that the engine did not process. It removes
// only the last part: the other ones may be cached for other requests.
func (c *promptCache) remove(p *schedule.Prompt) {
	if p != nil && len(p.Parts) > 0 {
		delete(c.usedAt, p.Parts[len(p.Parts)-1].ID)
	}
}

// sharedPrefixTokens returns the length of the parts that other prompts may
// begin with too: all but the last one.
func sharedPrefixTokens(p *schedule.Prompt) int64 {
	tokens := int64(0)
	for _, part := range p.Parts[:max(0, len(p.Parts)-1)] {
		tokens += part.Tokens
	}
	return tokens
}

// outputTokens returns the expected length of the answer, in tokens; zero
// without a prompt.
func outputTokens(p *schedule.Prompt) int64 {
	if p == nil {
		return 0
	}
	return p.OutputTokens
}
