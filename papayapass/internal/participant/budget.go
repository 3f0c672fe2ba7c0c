package participant

import (
	"sync"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// usableShare is the part of the allowed repeats that a node spends by the requests
	// that it took itself; the rest is for requests that arrive in another window than
	// they were counted in.
	usableShare = 0.9
	// nestedCallsShare is the part up to which repeats of runs may use the budgets of the
	// services that they call. The rest is for repeats of calls: one call sent again
	// costs less than its whole run.
	nestedCallsShare = 0.45
	// minSlackNodes is the number of nodes that the fixed part is divided among at
	// least; a node that is alone, or knows no others yet, may spend no more.
	minSlackNodes = 16
	// budgetBuckets is the resolution of the window. One bucket more is kept, so that
	// repeats count for at least the whole window.
	budgetBuckets = 10
	keptBuckets   = budgetBuckets + 1
	// callsPerRun is how many calls of other services a run makes at most, as far as
	// the budget is concerned: a run that is a repeat makes them again.
	callsPerRun = 2
)

// retryBudget bounds how often calls reach a backend server more than once. Each node
// spends by the requests that it took itself, so that all together keep the ratio
// without talking to each other.
type retryBudget struct {
	mu       sync.Mutex
	bounds   Bounds
	clock    timer.Clock
	services map[string]*window
	nodes    int
}

type window struct {
	requests [keptBuckets]float64
	retries  [keptBuckets]float64
	bucket   int64
}

func newRetryBudget(b Bounds, clock timer.Clock) *retryBudget {
	return &retryBudget{bounds: b, clock: clock, services: make(map[string]*window), nodes: minSlackNodes}
}

func (b *retryBudget) setBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// setNodes tells how many nodes share the fixed part.
func (b *retryBudget) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, minSlackNodes)
}

func (b *retryBudget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	size := max(int64(b.bounds.RetryWindow)/budgetBuckets, 1)
	bucket := int64(b.clock.Now()) / size
	for from := max(w.bucket+1, bucket-keptBuckets+1); from <= bucket; from++ {
		w.requests[from%keptBuckets], w.retries[from%keptBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func (b *retryBudget) countRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%keptBuckets]++
}

// tryWithdraw says whether a call may reach a backend server of a service once more. After
// a try that ran, the calls that the run made may be made again, so the repeat is
// charged to the other services too.
func (b *retryBudget) tryWithdraw(service string, ran bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.window(service)
	if !b.allows(own, 1, usableShare) {
		return false
	}
	var called []*window
	if ran {
		for other := range b.services {
			if other != service {
				called = append(called, b.window(other))
			}
		}
	}
	for _, w := range called {
		if !b.allows(w, callsPerRun, nestedCallsShare) {
			return false
		}
	}
	own.withdraw(1)
	for _, w := range called {
		w.withdraw(callsPerRun)
	}
	return true
}

func (w *window) withdraw(n float64) { w.retries[w.bucket%keptBuckets] += n }

// allows says whether n more repeats stay within a share of what is allowed.
func (b *retryBudget) allows(w *window, n, share float64) bool {
	oldest := (w.bucket + 1) % keptBuckets // its requests may be older than the window
	requests, repeats := -w.requests[oldest], 0.0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.retries[i]
	}
	return repeats+n <= share*(b.bounds.RetryRatio*requests+b.bounds.RetrySlack/float64(b.nodes))
}
