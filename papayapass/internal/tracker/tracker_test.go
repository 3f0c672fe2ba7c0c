package tracker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayapass.dev/papayapass/internal/assigner"
)

func TestCloseWaitsForRunningRequests(t *testing.T) {
	drained := 0
	g := NewTracker(func() { drained++ })
	area := NewRange("pool", 0, 99)
	require.True(t, g.Enter(area, 5, 1))
	require.False(t, g.Close(area, 1), "one runs")
	require.False(t, g.Enter(area, 5, 1), "closed")
	require.True(t, g.Enter(area, 5, 2), "granted anew under a later token")
	g.Leave(area)
	require.Zero(t, drained)
	g.Leave(area)
	require.Equal(t, 1, drained)
	require.True(t, g.Close(area, 1))
}

// TestSplitSliceWaitsForItsParent closes a part of a slice that was split while a
// request ran in the whole.
func TestSplitSliceWaitsForItsParent(t *testing.T) {
	g := NewTracker(func() {})
	whole := NewRange("pool", 0, 99)
	require.True(t, g.Enter(whole, 50, 1))
	part := NewRange("pool", 50, 50)
	require.False(t, g.Close(part, 1), "the request may be one of the part")
	require.False(t, g.Enter(whole, 50, 1), "by a table from before the split")
	require.True(t, g.Enter(whole, 51, 1), "another key of the parent")
	g.Leave(whole)
	g.Leave(whole)
	require.True(t, g.Close(part, 1))
}

// TestGaterEqualsNaive compares with a list of all requests.
func TestGaterEqualsNaive(t *testing.T) {
	type request struct {
		area Range
	}
	rapid.Check(t, func(t *rapid.T) {
		g := NewTracker(func() {})
		var running []request
		var closed []closure
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			start := rapid.Uint64Range(0, 20).Draw(t, "start")
			area := NewRange("pool", start, start+rapid.Uint64Range(0, 5).Draw(t, "length"))
			token := assigner.Token(rapid.Uint64Range(1, 4).Draw(t, "token"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				want := true
				for _, c := range closed {
					if c.area.start <= start && start <= c.area.last && token <= c.token {
						want = false
					}
				}
				require.Equal(t, want, g.Enter(area, start, token))
				if want {
					running = append(running, request{area: area})
				}
			case 1:
				if len(running) > 0 {
					g.Leave(running[0].area)
					running = running[1:]
				}
			case 2:
				idle := true
				for _, r := range running {
					idle = idle && !r.area.overlaps(area)
				}
				require.Equal(t, idle, g.Close(area, token))
				closed = append(closed, closure{area: area, token: token})
			}
		}
	})
}
