package execution

import "sync"

// Budget bounds what is sent again.
type RetryBudget interface {
	// Earn counts a call's first attempt.
	Deposit(c *Call)
	// Spend takes one further attempt; it fails if none is left.
	Withdraw(c *Call) bool
}

// budgetBurst bounds the retries that an organisation can save up.
const budgetBurst = 10

// budget allows each organisation a number of retries in proportion to its
// first attempts, so that retries cannot multiply the load on a fleet that is
// already failing.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64 // guarded by mu
}

func newBudget() *budget { return &budget{tokens: make(map[string]float64)} }

// Earn adds what one first attempt is worth.
func (b *budget) Deposit(c *Call) { b.earn(c.Organisation.Name, c.Organisation.RetryRatio) }

// Spend takes one retry of the call's organisation.
func (b *budget) Withdraw(c *Call) bool { return b.spend(c.Organisation.Name) }

func (b *budget) earn(organisation string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved, known := b.tokens[organisation]
	if !known {
		saved = 1
	}
	b.tokens[organisation] = min(saved+ratio, budgetBurst)
}

// spend takes one retry; it fails if none is left.
func (b *budget) spend(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[organisation] < 1 {
		return false
	}
	b.tokens[organisation]--
	return true
}
