// Package gater counts the work in progress of each slice, so that a slice that
// moves away is released when its last request has ended and not before.
package gater

import (
	"sync"

	"papayapass.dev/papayapass/internal/assigner"
)

// Key names a slice.
type Key struct {
	pool  string
	start uint64
}

// NewKey returns the name of the slice of a pool that begins at start.
func NewKey(pool string, start uint64) Key { return Key{pool: pool, start: start} }

// Pool returns the name of the pool.
func (k Key) Pool() string { return k.pool }

// Start returns the first point of the slice.
func (k Key) Start() uint64 { return k.start }

type gate struct {
	running int
	closed  assigner.Token
}

// Gater holds a gate for each slice that has work or is closed.
type Gater struct {
	mu      sync.Mutex
	gates   map[Key]*gate
	counts  map[Key]uint32
	drained func(Key)
}

// NewGater returns a gater that calls drained when the last request of a closed
// slice has ended.
func NewGater(drained func(Key)) *Gater {
	return &Gater{gates: make(map[Key]*gate), counts: make(map[Key]uint32), drained: drained}
}

// Enter counts a request of a slice in, unless the slice was closed under the
// same or a later token.
func (g *Gater) Enter(k Key, token assigner.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.gates[k]
	if !ok {
		current = &gate{}
		g.gates[k] = current
	}
	if token <= current.closed {
		return false
	}
	current.running++
	g.counts[k]++
	return true
}

// Count is the number of requests that entered a slice.
type Count struct {
	key   Key
	count uint32
}

// Key returns the slice.
func (c Count) Key() Key { return c.key }

// Count returns the number of requests.
func (c Count) Count() uint32 { return c.count }

// TakeCounts returns the requests that entered each slice since the last call.
func (g *Gater) TakeCounts() []Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Count, 0, len(g.counts))
	for k, n := range g.counts {
		out = append(out, Count{key: k, count: n})
		if n == 0 {
			delete(g.counts, k)
			continue
		}
		g.counts[k] = 0
	}
	return out
}

// Leave counts a request out.
func (g *Gater) Leave(k Key) {
	if g.leave(k) {
		g.drained(k)
	}
}

func (g *Gater) leave(k Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.gates[k]
	current.running--
	if current.running > 0 {
		return false
	}
	if current.closed == 0 {
		delete(g.gates, k)
		return false
	}
	return true
}

// Close lets no more requests of a slice in under a token or an earlier one, and
// says whether none is running.
func (g *Gater) Close(k Key, token assigner.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	current, ok := g.gates[k]
	if !ok {
		current = &gate{}
		g.gates[k] = current
	}
	current.closed = max(current.closed, token)
	return current.running == 0
}

// Running returns the number of requests in progress.
func (g *Gater) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := 0
	for _, current := range g.gates {
		total += current.running
	}
	return total
}
