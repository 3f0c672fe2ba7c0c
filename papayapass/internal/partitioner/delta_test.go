package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireFullCoverage checks that the ranges of a table cover each key exactly once.
func requireFullCoverage(t *testing.T, table *Table) {
	t.Helper()
	for _, d := range table.Divisions {
		next := 0
		for _, r := range d.Ranges {
			require.Equal(t, next, int(r.First))
			require.LessOrEqual(t, r.First, r.Last)
			next = int(r.Last) + 1
		}
		require.Equal(t, KeyCount, next)
	}
}

// Plans with random joins, losses, moves and hot keys. Each step's delta must produce
// the same table, and each table must cover all keys, with tokens that never decrease.
func TestDeltasProduceTheSameTable(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		table := &Table{Epoch: 3, Version: 1}
		states := make(map[NodeID]MemberState)
		loads := map[string]*Loads{"permits": NewLoads()}
		for step := range 60 {
			id := NodeID(fmt.Sprintf("node-%d", r.IntN(8)))
			next := table.Clone()
			next.SetMember(Member{ID: id, Zone: "a", Server: Server{ID: string(id), StartedAtMillis: int64(r.IntN(3)), Service: "permits", Slots: 10, Divided: true, Leaving: r.IntN(6) == 0}})
			states[id] = MemberState{LeaseExpired: r.IntN(8) == 0, Excluded: r.IntN(10) == 0}
			hot := r.IntN(KeyCount - 200)
			for k := range 200 {
				loads["permits"].Add(uint16(hot+k), r.Float64()/20)
			}
			loads["permits"].Decay(0.9)
			p := NewPlan(next, states, loads)
			p.FreeLost()
			var released []Release
			for _, d := range next.Divisions {
				for _, rg := range d.Ranges {
					if rg.NextOwner != "" && r.IntN(2) == 0 {
						released = append(released, Release{Service: d.Service, First: rg.First, Last: rg.Last, Token: rg.Token, Handover: "h"})
					}
				}
			}
			p.ApplyReleases(released)
			p.Divide("permits")
			p.Assign()
			p.Evacuate()
			p.Balance()
			p.Merge()
			next = p.Table()
			next.Version = table.Version + 1
			requireFullCoverage(t, next)
			require.GreaterOrEqual(t, next.LastToken, table.LastToken)
			requireTokensRise(t, table, next)
			if step%3 == 0 { // also deltas over more than one step
				applied := table.Apply(Diff(table, next))
				require.Equal(t, next, applied)
			}
			table = next
		}
	}
}

// requireTokensRise checks that a key with a new owner has a higher token.
func requireTokensRise(t *testing.T, before, after *Table) {
	t.Helper()
	old, ok := before.Division("permits")
	if !ok {
		return
	}
	now, _ := after.Division("permits")
	for k := 0; k < KeyCount; k += 37 {
		a, b := old.Ranges[old.Find(uint16(k))], now.Ranges[now.Find(uint16(k))]
		require.GreaterOrEqual(t, b.Token, a.Token)
		if b.Owner != "" && (a.Owner != b.Owner || a.Server != b.Server || a.ServerStartedAtMillis != b.ServerStartedAtMillis) {
			require.Greater(t, b.Token, a.Token)
		}
	}
}

func TestApplyRejectsDeltaOfAnotherTable(t *testing.T) {
	a := &Table{Epoch: 1, Version: 4}
	require.Nil(t, a.Apply(&Delta{Epoch: 1, From: 3, Version: 5}))
	require.Nil(t, a.Apply(&Delta{Epoch: 2, From: 4, Version: 5}))
}
