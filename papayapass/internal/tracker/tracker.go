// Package tracker counts the work in progress of each slice, so that a slice that
// moves away is released when its last request has ended and not before. Slices
// are split and merged while requests run, so gates go by ranges of the hash
// space.
package tracker

import (
	"slices"
	"sync"

	"papayapass.dev/papayapass/internal/assigner"
)

// SliceKey names a slice.
type SliceKey struct {
	pool  string
	start uint64
}

// Pool returns the name of the pool.
func (k SliceKey) Pool() string { return k.pool }

// Start returns the first point of the slice.
func (k SliceKey) Start() uint64 { return k.start }

// Range is the part of a pool's hash space that a slice covers. Last is its last
// point.
type Range struct {
	pool  string
	start uint64
	last  uint64
}

// NewRange returns the range of a pool from its first to its last point.
func NewRange(pool string, start, last uint64) Range {
	return Range{pool: pool, start: start, last: last}
}

func (r Range) overlaps(other Range) bool {
	return r.pool == other.pool && r.start <= other.last && other.start <= r.last
}

// closure is a range that lets nothing in under a token or an earlier one.
type closure struct {
	area  Range
	token assigner.Token
}

// maxClosures bounds the closed ranges that are remembered. One counts only for
// requests that looked the table up before it was closed.
const maxClosures = 1024

// Tracker counts the requests in progress by the slices that they entered.
type Tracker struct {
	mu      sync.Mutex
	running map[Range]int
	counts  map[SliceKey]uint32
	closed  []closure
	drained func()
}

// NewTracker returns a gater that calls drained when a request has ended in a range
// that is closed.
func NewTracker(drained func()) *Tracker {
	return &Tracker{running: make(map[Range]int), counts: make(map[SliceKey]uint32), drained: drained}
}

// Enter counts a request of a point in, unless a range with the point was closed
// under the same or a later token.
func (g *Tracker) Enter(area Range, point uint64, token assigner.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.closed {
		if token <= c.token && c.area.overlaps(Range{pool: area.pool, start: point, last: point}) {
			return false
		}
	}
	g.running[area]++
	g.counts[SliceKey{pool: area.pool, start: area.start}]++
	return true
}

// Leave counts a request out.
func (g *Tracker) Leave(area Range) {
	if g.leave(area) {
		g.drained()
	}
}

func (g *Tracker) leave(area Range) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[area]--
	if g.running[area] > 0 {
		return false
	}
	delete(g.running, area)
	return slices.ContainsFunc(g.closed, func(c closure) bool { return c.area.overlaps(area) })
}

// Close lets no more requests of a range in under a token or an earlier one, and
// says whether none is running.
func (g *Tracker) Close(area Range, token assigner.Token) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(closure{area: area, token: token})
	for r := range g.running {
		if r.overlaps(area) {
			return false
		}
	}
	return true
}

// note remembers a closed range, in place of an older closing of the same one.
func (g *Tracker) note(c closure) {
	g.closed = slices.DeleteFunc(g.closed, func(old closure) bool { return old.area == c.area && old.token <= c.token })
	g.closed = append(g.closed, c)
	if len(g.closed) > maxClosures {
		g.closed = g.closed[1:]
	}
}

// Count is the number of requests that entered a slice.
type Count struct {
	key   SliceKey
	count uint32
}

// Key returns the slice.
func (c Count) Key() SliceKey { return c.key }

// Count returns the number of requests.
func (c Count) Count() uint32 { return c.count }

// TakeCounts returns the requests that entered each slice since the last call. A
// slice that none entered is returned once more, with zero.
func (g *Tracker) TakeCounts() []Count {
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
