package partitioner

import "slices"

// Delta is the difference between two tables of one epoch.
type Delta struct {
	Epoch     uint64     `json:"epoch"`
	From      uint64     `json:"from"`
	Version   uint64     `json:"version"`
	LastToken uint64     `json:"lastToken"`
	OwnLease  bool       `json:"ownLease,omitempty"`
	Founding  Founding   `json:"founding,omitempty"`
	Unheard   []NodeID   `json:"unheard,omitempty"`
	Suspects  []Suspect  `json:"suspects,omitempty"` // all of them
	Members   []Member   `json:"members,omitempty"`
	Removed   []NodeID   `json:"removed,omitempty"`
	Divisions []Division `json:"divisions,omitempty"` // only the changed ranges
	// QuotaShards are the changed shards.
	QuotaShards []QuotaShard `json:"quotaShards,omitempty"`
}

// Diff returns the delta from an older table to a newer one of the same epoch.
func Diff(from, to *Table) *Delta {
	d := &Delta{
		Epoch: to.Epoch, From: from.Version, Version: to.Version, LastToken: to.LastToken, OwnLease: to.HasOwnLease,
		Founding: to.Founding, Unheard: to.Unheard, Suspects: to.Suspects,
	}
	for _, m := range to.Members {
		if old, ok := from.Member(m.ID); !ok || old != m {
			d.Members = append(d.Members, m)
		}
	}
	for _, m := range from.Members {
		if _, ok := to.Member(m.ID); !ok {
			d.Removed = append(d.Removed, m.ID)
		}
	}
	for _, division := range to.Divisions {
		old, _ := from.Division(division.Service)
		var changed []Range
		for _, r := range division.Ranges {
			if len(old.Ranges) == 0 || old.Ranges[old.Find(r.First)] != r {
				changed = append(changed, r)
			}
		}
		if len(changed) > 0 {
			d.Divisions = append(d.Divisions, Division{Service: division.Service, Ranges: changed})
		}
	}
	for _, s := range to.QuotaShards {
		if old, ok := from.QuotaShard(s.Group, s.Index); !ok || old != s {
			d.QuotaShards = append(d.QuotaShards, s)
		}
	}
	return d
}

// Apply returns the table that results from a delta, or nil when the delta is based on
// another table.
func (t *Table) Apply(d *Delta) *Table {
	if t.Epoch != d.Epoch || t.Version != d.From {
		return nil
	}
	next := t.Clone()
	next.Version, next.LastToken, next.HasOwnLease = d.Version, d.LastToken, d.OwnLease
	next.Founding, next.Unheard, next.Suspects = d.Founding, d.Unheard, d.Suspects
	for _, id := range d.Removed {
		next.RemoveMember(id)
	}
	for _, m := range d.Members {
		next.SetMember(m)
	}
	for _, changed := range d.Divisions {
		next.overlay(changed)
	}
	for _, s := range d.QuotaShards {
		next.setQuotaShard(s)
	}
	return next
}

// overlay replaces the ranges of a service that overlap with changed ones. Unchanged
// ranges never overlap, since the ranges of a table cover each key exactly once.
func (t *Table) overlay(changed Division) {
	i := slices.IndexFunc(t.Divisions, func(d Division) bool { return d.Service == changed.Service })
	if i < 0 {
		t.Divisions = append(t.Divisions, changed)
		return
	}
	d := &t.Divisions[i]
	kept := slices.DeleteFunc(d.Ranges, func(r Range) bool {
		j := changed.Find(r.First)
		return j < len(changed.Ranges) && changed.Ranges[j].First <= r.Last
	})
	d.Ranges = append(kept, changed.Ranges...)
	slices.SortFunc(d.Ranges, func(a, b Range) int { return int(a.First) - int(b.First) })
}
