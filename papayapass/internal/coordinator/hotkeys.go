package coordinator

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Limits for splitting and merging slices.
const (
	// hotShare is the fraction of the mean load of the pool's servers from which
	// a key gets its own slice, so that it can be moved without its neighbours.
	hotShare = 0.05
	// coolShare is the fraction of the mean load of the pool's servers below
	// which a key's slice may be merged again.
	coolShare = 0.01
	// coolTime is how long a key keeps its own slice after it was last hot.
	coolTime = time.Minute
)

// splitHotKeys gives reported hot keys their own slices.
func (c *Coordinator) splitHotKeys(reports []*wirepb.SliceLoad, now timer.Instant) {
	if len(reports) == 0 || c.draft != nil || !c.ready {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, r := range reports {
		rate := float64(r.GetRateMilli()) / milli
		key := loadKey{pool: r.GetPool(), start: r.GetStart()}
		if rate < hotShare*planner.MeanLoad(r.GetPool()) {
			continue
		}
		c.lastHot[key] = now
		if planner.Split(r.GetPool(), r.GetStart()) {
			c.loads.split(c.table, key, rate)
		}
	}
	if planner.Changed() {
		c.publish(t)
	}
}

// split distributes the load of a slice between a key and the rest of the
// slice.
func (t loadTable) split(table *assigner.Table, key loadKey, rate float64) {
	whole, ok := table.Lookup(key.pool, key.start)
	if !ok {
		return
	}
	parent := loadKey{pool: key.pool, start: whole.Start()}
	rest := max(0, t[parent]-rate)
	t[parent] = rest / 2
	t[loadKey{pool: key.pool, start: key.start + 1}] = rest / 2
	t[key] = rate
}

// mayMerge returns a function that reports whether a split-off slice may be
// merged.
func (c *Coordinator) mayMerge(planner *assigner.Planner, now timer.Instant) func(pool string, point uint64) bool {
	return func(pool string, point uint64) bool {
		key := loadKey{pool: pool, start: point}
		if now.Sub(c.lastHot[key]) < coolTime || now.Sub(c.lastHot[loadKey{pool: pool, start: point - 1}]) < coolTime {
			return false
		}
		return c.loads[key] < coolShare*planner.MeanLoad(pool)
	}
}
