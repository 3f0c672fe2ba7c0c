package partitioner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// randomSite is a divided service of a random size under random events.
type randomSite struct {
	t      *testing.T
	r      *rand.Rand
	table  *Table
	states map[NodeID]MemberState
	loads  map[string]*Loads
	// highest is the highest token that each sample key had.
	highest [256]uint64
}

func newRandomSite(t *testing.T, seed uint64) *randomSite {
	s := &randomSite{t: t, r: rand.New(rand.NewPCG(seed, 5)), table: &Table{Epoch: 1, Version: 1}, states: make(map[NodeID]MemberState), loads: map[string]*Loads{permits: NewLoads()}}
	zones, members := 2+s.r.IntN(5), 3+s.r.IntN(120)
	for i := range members {
		id := NodeID(fmt.Sprintf("node-%03d", i))
		s.table.SetMember(Member{ID: id, Zone: fmt.Sprintf("zone-%d", i%zones), Server: Server{
			ID: "s-" + string(id), StartedAtMillis: 1, Service: permits, Slots: 1 + s.r.IntN(40), Divided: true,
		}})
		s.states[id] = MemberState{}
	}
	p := NewPlan(s.table, s.states, s.loads)
	p.Divide(permits)
	s.table = p.Table()
	return s
}

// disturb changes a random member or the load.
func (s *randomSite) disturb() {
	m := s.table.Members[s.r.IntN(len(s.table.Members))]
	state := s.states[m.ID]
	switch s.r.IntN(7) {
	case 0:
		state.LeaseExpired, state.Silent = true, true
	case 1:
		state = MemberState{}
	case 2:
		state.Excluded = !state.Excluded
	case 3:
		m.Server.StartedAtMillis++ // the backend server restarts
		state = MemberState{WarmingUp: true}
	case 4:
		m.Server.Leaving = !m.Server.Leaving
	case 5:
		state.Speed = 0.3 + 2*s.r.Float64()
	default:
		first := s.r.IntN(KeyCount - 200)
		for range 60 {
			s.loads[permits].Add(uint16(first+s.r.IntN(200)), s.r.Float64()*3)
		}
	}
	s.table = s.table.Clone()
	s.table.SetMember(m)
	s.states[m.ID] = state
}

// plan plans one round in which about half of the moving ranges are released.
func (s *randomSite) plan() {
	var released []Release
	for _, r := range s.table.Divisions[0].Ranges {
		if r.NextOwner != "" && s.r.IntN(2) == 0 {
			released = append(released, Release{Service: permits, First: r.First, Last: r.Last, Token: r.Token, Handover: "h"})
		}
	}
	p := NewPlan(s.table, s.states, s.loads)
	p.FreeLost()
	p.ApplyReleases(released)
	p.Assign()
	p.Evacuate()
	p.Balance()
	p.Merge()
	p.Compact()
	s.check(p.Table(), released)
	s.table = p.Table()
	s.loads[permits].Decay(0.95)
}

func (s *randomSite) check(next *Table, released []Release) {
	d := next.Divisions[0]
	first := 0
	for _, r := range d.Ranges {
		require.Equal(s.t, first, int(r.First), "ranges cover all keys once")
		require.LessOrEqual(s.t, r.First, r.Last)
		require.LessOrEqual(s.t, r.Token, next.LastToken)
		first = int(r.Last) + 1
	}
	require.Equal(s.t, KeyCount, first)
	for i := range s.highest {
		key := uint16(i * KeyCount / len(s.highest))
		old, _ := s.table.Range(permits, key)
		r, _ := next.Range(permits, key)
		if r.Owner == "" || (r.Owner == old.Owner && r.Token == old.Token) {
			continue
		}
		require.Greater(s.t, r.Token, s.highest[i], "a new owner gets a higher token")
		s.highest[i] = r.Token
		if old.Owner == "" {
			continue
		}
		m, _ := s.table.Member(old.Owner)
		isRetokened := r.Owner == old.Owner && r.NextOwner == "" && r.Server == old.Server && r.ServerStartedAtMillis == old.ServerStartedAtMillis
		isLost := s.states[old.Owner].LeaseExpired || !m.Server.SameStart(old.Server, old.ServerStartedAtMillis)
		isReleased := false
		for _, rel := range released {
			isReleased = isReleased || (rel.First <= key && key <= rel.Last && rel.Token == old.Token)
		}
		require.True(s.t, isLost || isReleased || isRetokened, "key %d left %s, which still holds it", key, old.Owner)
		m, _ = next.Member(r.Owner)
		require.True(s.t, m.Server.Up() && !s.states[r.Owner].LeaseExpired, "key %d went to %s", key, r.Owner)
	}
}

// Deployments of random size under random losses, restarts, zones out, drains and hot runs
// of keys: the plan never gives a key away that is still held, and never with a lower token,
// and no member owns more ranges than a response to a heartbeat holds.
func TestPlanOfRandomDeployments(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newRandomSite(t, seed)
			for i := range s.highest {
				r, _ := s.table.Range(permits, uint16(i*KeyCount/len(s.highest)))
				s.highest[i] = r.Token
			}
			most, ranges := 0, 0
			for range 150 {
				s.disturb()
				s.plan()
				for _, m := range s.table.Members {
					most = max(most, len(s.table.Owned(m.ID)))
				}
				ranges = max(ranges, len(s.table.Divisions[0].Ranges))
			}
			t.Logf("%d members, at most %d ranges, %d at one member", len(s.table.Members), ranges, most)
			require.LessOrEqual(t, most, 150, "a response to a heartbeat holds 4,000 bytes of up to 25 for each range")
		})
	}
}
