// Package tracker counts the requests in flight of each slice, so that a slice
// that moves away is released only after its last request has ended. Slices are
// split and merged while requests run, so requests are counted by the range of
// the hash space that they entered.
package tracker

import (
	"slices"
	"sync"

	"papayapass.dev/papayapass/internal/assigner"
)

// SliceKey identifies a slice.
type SliceKey struct {
	pool  string
	start uint64
}

// Pool returns the name of the pool.
func (k SliceKey) Pool() string { return k.pool }

// Start returns the first point of the slice.
func (k SliceKey) Start() uint64 { return k.start }

// Range is the part of a pool's hash space that a slice covers, from start to
// last inclusive.
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

// closedRange is a range that admits no request under its token or an earlier
// one.
type closedRange struct {
	keyRange Range
	token    assigner.Token
}

// maxClosedRanges bounds the closed ranges that are kept. A closed range only
// matters to requests that read the ownership table before it was closed.
const maxClosedRanges = 1024

// Tracker counts the requests in flight by the range that they entered.
type Tracker struct {
	mu        sync.Mutex
	inFlight  map[Range]int
	entered   map[SliceKey]uint32
	closed    []closedRange
	onDrained func()
}

// NewTracker returns a tracker that calls onDrained when the last request in
// flight of a range has ended and the range overlaps a closed one.
func NewTracker(onDrained func()) *Tracker {
	return &Tracker{inFlight: make(map[Range]int), entered: make(map[SliceKey]uint32), onDrained: onDrained}
}

// Enter counts a new request at a point. It reports false if a range with the
// point was closed under the same or a later token.
func (t *Tracker) Enter(keyRange Range, point uint64, token assigner.Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.closed {
		if token <= c.token && c.keyRange.overlaps(Range{pool: keyRange.pool, start: point, last: point}) {
			return false
		}
	}
	t.inFlight[keyRange]++
	t.entered[SliceKey{pool: keyRange.pool, start: keyRange.start}]++
	return true
}

// Leave removes a finished request from the count.
func (t *Tracker) Leave(keyRange Range) {
	if t.leave(keyRange) {
		t.onDrained()
	}
}

func (t *Tracker) leave(keyRange Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[keyRange]--
	if t.inFlight[keyRange] > 0 {
		return false
	}
	delete(t.inFlight, keyRange)
	return slices.ContainsFunc(t.closed, func(c closedRange) bool { return c.keyRange.overlaps(keyRange) })
}

// Close stops admitting requests of a range under a token or an earlier one,
// and reports whether none is in flight.
func (t *Tracker) Close(keyRange Range, token assigner.Token) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addClosed(closedRange{keyRange: keyRange, token: token})
	for r := range t.inFlight {
		if r.overlaps(keyRange) {
			return false
		}
	}
	return true
}

// addClosed stores a closed range, in place of an earlier entry for the same
// one.
func (t *Tracker) addClosed(c closedRange) {
	t.closed = slices.DeleteFunc(t.closed, func(old closedRange) bool { return old.keyRange == c.keyRange && old.token <= c.token })
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

// TakeCounts returns the number of requests that entered each slice since the
// last call. A slice that no request entered is returned once more, with zero.
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
