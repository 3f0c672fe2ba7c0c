// Package deduplicator remembers calls that must not run twice, within a bound of
// entries and time: what runs, and the answers of what has ended.
package deduplicator

import (
	"container/list"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Bounds of the memory.
const (
	// MaxEntries is the number of calls that are remembered.
	MaxEntries = 20_000
	// MaxBytes is the size of all answers that are remembered.
	MaxBytes = 16 << 20
	// Retention is how long an ended call is remembered.
	Retention = 5 * time.Minute
)

// Key names a call: by the node and number that sent it, or by the account and
// the idempotency key that its caller gave it.
type Key struct {
	origin  uint64
	call    uint64
	account string
	name    string
}

// NewCallKey returns the name of a call on the wire.
func NewCallKey(origin, call uint64) Key { return Key{origin: origin, call: call} }

// NewIdempotencyKey returns the name that a caller gave its request.
func NewIdempotencyKey(pool string, account, name []byte) Key {
	return Key{account: pool + "/" + string(account), name: string(name)}
}

// entry is a remembered call. Done is closed at its end.
type entry struct {
	key     Key
	answer  *wirepb.Answer
	done    chan struct{}
	endedAt timer.Instant
	size    int
}

// Deduplicator remembers calls.
type Deduplicator struct {
	clock   timer.Clock
	mu      sync.Mutex
	entries map[Key]*list.Element
	byAge   *list.List
	bytes   int
}

// NewDeduplicator returns an empty memory.
func NewDeduplicator(clock timer.Clock) *Deduplicator {
	return &Deduplicator{clock: clock, entries: make(map[Key]*list.Element), byAge: list.New()}
}

// Begin notes the start of a call. When the call is remembered it returns false,
// and a channel that is closed at its end.
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

// End notes the answer of a call that began here. One that certainly did not run
// is forgotten, so that it may be sent again.
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

// Reject notes that a call that was never seen must not be run when it arrives
// late. It says false when the call is remembered already.
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

// Done returns a channel that is closed at the end of a call; it says false
// when the call is not remembered.
func (d *Deduplicator) Done(k Key) (<-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, ok := d.entries[k]
	if !ok {
		return nil, false
	}
	return element.Value.(*entry).done, true
}

// Result returns the answer of a call that has ended, or nil.
func (d *Deduplicator) Result(k Key) *wirepb.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	element, ok := d.entries[k]
	if !ok {
		return nil
	}
	return element.Value.(*entry).answer
}

// Len returns the number of calls that are remembered.
func (d *Deduplicator) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byAge.Len()
}

// evict forgets ended calls that are too old, and the oldest ones beyond the
// bounds. Calls that run are never forgotten. The lock is held.
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
