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

// closedRange is a range that lets nothing in under a token or an earlier one.
type closedRange struct {
	keys  Range
	token assigner.Token
}

// maxClosedRanges bounds the closed ranges that are remembered. One counts only for
// requests that looked the table up before it was closed.
const maxClosedRanges = 1024

// Tracker counts the requests in progress by the slices that they entered.
type Tracker struct {
	mu        sync.Mutex
	inFlight  map[Range]int
	entered   map[SliceKey]uint32
	closed    []closedRange
	onDrained func()
}

// NewTracker returns a gater that calls drained when a request has ended in a range
// that is closed.
func NewTracker(onDrained func()) *Tracker {
	return &Tracker{inFlight: make(map[Range]int), entered: make(map[SliceKey]uint32), onDrained: onDrained}
}

// Enter counts a request of a point in, unless a range with the point was closed
// under the same or a later token.
func (t *Tracker) Enter(keys Range, point uint64, token assigner.Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.closed {
		if token <= c.token && c.keys.overlaps(Range{pool: keys.pool, start: point, last: point}) {
			return false
		}
	}
	t.inFlight[keys]++
	t.entered[SliceKey{pool: keys.pool, start: keys.start}]++
	return true
}

// Leave counts a request out.
func (t *Tracker) Leave(keys Range) {
	if t.leave(keys) {
		t.onDrained()
	}
}

func (t *Tracker) leave(keys Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[keys]--
	if t.inFlight[keys] > 0 {
		return false
	}
	delete(t.inFlight, keys)
	return slices.ContainsFunc(t.closed, func(c closedRange) bool { return c.keys.overlaps(keys) })
}

// Close lets no more requests of a range in under a token or an earlier one, and
// says whether none is running.
func (t *Tracker) Close(keys Range, token assigner.Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addClosed(closedRange{keys: keys, token: token})
	for r := range t.inFlight {
		if r.overlaps(keys) {
			return false
		}
	}
	return true
}

// addClosed remembers a closed range, in place of an older closing of the same one.
func (t *Tracker) addClosed(c closedRange) {
	t.closed = slices.DeleteFunc(t.closed, func(old closedRange) bool { return old.keys == c.keys && old.token <= c.token })
	t.closed = append(t.closed, c)
	if len(t.closed) > maxClosedRanges {
		t.closed = t.closed[1:]
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
func (t *Tracker) TakeCounts() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Count, 0, len(t.entered))
	for k, n := range t.entered {
		out = append(out, Count{key: k, count: n})
		if n == 0 {
			delete(t.entered, k)
			continue
		}
		t.entered[k] = 0
	}
	return out
}
