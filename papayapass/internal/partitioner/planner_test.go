package partitioner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

const permits = "permits"

// testPool returns a table of n members with ten slots each, divided evenly.
func testPool(t testing.TB, n int) (*Table, map[NodeID]MemberState, map[string]*Loads) {
	t.Helper()
	table := &Table{Epoch: 1, Version: 1}
	states := make(map[NodeID]MemberState)
	for i := range n {
		id := NodeID(fmt.Sprintf("node-%d", i))
		table.SetMember(Member{ID: id, Zone: fmt.Sprintf("zone-%d", i%3), Server: Server{ID: "s-" + string(id), StartedAtMillis: 1, Service: permits, Slots: 10, Divided: true}})
		states[id] = MemberState{}
	}
	loads := map[string]*Loads{permits: NewLoads()}
	p := NewPlan(table, states, loads)
	p.Divide(permits)
	return p.Table(), states, loads
}

// completeMoves releases all moving ranges, and plans until nothing changes.
func completeMoves(table *Table, states map[NodeID]MemberState, loads map[string]*Loads) (*Table, int) {
	moved := 0
	for range 20 {
		p := NewPlan(table, states, loads)
		var released []Release
		for _, r := range table.Divisions[0].Ranges {
			if r.NextOwner != "" {
				released = append(released, Release{Service: permits, First: r.First, Last: r.Last, Token: r.Token, Handover: "h"})
				moved += int(r.Last) - int(r.First) + 1
			}
		}
		p.FreeLost()
		p.ApplyReleases(released)
		p.Assign()
		p.Evacuate()
		p.Balance()
		p.Merge()
		if !p.Changed() {
			break
		}
		table = p.Table()
	}
	return table, moved
}

func utilizationOf(table *Table, loads *Loads, id NodeID) float64 {
	sum := 0.0
	for _, r := range table.Owned(id) {
		sum += loads.Sum(r.First, r.Last)
	}
	return sum / 10
}

// 200 neighbouring keys cause as much work as two backend servers can run (hot_key of
// the sites). The keys must be spread, few others may move, and then nothing more.
func TestHotRunIsSpread(t *testing.T) {
	table, states, loads := testPool(t, 5)
	l := loads[permits]
	for k := range KeyCount {
		l.Add(uint16(k), 15.0/KeyCount) // 30 % utilization without the hot keys
	}
	for k := range 200 {
		l.Add(uint16(9000+k), 0.1)
	}
	require.Greater(t, utilizationOf(table, l, "node-0"), 2.0, "overloaded before")
	first := NewPlan(table, states, loads)
	first.Balance()
	for _, r := range first.Table().Owned("node-0") {
		if r.NextOwner != "" {
			require.GreaterOrEqual(t, r.First, uint16(9000), "the hottest keys go first")
			require.Less(t, r.Last, uint16(9200))
		}
	}
	cold := len(keysOutsideHotRun(table, "node-0"))
	table, _ = completeMoves(table, states, loads)
	for i := range 5 {
		require.Less(t, utilizationOf(table, l, NodeID(fmt.Sprintf("node-%d", i))), 1.0)
	}
	require.Greater(t, len(keysOutsideHotRun(table, "node-0")), cold/2, "the owner keeps most of its other keys")
	again, more := completeMoves(table, states, loads)
	require.Zero(t, more, "nothing moves back and forth")
	require.Equal(t, table.Divisions, again.Divisions)
}

// keysOutsideHotRun returns the keys of a node other than the hot ones.
func keysOutsideHotRun(table *Table, id NodeID) []int {
	var out []int
	for _, r := range table.Owned(id) {
		for k := int(r.First); k <= int(r.Last); k++ {
			if k < 9000 || k >= 9200 {
				out = append(out, k)
			}
		}
	}
	return out
}

func TestIdlePoolsAreNotRebalanced(t *testing.T) {
	table, states, loads := testPool(t, 5)
	for k := range 100 {
		loads[permits].Add(uint16(k), 0.03) // 3 of 10 slots
	}
	p := NewPlan(table, states, loads)
	p.Balance()
	require.False(t, p.Changed())
}

func TestLostOwnersKeysAreSpread(t *testing.T) {
	table, states, loads := testPool(t, 5)
	states["node-2"] = MemberState{LeaseExpired: true, Silent: true}
	p := NewPlan(table, states, loads)
	p.FreeLost()
	p.Assign()
	next := p.Table()
	require.Empty(t, next.Owned("node-2"))
	receiving := 0
	for _, m := range next.Members {
		if len(next.Owned(m.ID)) > len(table.Owned(m.ID)) {
			receiving++
		}
	}
	require.Equal(t, 4, receiving, "each other member gets a part")
	requireTokensRise(t, table, next)
}

func TestEvacuatedOwnersReleaseTheirKeysFirst(t *testing.T) {
	cases := map[string]func(*Table, map[NodeID]MemberState){
		"zone out":       func(_ *Table, s map[NodeID]MemberState) { s["node-1"] = MemberState{Excluded: true} },
		"server leaves":  func(tb *Table, _ map[NodeID]MemberState) { changeServer(tb, func(s *Server) { s.Leaving = true }) },
		"server is down": func(tb *Table, _ map[NodeID]MemberState) { changeServer(tb, func(s *Server) { s.Down = true }) },
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			table, states, loads := testPool(t, 4)
			arrange(table, states)
			p := NewPlan(table, states, loads)
			p.Evacuate()
			for _, r := range p.Table().Owned("node-1") {
				require.NotEmpty(t, r.NextOwner)
				require.NotEqual(t, NodeID("node-1"), r.NextOwner)
			}
			require.NotEmpty(t, p.Table().Owned("node-1"), "it owns them until it has released them")
			table, _ = completeMoves(p.Table(), states, loads)
			require.Empty(t, table.Owned("node-1"))
			requireFullCoverage(t, table)
		})
	}
}

// A server with three popular ranges leaves a pool of 40. In rolling stops of the grown
// pptia site, such ranges were split so far that 450 releases came within a second. Each
// part must have enough work to justify its release.
func TestEvacuationSplitsIntoFewParts(t *testing.T) {
	table, states, loads := testPool(t, 40)
	changeServer(table, func(s *Server) { s.Leaving = true })
	r := table.Owned("node-1")[0]
	p := NewPlan(table, states, loads)
	p.splitOff(&p.table.Divisions[0], 1, r.First+500, r.First+599, "")
	for k := r.First; k <= r.Last; k++ {
		loads[permits].Add(k, 9.0/float64(int(r.Last)-int(r.First)+1))
	}
	p.Evacuate()
	parts := 0
	for _, owned := range p.Table().Owned("node-1") {
		require.NotEmpty(t, owned.NextOwner)
		parts++
	}
	require.LessOrEqual(t, parts, 9+3, "one part per busy slot, and one more for each range")
	require.GreaterOrEqual(t, parts, 9, "the work is spread")
}

// A node that has just restarted has no data about its backend server yet. Its keys must
// stay.
func TestKeysStayWhileServerIsUnknown(t *testing.T) {
	table, states, loads := testPool(t, 4)
	changeServer(table, func(s *Server) { *s = Server{Service: permits} })
	p := NewPlan(table, states, loads)
	p.FreeLost()
	p.Evacuate()
	require.False(t, p.Changed())
}

func TestRestartedServerGetsNewTokens(t *testing.T) {
	table, states, loads := testPool(t, 4)
	before := table.Owned("node-1")[0].Token
	changeServer(table, func(s *Server) { s.StartedAtMillis = 2 })
	p := NewPlan(table, states, loads)
	p.FreeLost()
	p.Assign()
	for _, r := range p.Table().Owned("node-1") {
		require.Greater(t, r.Token, before)
		require.Equal(t, int64(2), r.ServerStartedAtMillis)
	}
	requireTokensRise(t, table, p.Table())
}

func changeServer(t *Table, f func(*Server)) {
	m, _ := t.Member("node-1")
	f(&m.Server)
	t.SetMember(m)
}

func TestHottestFindsTheShortestRun(t *testing.T) {
	l := NewLoads()
	for k := 100; k < 110; k++ {
		l.Add(uint16(k), 1)
	}
	l.Add(500, 4)
	from, to, ok := l.HottestRun(0, 1000, 4)
	require.True(t, ok)
	require.Equal(t, []uint16{500, 500}, []uint16{from, to})
	from, to, ok = l.HottestRun(0, 400, 5)
	require.True(t, ok)
	require.Equal(t, 5, int(to)-int(from)+1)
	_, _, ok = l.HottestRun(600, 700, 1)
	require.False(t, ok)
}

// One key causes more work than any backend server can run (hot_key with one key). It
// cannot be divided, so the other keys must leave its owner.
func TestOtherKeysLeaveOwnerOfOverloadedKey(t *testing.T) {
	table, states, loads := testPool(t, 5)
	l := loads[permits]
	for k := range KeyCount {
		l.Add(uint16(k), 20.0/KeyCount)
	}
	l.Add(6000, 12)
	table, _ = completeMoves(table, states, loads)
	r, _ := table.Range(permits, 6000)
	require.Equal(t, NodeID("node-0"), r.Owner, "moving it would only overload another owner")
	rest := utilizationOf(table, l, "node-0") - l.KeyWork(6000)/10
	require.Less(t, rest, 0.1, "its other keys have moved")
}

// At low utilization, a slow backend server is late with requests that a fast one
// answers in time. It must get less work then, but its full share in an overload.
func TestSlowServersGetLessWorkAtLowUtilization(t *testing.T) {
	for name, tt := range map[string]struct {
		use   float64
		moves bool
	}{"quiet": {0.35, true}, "overload": {0.95, false}} {
		t.Run(name, func(t *testing.T) {
			table, states, loads := testPool(t, 4)
			states["node-1"] = MemberState{Speed: 0.5}
			states["node-2"] = MemberState{Speed: 1.5}
			for k := range KeyCount {
				loads[permits].Add(uint16(k), tt.use*40/KeyCount)
			}
			before := utilizationOf(table, loads[permits], "node-1")
			table, _ = completeMoves(table, states, loads)
			require.Equal(t, tt.moves, utilizationOf(table, loads[permits], "node-1") < 0.9*before)
			require.Equal(t, tt.moves, utilizationOf(table, loads[permits], "node-2") > 1.1*before)
		})
	}
}

// A large service must spread many hot neighbouring keys in a few rounds.
func TestLargeServicesMoveMoreRangesAtOnce(t *testing.T) {
	table, states, loads := testPool(t, 40)
	l := loads[permits]
	for k := range KeyCount {
		l.Add(uint16(k), 160.0/KeyCount)
	}
	for k := range 600 {
		l.Add(uint16(18200+k), 0.2)
	}
	p := NewPlan(table, states, loads)
	p.Balance()
	moving := 0
	for _, r := range p.Table().Divisions[0].Ranges {
		if r.NextOwner != "" {
			moving++
		}
	}
	require.Equal(t, 40/membersPerMove, moving)
}

// A backend server with a small share of all slots was given all keys, beside their owners.
func TestFirstDivisionGivesEachKeyOneOwner(t *testing.T) {
	for name, slots := range map[string][]int{
		"smallest first": {1, 1 << 16}, "smallest last": {1 << 16, 1}, "small ones in between": {1, 1, 1 << 16, 1, 1 << 16, 1}, "even": {10, 10, 10},
	} {
		t.Run(name, func(t *testing.T) {
			table := &Table{Epoch: 1, Version: 1}
			states := make(map[NodeID]MemberState)
			for i, n := range slots {
				id := NodeID(fmt.Sprintf("node-%d", i))
				table.SetMember(Member{ID: id, Server: Server{ID: "s-" + string(id), Service: permits, Slots: n, Divided: true}})
				states[id] = MemberState{}
			}
			p := NewPlan(table, states, map[string]*Loads{permits: NewLoads()})
			p.Divide(permits)
			next := 0
			for _, r := range p.Table().Divisions[0].Ranges {
				require.Equal(t, next, int(r.First))
				require.LessOrEqual(t, r.First, r.Last)
				next = int(r.Last) + 1
			}
			require.Equal(t, KeyCount, next)
		})
	}
}

// Two backend servers are overloaded, and the node beside the busier one has just restarted, so its
// grants are in doubt. Keys still move away from the other one.
func TestGrantsInDoubtDoNotStopBalancing(t *testing.T) {
	table, states, loads := testPool(t, 6)
	l := loads[permits]
	for i, id := range []NodeID{"node-0", "node-1"} {
		r := table.Owned(id)[0]
		for k := range 200 {
			l.Add(r.First+uint16(k), 0.15-0.05*float64(i))
		}
	}
	states["node-0"] = MemberState{GrantInDoubt: true}
	p := NewPlan(table, states, loads)
	p.Balance()
	moving := make(map[NodeID]int)
	for _, r := range p.Table().Divisions[0].Ranges {
		if r.NextOwner != "" {
			moving[r.Owner]++
		}
	}
	require.Zero(t, moving["node-0"], "its keys would be unserved for a whole hold")
	require.Positive(t, moving["node-1"])
}
