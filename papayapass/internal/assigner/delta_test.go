package assigner

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

type noLoads struct{}

func (noLoads) Load(string, uint64) float64 { return 0 }

func drawMember(t *rapid.T) Member {
	id := NodeID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "id"))
	state := rapid.SampledFrom([]ServerState{ServerAbsent, ServerUp, ServerUp, ServerUp, ServerDraining}).Draw(t, "state")
	zone := rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone")
	pool := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
	lost := rapid.Bool().Draw(t, "lost")
	return NewMember(id, "x", "y", zone, 1).WithServer(NewServer(pool, 10, 10, true, true).WithState(state)).WithLost(lost)
}

// mutate applies random changes of the kinds that a coordinator makes.
func mutate(t *rapid.T, table *Table, sequence *uint32) *Table {
	next := table.Clone()
	p := NewPlanner(next, NewRestriction(nil, nil), noLoads{}, 1, sequence)
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		switch rapid.IntRange(0, 4).Draw(t, "change") {
		case 0:
			next.SetMember(drawMember(t))
		case 1:
			next.RemoveMember(NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "remove")))
		case 2:
			p.AddPools()
			p.Assign(func(string, uint64) bool { return false })
			p.SetStandbys()
		case 3:
			p.Evacuate(4)
			p.Balance(4)
		case 4:
			next.SetVoters(1, []NodeID{"a", NodeID(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "voter"))})
		}
	}
	next.SetVersion(1, table.Coordinator(), table.Version()+1)
	return next
}

// TestDeltaEqualsWholeTable checks that a copy kept up to date by deltas equals
// the table from which they were made.
func TestDeltaEqualsWholeTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sequence uint32
		source := NewTable("cell", 1, drawMember(t))
		copied := Decode(Encode(source))
		history := []*Table{source}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			next := mutate(t, source, &sequence)
			got, ok := copied.Apply(Diff(source, next))
			require.True(t, ok)
			require.True(t, proto.Equal(Encode(next), Encode(got)))
			_, ok = copied.Apply(Diff(next, next))
			require.False(t, ok, "a delta without versions in its range must not apply")
			source, copied = next, got
			history = append(history, next)
			first := rapid.IntRange(0, len(history)-1).Draw(t, "first")
			between := rapid.IntRange(first, len(history)-1).Draw(t, "between")
			if between == len(history)-1 {
				continue
			}
			jumped, ok := history[between].Apply(Diff(history[first:]...))
			require.True(t, ok, "a delta must apply to each version in its range")
			require.True(t, proto.Equal(Encode(next), Encode(jumped)))
		}
	})
}

// TestSlicesCoverTheHashSpace checks that each point lies in exactly one slice.
func TestSlicesCoverTheHashSpace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Pool{slices: divide(rapid.IntRange(1, 300).Draw(t, "count"))}
		point := rapid.Uint64().Draw(t, "point")
		i := p.Find(point)
		require.GreaterOrEqual(t, i, 0)
		require.LessOrEqual(t, p.At(i).Start(), point)
		if i+1 < p.Len() {
			require.Greater(t, p.At(i+1).Start(), point)
		}
	})
}
