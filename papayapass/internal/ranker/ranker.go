// Package ranker finds the hottest keys in bounded memory with the space-saving
// algorithm: it keeps a fixed number of counters, and a key without one
// replaces the key with the lowest count.
package ranker

import (
	"container/heap"
	"sync"
)

// capacity is the number of counters. A key with more than 1/256 of the
// requests is certain to have one.
const capacity = 256

// HotKey is the count of one key. count is too high by at most overcount.
type HotKey struct {
	pool      string
	point     uint64
	count     uint64
	overcount uint64
	index     int
}

// Pool returns the name of the pool.
func (k HotKey) Pool() string { return k.pool }

// Point returns the key's point in the hash space.
func (k HotKey) Point() uint64 { return k.point }

// Count returns a lower bound on how often the key was observed.
func (k HotKey) Count() uint64 { return k.count - k.overcount }

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

// NewRanker returns an empty ranker.
func NewRanker() *Ranker {
	return &Ranker{counters: make(map[counterKey]*HotKey, capacity)}
}

// Observe counts a key.
func (r *Ranker) Observe(pool string, point uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := counterKey{pool: pool, point: point}
	if counter, ok := r.counters[k]; ok {
		counter.count++
		heap.Fix(&r.byCount, counter.index)
		return
	}
	if len(r.byCount) < capacity {
		counter := &HotKey{pool: pool, point: point, count: 1}
		r.counters[k] = counter
		heap.Push(&r.byCount, counter)
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

// TakeHotKeys returns the keys that were certainly observed at least minCount
// times since the last call, and resets all counts.
func (r *Ranker) TakeHotKeys(minCount uint64) []HotKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []HotKey
	for _, counter := range r.byCount {
		if counter.Count() >= minCount {
			out = append(out, *counter)
		}
	}
	clear(r.counters)
	r.byCount = r.byCount[:0]
	return out
}

// counterHeap is a min-heap by count.
type counterHeap []*HotKey

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }
func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	counter := x.(*HotKey)
	counter.index = len(*h)
	*h = append(*h, counter)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
