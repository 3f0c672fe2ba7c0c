package assigner

import "slices"

// MaxHotSlices is the maximum number of single-key slices per pool.
const MaxHotSlices = 64

// Split gives a key a slice of its own, with the owner, standby and token of
// the slice that contained it. It returns false if the key already has one, its
// slice has no owner or has a pending move, or the pool is unknown or has too
// many single-key slices.
func (p *Planner) Split(pool string, point uint64) bool {
	target := p.pool(pool)
	if target == nil || target.hotSlices() >= MaxHotSlices {
		return false
	}
	i := target.Find(point)
	if i < 0 || target.slices[i].owner == "" || target.slices[i].next != "" {
		return false
	}
	whole := target.slices[i]
	if whole.start == point && target.Last(i) == point {
		return false
	}
	var parts []Slice
	if whole.start < point {
		parts = append(parts, whole)
	}
	hot := whole
	hot.start = point
	parts = append(parts, hot)
	if point < target.Last(i) {
		rest := whole
		rest.start = point + 1
		parts = append(parts, rest)
	}
	target.slices = slices.Replace(target.slices, i, i+1, parts...)
	p.changed = true
	return true
}

// Merge joins slices that are no longer hot with their left neighbours if both
// have the same owner and no pending move. The joined slice gets a new token.
// mayMerge reports whether a slice is no longer hot.
func (p *Planner) Merge(mayMerge func(pool string, point uint64) bool) {
	for pi := range p.table.pools {
		pool := &p.table.pools[pi]
		for i := len(pool.slices) - 1; i > 0; i-- {
			s, left := pool.slices[i], &pool.slices[i-1]
			if !pool.wasSplit(i) || s.owner == "" || s.owner != left.owner || s.next != "" || left.next != "" {
				continue
			}
			if !mayMerge(pool.name, s.start) {
				continue
			}
			left.token = p.nextToken()
			pool.slices = slices.Delete(pool.slices, i, i+1)
			p.changed = true
		}
	}
}

// pool returns a pool that can be changed, or nil.
func (p *Planner) pool(name string) *Pool {
	for i := range p.table.pools {
		if p.table.pools[i].name == name {
			return &p.table.pools[i]
		}
	}
	return nil
}

// wasSplit reports whether the slice at an index starts at a point other than
// the pool's initial boundaries.
func (p Pool) wasSplit(i int) bool {
	const step = ^uint64(0)/SlicesPerPool + 1
	return p.slices[i].start%step != 0
}

// hotSlices returns the number of single-key slices.
func (p Pool) hotSlices() int {
	n := 0
	for i := range p.slices {
		if p.slices[i].start == p.Last(i) {
			n++
		}
	}
	return n
}
