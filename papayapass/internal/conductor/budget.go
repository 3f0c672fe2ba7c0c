package conductor

import (
	"sync"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// budgetShare is the part of the allowed ratio that a node spends on its own
	// requests: repeats of earlier windows and of calls count against it as well.
	budgetShare = 0.5
	// slackNodes is the number of nodes that the fixed part is divided among at
	// least; a node that is alone, or knows no others yet, may spend no more.
	slackNodes = 16
	// budgetBuckets is the resolution of the window.
	budgetBuckets = 10
	// callsOfRun is how many calls of other services a run makes at most, as far as
	// the budget is concerned: a run that is a repeat makes them again.
	callsOfRun = 2
)

// budget bounds how often calls reach a backend server more than once. Each node
// spends by the requests that it took itself, so that all together keep the ratio
// without talking to each other.
type budget struct {
	mu       sync.Mutex
	bounds   Bounds
	clock    timer.Clock
	services map[string]*window
	nodes    int
}

type window struct {
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
	bucket   int64
}

func newBudget(b Bounds, clock timer.Clock) *budget {
	return &budget{bounds: b, clock: clock, services: make(map[string]*window), nodes: slackNodes}
}

func (b *budget) setBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// setNodes tells how many nodes share the fixed part.
func (b *budget) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, slackNodes)
}

func (b *budget) window(service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	size := max(int64(b.bounds.RetryWindow)/budgetBuckets, 1)
	bucket := int64(b.clock.Now()) / size
	for n := 0; w.bucket < bucket && n < budgetBuckets; n++ {
		w.bucket++
		i := w.bucket % budgetBuckets
		w.requests[i], w.repeats[i] = 0, 0
		if n == budgetBuckets-1 {
			w.bucket = bucket
		}
	}
	return w
}

func (b *budget) count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.bucket%budgetBuckets]++
}

// spend says whether a call may reach a backend server of a service once more. After
// a try that ran, the calls that the run made may be made again, so the repeat is
// charged to the other services too.
func (b *budget) spend(service string, ran bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	charges := map[*window]float64{b.window(service): 1}
	if ran {
		for other := range b.services {
			if other != service {
				charges[b.window(other)] = callsOfRun
			}
		}
	}
	for w, n := range charges {
		if !b.allows(w, n) {
			return false
		}
	}
	for w, n := range charges {
		w.repeats[w.bucket%budgetBuckets] += n
	}
	return true
}

func (b *budget) allows(w *window, n float64) bool {
	requests, repeats := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return repeats+n <= budgetShare*(b.bounds.RetryRatio*requests+b.bounds.RetrySlack/float64(b.nodes))
}
