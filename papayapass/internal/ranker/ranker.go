// Package ranker finds the hottest keys with bounded memory, by the
// space-saving algorithm: it keeps a fixed number of counters, and a key that has
// none takes over the smallest one.
package ranker

import (
	"container/heap"
	"sync"
)

// capacity is the number of counters. A key with more than a 256th of the
// requests is certain to have one.
const capacity = 256

// HotKey is a key's point in a pool's hash space, and how often it was seen. Count
// is too high by at most slack.
type HotKey struct {
	pool      string
	point     uint64
	count     uint64
	overcount uint64
	index     int
}

// Pool returns the name of the pool.
func (i HotKey) Pool() string { return i.pool }

// Point returns the key's point in the hash space.
func (i HotKey) Point() uint64 { return i.point }

// Count returns how often the key was certainly seen.
func (i HotKey) Count() uint64 { return i.count - i.overcount }

type counterKey struct {
	pool  string
	point uint64
}

// Ranker counts keys.
type Ranker struct {
	mu       sync.Mutex
	counters map[counterKey]*HotKey
	byCount  counterHeap
}

// NewRanker returns a ranker without counts.
func NewRanker() *Ranker {
	return &Ranker{counters: make(map[counterKey]*HotKey, capacity)}
}

// Observe counts a key.
func (r *Ranker) Observe(pool string, point uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := counterKey{pool: pool, point: point}
	if item, ok := r.counters[k]; ok {
		item.count++
		heap.Fix(&r.byCount, item.index)
		return
	}
	if len(r.byCount) < capacity {
		item := &HotKey{pool: pool, point: point, count: 1}
		r.counters[k] = item
		heap.Push(&r.byCount, item)
		return
	}
	smallest := r.byCount[0]
	delete(r.counters, counterKey{pool: smallest.pool, point: smallest.point})
	smallest.pool, smallest.point = pool, point
	smallest.overcount = smallest.count
	smallest.count++
	r.counters[k] = smallest
	heap.Fix(&r.byCount, 0)
}

// TakeHotKeys returns the keys that were certainly seen at least a number of times since
// the last call, and forgets all counts.
func (r *Ranker) TakeHotKeys(minCount uint64) []HotKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []HotKey
	for _, item := range r.byCount {
		if item.Count() >= minCount {
			out = append(out, *item)
		}
	}
	clear(r.counters)
	r.byCount = r.byCount[:0]
	return out
}

// counterHeap has the smallest count first.
type counterHeap []*HotKey

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds an item, for package heap.
func (h *counterHeap) Push(x any) {
	item := x.(*HotKey)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item, for package heap.
func (h *counterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
