package receiver

import "sync"

// accountKey identifies an account under a rule.
type accountKey struct {
	ruleLine int
	account  string
}

// accounts counts the requests in flight of each account that has a limit.
type accounts struct {
	mu       sync.Mutex
	inFlight map[accountKey]int
}

// acquire counts a request and reports true, or reports false if its account is
// at the limit.
func (a *accounts) acquire(k accountKey, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight[k] >= limit {
		return false
	}
	if a.inFlight == nil {
		a.inFlight = make(map[accountKey]int)
	}
	a.inFlight[k]++
	return true
}

// release removes a finished request from the count.
func (a *accounts) release(k accountKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight[k]--
	if a.inFlight[k] == 0 {
		delete(a.inFlight, k)
	}
}
