package router

import "sync"

// Parameters of the retry budget.
const (
	retryShare    = 0.1
	budgetMaximum = 100
)

// Budget lets a share of the recent requests be sent again, so that retries
// cannot multiply an outage.
type Budget struct {
	mu   sync.Mutex
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: budgetMaximum} }

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(budgetMaximum, b.left+retryShare)
}

// Spend takes one attempt from the budget, and says false when there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
