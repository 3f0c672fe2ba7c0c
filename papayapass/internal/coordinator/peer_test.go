package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/wirepb"
)

// TestFormerOwnerLoadIsIgnored guards against an idle report of a slice's
// former owner replacing the load that the new owner reported.
func TestFormerOwnerLoadIsIgnored(t *testing.T) {
	table := assigner.Decode(&wirepb.Table{Pools: []*wirepb.Pool{{Name: "pool", Slices: []*wirepb.Slice{{Start: 0, Owner: "new"}}}}})
	loads := make(loadTable)
	loads.update(table, "new", []*wirepb.SliceLoad{{Pool: "pool", RateMilli: 50_000}})
	loads.update(table, "old", []*wirepb.SliceLoad{{Pool: "pool"}})
	require.Equal(t, 50.0, loads.Load("pool", 0))
}
