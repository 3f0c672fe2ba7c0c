package router

import "sync"

// Parameters of the retry budget.
const (
	retryRatio     = 0.1
	maxRetryTokens = 100
)

// RetryBudget is a token bucket that limits retries to a share of the recent
// requests, so that retries cannot multiply the load of an outage.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// Deposit adds retryRatio tokens; it is called once for each request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+retryRatio)
}

// TryWithdraw takes the token of one retry and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
