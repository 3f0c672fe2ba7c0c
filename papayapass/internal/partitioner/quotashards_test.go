package partitioner

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// quotaSite returns a table with quota shards of 90 members in three zones, 6 of them large.
func quotaSite(t *testing.T) (*Table, map[NodeID]MemberState) {
	t.Helper()
	table, states := &Table{Epoch: 1, Version: 1}, make(map[NodeID]MemberState)
	for i := range 90 {
		m := Member{ID: NodeID(fmt.Sprintf("node-%02d", i)), Zone: fmt.Sprintf("zone-%d", i%3), Cores: 0.16}
		if i < 6 {
			m.Cores = 0.8
		}
		table.SetMember(m)
		states[m.ID] = MemberState{}
	}
	p := NewPlan(table, states, nil)
	p.AssignQuotaShards(nil)
	return p.Table(), states
}

func TestQuotaShardsAreSpread(t *testing.T) {
	table, states := quotaSite(t)
	owned, large := make(map[NodeID]int), 0
	for _, s := range table.QuotaShards {
		m, ok := table.Member(s.Owner)
		require.True(t, ok)
		require.Equal(t, fmt.Sprintf("zone-%d", s.Group), m.Zone)
		owned[m.ID]++
		if m.Cores > 0.5 {
			large++
		}
	}
	require.Greater(t, len(owned), 20)
	require.InDelta(t, 48*4.8/18.2, large, 7, "in proportion to the processor shares")
	p := NewPlan(table, states, nil)
	p.AssignQuotaShards(nil)
	require.False(t, p.Changed())
}

func TestQuotaShardsMoveOnlyFromLostOwners(t *testing.T) {
	for name, tt := range map[string]struct {
		state   MemberState
		unheard bool
		removed bool
		moves   bool
	}{
		"silent, may have a lease": {state: MemberState{Silent: true}},
		"zone out of service":      {state: MemberState{Excluded: true}},
		"lease expired":            {state: MemberState{Silent: true, LeaseExpired: true}, moves: true},
		"not heard after a restore": {
			state: MemberState{Silent: true}, unheard: true, moves: true,
		},
		"not a member": {removed: true, moves: true},
	} {
		t.Run(name, func(t *testing.T) {
			table, states := quotaSite(t)
			before := table.QuotaShards[0]
			states[before.Owner] = tt.state
			var unheard []NodeID
			if tt.unheard {
				unheard = append(unheard, before.Owner)
			}
			if tt.removed {
				table.RemoveMember(before.Owner)
			}
			p := NewPlan(table, states, nil)
			p.AssignQuotaShards(unheard)
			after := p.Table().QuotaShards[0]
			require.Equal(t, tt.moves, p.Changed())
			require.Equal(t, tt.moves, after.Owner != before.Owner)
			require.Equal(t, tt.moves, after.Token > before.Token)
			require.Equal(t, tt.moves, p.Table().TakesFrom(table, before.Owner))
			require.Equal(t, p.Table(), table.Apply(Diff(table, p.Table())))
		})
	}
}

func TestQuotaShardsWithoutCandidates(t *testing.T) {
	table, states := quotaSite(t)
	for id := range states {
		states[id] = MemberState{LeaseExpired: true}
	}
	p := NewPlan(table, states, nil)
	p.AssignQuotaShards(nil)
	for _, s := range p.Table().QuotaShards {
		require.Empty(t, s.Owner)
	}
	empty := NewPlan(&Table{}, nil, nil)
	empty.AssignQuotaShards(nil)
	require.False(t, empty.Changed())
}

// A deployment without quotas stores the tables that it stored before there were any.
func TestTableWithoutQuotasHasNoShards(t *testing.T) {
	text, err := json.Marshal(&Table{Epoch: 1, Version: 1})
	require.NoError(t, err)
	require.NotContains(t, string(text), "quota")
}
