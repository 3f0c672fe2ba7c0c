package assigner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// settledTable returns a table of warmed-up servers whose slices are assigned,
// filled and balanced.
func settledTable(t *testing.T, servers int) *Table {
	table := &Table{cell: "cell", epoch: 1, version: 1}
	for i := range servers {
		table.SetMember(serverMember(i, 10))
	}
	settle(t, table, NewRestriction(nil, nil), 1000)
	return table
}

func serverMember(i int, allowance uint32) Member {
	m := NewMember(NodeID(fmt.Sprintf("n%02d", i)), "", "", fmt.Sprintf("z%d", i%3), 1)
	return m.WithServer(NewServer("pool", 10, allowance, true, true))
}

// settle plans and completes moves until nothing changes, and returns the
// number of moves.
func settle(t *testing.T, table *Table, r Restriction, budget int) int {
	var sequence uint32
	moved := 0
	for range 1000 {
		p := NewPlanner(table, r, noLoads{}, 2, &sequence)
		p.AddPools()
		p.Assign(func(string, uint64) bool { return false })
		p.Evacuate(8)
		p.Fill(8)
		budget -= p.Balance(budget)
		p.SetStandbys()
		if !p.Changed() {
			return moved
		}
		for _, pool := range table.pools {
			for _, s := range pool.slices {
				if s.next != "" {
					p.CompleteMove(pool.name, s.start, s.owner, s.token)
					moved++
				}
			}
		}
	}
	require.Fail(t, "planning does not converge")
	return 0
}

func owned(table *Table) map[NodeID]int {
	counts := make(map[NodeID]int)
	for _, s := range table.pools[0].slices {
		counts[s.owner]++
	}
	return counts
}

func TestSharesAreEven(t *testing.T) {
	for _, servers := range []int{1, 2, 5, 6, 12} {
		table := settledTable(t, servers)
		for id, n := range owned(table) {
			require.InDelta(t, SlicesPerPool/servers, n, 2, id)
		}
	}
}

func TestChurn(t *testing.T) {
	const servers = 6
	share := SlicesPerPool / servers
	tests := map[string]struct {
		change func(table *Table) Restriction
		limit  int
	}{
		"a server is added": {change: func(table *Table) Restriction {
			table.SetMember(serverMember(servers, 10))
			return NewRestriction(nil, nil)
		}, limit: share + 2},
		"a server is taken out": {change: func(*Table) Restriction {
			return NewRestriction(nil, []string{"n02"})
		}, limit: share + 2},
		"a zone is taken out": {change: func(*Table) Restriction {
			return NewRestriction([]string{"z1"}, nil)
		}, limit: 2*share + 4},
		"nothing": {change: func(*Table) Restriction { return NewRestriction(nil, nil) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := settledTable(t, servers)
			r := tt.change(table)
			require.LessOrEqual(t, settle(t, table, r, 0), tt.limit)
			for id, n := range owned(table) {
				m, _ := table.Member(id)
				require.True(t, r.Eligible(m), "ineligible member %s still owns %d slices", id, n)
			}
		})
	}
}

// TestColdServerGetsProportionalShare fills a server whose allowance is a fifth
// of the others'.
func TestColdServerGetsProportionalShare(t *testing.T) {
	table := settledTable(t, 3)
	table.SetMember(serverMember(3, 2))
	settle(t, table, NewRestriction(nil, nil), 0)
	require.LessOrEqual(t, owned(table)["n03"], SlicesPerPool*2/32+1)
}

func TestStandbysAreInOtherZones(t *testing.T) {
	table := settledTable(t, 6)
	counts := make(map[NodeID]int)
	for _, s := range table.pools[0].slices {
		owner, _ := table.Member(s.owner)
		standby, ok := table.Member(s.standby)
		require.True(t, ok)
		require.NotEqual(t, owner.zone, standby.zone)
		counts[s.standby]++
	}
	for id, n := range counts {
		require.Less(t, n, 2*SlicesPerPool/6, id)
	}
}

func TestLostServerGoesToStandbys(t *testing.T) {
	table := settledTable(t, 6)
	before := table.Clone()
	m, _ := table.Member("n02")
	table.SetMember(m.WithLost(true))
	var sequence uint32
	p := NewPlanner(table, NewRestriction(nil, nil), noLoads{}, 3, &sequence)
	p.Unassign("n02")
	p.Assign(func(string, uint64) bool { return false })
	for i, s := range table.pools[0].slices {
		old := before.pools[0].slices[i]
		if old.owner == "n02" {
			require.Equal(t, old.standby, s.owner)
			require.Greater(t, s.token, old.token)
			continue
		}
		require.Equal(t, old.owner, s.owner)
		require.Equal(t, old.token, s.token)
	}
}
