// Package deduplicator records calls that must not run twice: running calls and
// the answers of finished ones, bounded in number, size and age.
package deduplicator

import (
	"container/list"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Bounds of the record.
const (
	// MaxEntries bounds the number of recorded calls.
	MaxEntries = 20_000
	// MaxBytes bounds the total size of the recorded answers' bodies.
	MaxBytes = 16 << 20
	// Retention is how long a finished call is kept.
	Retention = 5 * time.Minute
)

// Key identifies a call: by its origin node and number, or by its pool, account
// and idempotency key.
type Key struct {
	origin         uint64
	call           uint64
	scope          string
	idempotencyKey string
}

// NewCallKey returns the key of a call between nodes.
func NewCallKey(origin, call uint64) Key { return Key{origin: origin, call: call} }

// NewIdempotencyKey returns the key for a caller's idempotency key.
func NewIdempotencyKey(pool string, account, key []byte) Key {
	return Key{scope: pool + "/" + string(account), idempotencyKey: string(key)}
}

// entry is a recorded call. done is closed when the call ends.
type entry struct {
	key     Key
	answer  *wirepb.Answer
	done    chan struct{}
	endedAt timer.Instant
	size    int
}

// Deduplicator records calls by key.
type Deduplicator struct {
	clock   timer.Clock
	mu      sync.Mutex
	entries map[Key]*list.Element
	byAge   *list.List
	bytes   int
}

// NewDeduplicator returns an empty deduplicator.
func NewDeduplicator(clock timer.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, entries: make(map[Key]*list.Element), byAge: list.New()}
}

// Begin records the start of a call. If the call is already recorded, it
// returns false and a channel that is closed when the call ends.
func (d *Deduplicator) Begin(k Key) (<-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if element, ok := d.entries[k]; ok {
		return element.Value.(*entry).done, false
	}
	d.evict()
	e := &entry{key: k, done: make(chan struct{})}
	d.entries[k] = d.byAge.PushBack(e)
	return e.done, true
}

// End records the answer of a call. A call that certainly did not run is
// removed, so that it may be sent again.
func (d *Deduplicator) End(k Key, answer *wirepb.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, ok := d.entries[k]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	close(e.done)
	if answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		d.remove(element)
		return
	}
	e.answer = answer
	e.endedAt = d.clock.Now()
	e.size = len(answer.GetBody())
	d.bytes += e.size
	d.byAge.MoveToBack(element)
}

// Reject records that an unseen call must not run if it arrives late. It
// reports false if the call is already recorded.
func (d *Deduplicator) Reject(k Key) bool {
	if _, isNew := d.Begin(k); !isNew {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[k].Value.(*entry)
	e.answer = &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_LOST_CONNECTION}
	e.endedAt = d.clock.Now()
	close(e.done)
	return true
}

// Done returns a channel that is closed when a call ends, and reports whether
// the call is recorded.
func (d *Deduplicator) Done(k Key) (<-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, ok := d.entries[k]
	if !ok {
		return nil, false
	}
	return element.Value.(*entry).done, true
}

// Result returns the answer of a finished call, or nil.
func (d *Deduplicator) Result(k Key) *wirepb.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, ok := d.entries[k]
	if !ok {
		return nil
	}
	return element.Value.(*entry).answer
}

// Len returns the number of recorded calls.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byAge.Len()
}

// evict removes finished calls that are older than Retention, and the oldest
// ones beyond the bounds. Running calls are never removed. The lock is held.
func (d *Deduplicator) evict() {
	now := d.clock.Now()
	element := d.byAge.Front()
	for element != nil {
		next := element.Next()
		e := element.Value.(*entry)
		full := d.byAge.Len() >= MaxEntries || d.bytes > MaxBytes
		if e.answer != nil && !full && now.Sub(e.endedAt) < Retention {
			return
		}
		if e.answer != nil {
			d.remove(element)
		}
		element = next
	}
}

func (d *Deduplicator) remove(element *list.Element) {
	e := element.Value.(*entry)
	d.byAge.Remove(element)
	delete(d.entries, e.key)
	d.bytes -= e.size
}
