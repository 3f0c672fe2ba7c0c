package router

import "sync"

// Parameters of the retry budget.
const (
	retryRatio     = 0.1
	maxRetryTokens = 100
)

// RetryBudget lets a share of the recent requests be sent again, so that retries
// cannot multiply an outage.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// Deposit counts a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// TryWithdraw takes one attempt from the budget, and says false when there is none.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
