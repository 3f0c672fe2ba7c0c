package partitioner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The load: one key with twice the work of its owner, in a pool whose servers differ in speed.
func TestOverloadedKeyMovesToTheFastestServer(t *testing.T) {
	const key = 100
	for name, test := range map[string]struct {
		work    float64 // of the key, in owners' slots
		speeds  []float64
		inDoubt bool // a grant of the owner
		limited int  // index of a member with a rate limit; zero means none
		want    NodeID
	}{
		"much faster":            {work: 2, speeds: []float64{0.7, 1, 1.6, 1.3}, want: "node-2"},
		"not much faster":        {work: 2, speeds: []float64{1, 1, 1.6, 1.3}},
		"work of a few slots":    {work: 0.8, speeds: []float64{0.7, 1, 1.6, 1.3}},
		"unknown speed":          {work: 2, speeds: []float64{0, 1, 1.6, 1.3}},
		"grant in doubt":         {work: 2, speeds: []float64{0.7, 1, 1.6, 1.3}, inDoubt: true},
		"the fastest is limited": {work: 2, speeds: []float64{0.7, 1, 1.6, 1.3}, limited: 2, want: "node-3"},
	} {
		t.Run(name, func(t *testing.T) {
			table, states, loads := testPool(t, len(test.speeds))
			for i, m := range table.Members {
				s := MemberState{Speed: test.speeds[i], GrantInDoubt: test.inDoubt && i == 0}
				if i > 0 && i == test.limited {
					s.Capacity = 1
				}
				states[m.ID] = s
			}
			r, _ := table.Range(permits, key)
			owner, _ := table.Member(r.Owner)
			require.Equal(t, table.Members[0].ID, owner.ID)
			loads[permits].Add(key, test.work*float64(owner.Server.Slots))
			p := NewPlan(table, states, loads)
			p.MoveOverloadedKeys()
			moved, _ := p.Table().Range(permits, key)
			require.Equal(t, test.want, moved.NextOwner)
			if test.want != "" {
				require.Equal(t, moved.First, moved.Last)
				again := NewPlan(p.Table(), states, loads)
				again.MoveOverloadedKeys()
				require.False(t, again.Changed(), "the key is on its way")
			}
		})
	}
}
