package participant

import (
	"sync"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// usableShare is the fraction of the allowed retries that a node uses for the requests
	// that it received itself. The rest covers requests that reach a backend server in
	// another window than the one they were counted in.
	usableShare = 0.9
	// nestedCallsShare is the fraction of a service's budget up to which retries of its
	// callers may charge it. The rest is for retries of single calls, which cost less than
	// a retry of the whole calling request.
	nestedCallsShare = 0.45
	// minSlackNodes is the least number of nodes among which RetrySlack is divided. It
	// limits a node that is alone or does not know any others yet.
	minSlackNodes = 16
	// budgetBuckets is the number of buckets per window. One more bucket is kept, so that
	// retries count for at least the whole window.
	budgetBuckets = 10
	keptBuckets   = budgetBuckets + 1
	// callsPerRun is the number of calls to other services that the budget assumes for one
	// run. A retried run makes these calls again.
	callsPerRun = 2
)

// retryBudget limits how often calls reach a backend server more than once. Each node
// derives its budget from the requests that it received itself, so that all nodes together
// keep the ratio without communicating.
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

// setNodes sets how many nodes share RetrySlack.
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

// tryWithdraw reports whether a call may reach a backend server of a service once more,
// and charges the budget if so. A retry after a try that may have run can repeat the calls
// that the run made, so it is charged to the other services too.
func (b *retryBudget) tryWithdraw(service string, mayHaveRun bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.window(service)
	if !b.allows(own, 1, usableShare) {
		return false
	}
	var called []*window
	if mayHaveRun {
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

// allows reports whether n more retries stay within a share of the allowed retries.
func (b *retryBudget) allows(w *window, n, share float64) bool {
	oldest := (w.bucket + 1) % keptBuckets // its requests may be older than the window
	requests, retries := -w.requests[oldest], 0.0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return retries+n <= share*(b.bounds.RetryRatio*requests+b.bounds.RetrySlack/float64(b.nodes))
}
