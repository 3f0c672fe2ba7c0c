package partitioner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// replay simulates a load on a pool of members with ten slots each, in rounds of 100 ms.
// A move takes moveRounds rounds.
type replay struct {
	table  *Table
	states map[NodeID]MemberState
	loads  map[string]*Loads
	demand *Loads
	// reportsOffered is set when members report the work that is offered to them, rather
	// than the work that they run.
	reportsOffered bool
	moving         map[Range]int
	refused        float64
}

const (
	moveRounds = 10
	// roundWeight is the duration of a round divided by the time constant of measured
	// loads, 2 s.
	roundWeight = 0.05
	poolSlots   = 10.0
)

func (r *replay) round() {
	l := r.loads[permits]
	l.Decay(1 - roundWeight)
	for _, m := range r.table.Members {
		offered := poolSlots * utilizationOf(r.table, r.demand, m.ID)
		ran := min(1, r.capacity(m.ID)/offered)
		r.refused += offered * (1 - ran)
		if r.reportsOffered {
			ran = 1
		}
		for _, rg := range r.table.Owned(m.ID) {
			for k := int(rg.First); k <= int(rg.Last); k++ {
				l.Add(uint16(k), ran*r.demand.KeyWork(uint16(k))*roundWeight)
			}
		}
	}
	p := NewPlan(r.table, r.states, r.loads)
	p.ApplyReleases(r.released())
	p.Assign()
	p.Balance()
	p.Merge()
	r.table = p.Table()
}

// released returns the ranges whose moves have completed.
func (r *replay) released() []Release {
	var out []Release
	rounds := make(map[Range]int)
	for _, rg := range r.table.Divisions[0].Ranges {
		if rg.NextOwner == "" {
			continue
		}
		if rounds[rg] = r.moving[rg] + 1; rounds[rg] > moveRounds {
			out = append(out, Release{Service: permits, First: rg.First, Last: rg.Last, Token: rg.Token})
		}
	}
	r.moving = rounds
	return out
}

func (r *replay) capacity(id NodeID) float64 {
	if c := r.states[id].Capacity; c > 0 {
		return c
	}
	return poolSlots
}

func (r *replay) overloaded() int {
	n := 0
	for _, m := range r.table.Members {
		if poolSlots*utilizationOf(r.table, r.demand, m.ID) > r.capacity(m.ID) {
			n++
		}
	}
	return n
}

// The popular keys are close together: 2,000 neighbouring keys of two owners cause as
// much work as eight of 40 backend servers can run. At the grown pptia site, more than
// half of all refusals were for 3,000 such keys, for 30 s. An overloaded owner runs no
// more than its capacity, so by running work it appears only a little busier than the
// others.
func TestPopularRunIsSpreadByOfferedWork(t *testing.T) {
	const rounds = 60
	refused := make(map[bool]float64)
	for name, reportsOffered := range map[string]bool{"by running work (naive)": false, "by offered work": true} {
		t.Run(name, func(t *testing.T) {
			table, states, loads := testPool(t, 40)
			r := &replay{table: table, states: states, loads: loads, demand: NewLoads(), reportsOffered: reportsOffered}
			for k := range KeyCount {
				r.demand.Add(uint16(k), 240.0/KeyCount)
			}
			for k := range 2000 {
				r.demand.Add(uint16(17500+k), 0.04)
			}
			require.Positive(t, r.overloaded())
			for range rounds {
				r.round()
			}
			refused[reportsOffered] = r.refused
			require.Equal(t, reportsOffered, r.overloaded() == 0, fmt.Sprintf("%d overloaded after 6 s", r.overloaded()))
		})
	}
	require.Less(t, refused[true], refused[false]/2)
}

// Four of six backend servers name a rate limit and can use two of their ten slots; the
// other two have room for the rest. By slots alone, the limited ones keep work for four.
func TestKeysLeaveBackendServersWithRateLimit(t *testing.T) {
	const rounds = 60
	refused := make(map[bool]float64)
	for name, knowsLimits := range map[string]bool{"by slots": false, "by capacity": true} {
		t.Run(name, func(t *testing.T) {
			table, states, loads := testPool(t, 6)
			r := &replay{table: table, states: states, loads: loads, demand: NewLoads(), reportsOffered: true}
			for k := range KeyCount {
				r.demand.Add(uint16(k), 24.0/KeyCount)
			}
			limits := make(map[NodeID]MemberState)
			for i, m := range table.Members {
				if i >= 2 {
					limits[m.ID] = MemberState{Capacity: 2}
				}
			}
			if knowsLimits {
				r.states = limits
			}
			for range rounds {
				r.round()
			}
			r.states, r.refused = limits, 0
			r.round()
			refused[knowsLimits] = r.refused
		})
	}
	require.InDelta(t, 8, refused[false], 0.5, "four servers refuse half of what they are offered")
	require.Less(t, refused[true], 0.5)
}
