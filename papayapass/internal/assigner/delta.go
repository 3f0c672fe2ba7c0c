package assigner

import (
	"slices"

	"papayapass.dev/papayapass/internal/wirepb"
)

// changeSet holds everything that differs in any step between consecutive
// tables.
type changeSet struct {
	members    map[NodeID]struct{}
	slices     map[string]map[uint64]struct{}
	wholePools map[string]struct{}
	voters     bool
}

// Diff returns the delta from the first to the last of consecutive tables of
// one epoch. It includes values that were changed and changed back, so it
// applies to each of the tables.
func Diff(tables ...*Table) *wirepb.Delta {
	first, last := tables[0], tables[len(tables)-1]
	c := changeSet{
		members: make(map[NodeID]struct{}), slices: make(map[string]map[uint64]struct{}), wholePools: make(map[string]struct{}),
	}
	for i := 1; i < len(tables); i++ {
		c.add(tables[i-1], tables[i])
	}
	return c.encode(first, last)
}

// add records the differences between two tables.
func (c *changeSet) add(from, to *Table) {
	for _, m := range to.members {
		if old, ok := from.Member(m.id); !ok || old != m {
			c.members[m.id] = struct{}{}
		}
	}
	for _, m := range from.members {
		if _, ok := to.Member(m.id); !ok {
			c.members[m.id] = struct{}{}
		}
	}
	for _, p := range to.pools {
		c.addPool(from, p)
	}
	c.voters = c.voters || from.votersVersion != to.votersVersion
}

func (c *changeSet) addPool(from *Table, p Pool) {
	old, ok := from.Pool(p.name)
	if !ok || !sameStarts(old, p) {
		c.wholePools[p.name] = struct{}{}
		return
	}
	for i, s := range p.slices {
		if old.slices[i] == s {
			continue
		}
		if c.slices[p.name] == nil {
			c.slices[p.name] = make(map[uint64]struct{})
		}
		c.slices[p.name][s.start] = struct{}{}
	}
}

// encode returns the newest values of everything that differs.
func (c *changeSet) encode(first, last *Table) *wirepb.Delta {
	d := &wirepb.Delta{Epoch: uint64(last.epoch), From: first.version, To: last.version}
	for id := range c.members {
		if m, ok := last.Member(id); ok {
			d.Members = append(d.Members, encodeMember(m))
		} else {
			d.Removed = append(d.Removed, string(id))
		}
	}
	for _, p := range last.pools {
		c.encodePool(d, p)
	}
	if c.voters {
		d.VotersVersion = last.votersVersion
		for _, v := range last.voters {
			d.Voters = append(d.Voters, string(v))
		}
	}
	return d
}

func (c *changeSet) encodePool(d *wirepb.Delta, p Pool) {
	if _, ok := c.wholePools[p.name]; ok {
		d.WholePools = append(d.WholePools, encodePool(p.name, p.slices))
		return
	}
	var changed []Slice
	for _, s := range p.slices {
		if _, ok := c.slices[p.name][s.start]; ok {
			changed = append(changed, s)
		}
	}
	if len(changed) > 0 {
		d.Pools = append(d.Pools, encodePool(p.name, changed))
	}
}

// sameStarts reports whether the slices of two pools have the same starts.
func sameStarts(a, b Pool) bool {
	return slices.EqualFunc(a.slices, b.slices, func(x, y Slice) bool { return x.start == y.start })
}

// Apply returns the table with a delta applied. A delta carries new values, so
// it applies to every version in its range. Apply returns false if the delta
// does not apply.
func (t *Table) Apply(d *wirepb.Delta) (*Table, bool) {
	if Epoch(d.GetEpoch()) != t.epoch || t.version < d.GetFrom() || t.version >= d.GetTo() {
		return nil, false
	}
	next := t.Clone()
	next.version = d.GetTo()
	for _, m := range d.GetMembers() {
		next.SetMember(decodeMember(m))
	}
	for _, id := range d.GetRemoved() {
		next.RemoveMember(NodeID(id))
	}
	for _, p := range d.GetWholePools() {
		next.setPool(decodePool(p))
	}
	for _, p := range d.GetPools() {
		if !next.setSlices(p) {
			return nil, false
		}
	}
	if d.GetVotersVersion() != 0 {
		next.votersVersion = d.GetVotersVersion()
		next.voters = nil
		for _, v := range d.GetVoters() {
			next.voters = append(next.voters, NodeID(v))
		}
	}
	return next, true
}

// setPool adds or replaces a pool, keeping the pools ordered by name.
func (t *Table) setPool(p Pool) {
	i, ok := slices.BinarySearchFunc(t.pools, p.name, func(q Pool, name string) int {
		switch {
		case q.name < name:
			return -1
		case q.name > name:
			return 1
		default:
			return 0
		}
	})
	if ok {
		t.pools[i] = p
		return
	}
	t.pools = slices.Insert(t.pools, i, p)
}

// setSlices replaces slices of a pool and returns false if one does not exist.
func (t *Table) setSlices(m *wirepb.Pool) bool {
	p, ok := t.Pool(m.GetName())
	if !ok {
		return false
	}
	for _, changed := range m.GetSlices() {
		s := decodeSlice(changed)
		i := p.Find(s.start)
		if i < 0 || p.slices[i].start != s.start {
			return false
		}
		p.slices[i] = s
	}
	return true
}
