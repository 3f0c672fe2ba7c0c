package tracker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"papayapass.dev/papayapass/internal/assigner"
)

func TestCloseWaitsForRunningRequests(t *testing.T) {
	drained := 0
	tr := NewTracker(func() { drained++ })
	keyRange := NewRange("pool", 0, 99)
	require.True(t, tr.Enter(keyRange, 5, 1))
	require.False(t, tr.Close(keyRange, 1), "one request is in flight")
	require.False(t, tr.Enter(keyRange, 5, 1), "range is closed")
	require.True(t, tr.Enter(keyRange, 5, 2), "granted again under a later token")
	tr.Leave(keyRange)
	require.Zero(t, drained)
	tr.Leave(keyRange)
	require.Equal(t, 1, drained)
	require.True(t, tr.Close(keyRange, 1))
}

// TestSplitSliceWaitsForItsParent closes a part of a slice that was split while
// a request was in flight in the whole slice.
func TestSplitSliceWaitsForItsParent(t *testing.T) {
	tr := NewTracker(func() {})
	whole := NewRange("pool", 0, 99)
	require.True(t, tr.Enter(whole, 50, 1))
	part := NewRange("pool", 50, 50)
	require.False(t, tr.Close(part, 1), "the request in flight may be in the part")
	require.False(t, tr.Enter(whole, 50, 1), "request read the table before the split")
	require.True(t, tr.Enter(whole, 51, 1), "another key of the parent")
	tr.Leave(whole)
	tr.Leave(whole)
	require.True(t, tr.Close(part, 1))
}

// TestTrackerEqualsNaive compares the tracker with a list of all requests.
func TestTrackerEqualsNaive(t *testing.T) {
	type request struct {
		keyRange Range
	}
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker(func() {})
		var inFlight []request
		var closed []closedRange
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			start := rapid.Uint64Range(0, 20).Draw(t, "start")
			keyRange := NewRange("pool", start, start+rapid.Uint64Range(0, 5).Draw(t, "length"))
			token := assigner.Token(rapid.Uint64Range(1, 4).Draw(t, "token"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				want := true
				for _, c := range closed {
					if c.keyRange.start <= start && start <= c.keyRange.last && token <= c.token {
						want = false
					}
				}
				require.Equal(t, want, tr.Enter(keyRange, start, token))
				if want {
					inFlight = append(inFlight, request{keyRange: keyRange})
				}
			case 1:
				if len(inFlight) > 0 {
					tr.Leave(inFlight[0].keyRange)
					inFlight = inFlight[1:]
				}
			case 2:
				idle := true
				for _, r := range inFlight {
					idle = idle && !r.keyRange.overlaps(keyRange)
				}
				require.Equal(t, idle, tr.Close(keyRange, token))
				closed = append(closed, closedRange{keyRange: keyRange, token: token})
			}
		}
	})
}
