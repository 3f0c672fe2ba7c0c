package router

import "sync"

// Parameters of the retry budget.
const (
	retryShare    = 0.1
	budgetMaximum = 100
)

// RetryBudget lets a share of the recent requests be sent again, so that retries
// cannot multiply an outage.
type RetryBudget struct {
	mu   sync.Mutex
	left float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: budgetMaximum} }

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMaximum, b.left+retryShare)
}

// TryWithdraw takes one attempt from the budget, and says false when there is none.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
