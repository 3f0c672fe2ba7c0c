package receiver

import "sync"

// accountKey names an account under a rule.
type accountKey struct {
	line    int
	account string
}

// accounts counts the requests in progress of each account that has a limit.
type accounts struct {
	mu      sync.Mutex
	running map[accountKey]int
}

// enter counts a request in, unless its account is at the limit.
func (a *accounts) enter(k accountKey, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[k] >= limit {
		return false
	}
	if a.running == nil {
		a.running = make(map[accountKey]int)
	}
	a.running[k]++
	return true
}

// leave counts a request out.
func (a *accounts) leave(k accountKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running[k]--
	if a.running[k] == 0 {
		delete(a.running, k)
	}
}
