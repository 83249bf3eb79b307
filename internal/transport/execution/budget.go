package execution

import "sync"

// RetryBudget limits the number of retries.
type RetryBudget interface {
	// Deposit credits the budget for a call's first attempt.
	Deposit(c *Call)
	// Withdraw takes one retry from the budget; it returns false if none is
	// left.
	Withdraw(c *Call) bool
}

// maxSavedRetries bounds the unused retries that an organisation accumulates.
const maxSavedRetries = 10

// budget is a RetryBudget of one router. It grants each organisation retries in
// proportion to its first attempts, and one retry at its first call, so that
// retries cannot multiply the load on a fleet that is already failing.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64 // guarded by mu
}

// NewBudget returns a RetryBudget that grants each organisation retries by its
// RetryRatio.
func NewBudget() RetryBudget { return newBudget() }

func newBudget() *budget { return &budget{tokens: make(map[string]float64)} }

// Deposit credits the call's organisation with its retry ratio.
func (b *budget) Deposit(c *Call) { b.deposit(c.Organisation.Name, c.Organisation.RetryRatio) }

// Withdraw takes one retry from the budget of the call's organisation.
func (b *budget) Withdraw(c *Call) bool { return b.withdraw(c.Organisation.Name) }

// deposit credits the organisation with ratio retries, up to maxSavedRetries.
func (b *budget) deposit(organisation string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved, known := b.tokens[organisation]
	if !known {
		saved = 1
	}
	b.tokens[organisation] = min(saved+ratio, maxSavedRetries)
}

// withdraw takes one retry; it returns false if none is left.
func (b *budget) withdraw(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[organisation] < 1 {
		return false
	}
	b.tokens[organisation]--
	return true
}
