package reporter

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPageShowsStatusAndEscapesNames(t *testing.T) {
	s := Status{
		Cell: "luzon", Node: "permits-1", Coordinator: "permits-2", ZonesOut: []string{"calamba"}, PlatformDown: true,
		Nodes: []NodeStatus{{Node: "permits-1", Zone: "calamba", OutOfService: true}, {Node: "<script>", Lost: true}},
		Pools: []PoolStatus{{Pool: "permits", Slices: 128, Unowned: 3}},
		Moves: []MoveStatus{{Pool: "permits", From: "permits-1", To: "permits-3", Reason: "taken out by operators"}},
	}
	var b bytes.Buffer
	require.NoError(t, page.Execute(&b, s))
	for _, want := range []string{"luzon", "zones out: calamba", "the platform does not answer", "taken out by operators", "&lt;script&gt;"} {
		require.Contains(t, b.String(), want)
	}
	require.NotContains(t, b.String(), "<script>")
}
