//go:build mutation

package granter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// TestMutationsAreDetected injects one fault of grants in heartbeats at a time, and replays
// the heartbeats in which it gives two owners.
func TestMutationsAreDetected(t *testing.T) {
	start := timer.Instant(time.Hour)
	freed := []descriptor.ReleasedRange{{First: 0, Last: 99, Handover: "h"}}
	faults := map[string]struct {
		fault  mutator.Fault
		replay func(g *heartbeats) timer.Instant
	}{
		"release keys though a response may still grant them": {mutator.UnlistedIsReleased, func(g *heartbeats) timer.Instant {
			g.SetTable(testTable(testRange(0, 99, 4, "")), start)
			g.send(start, descriptor.KeyListing{})
			g.SetTable(testTable(testRange(0, 99, 4, "node-2")), start)
			g.send(start.Add(100*time.Millisecond), descriptor.KeyListing{})
			return start.Add(100 * time.Millisecond)
		}},
		"take a repeated release for a new one": {mutator.RepeatedReleaseCounts, func(g *heartbeats) timer.Instant {
			g.SetTable(testTable(testRange(0, 99, 9, "")), start)
			g.send(start, descriptor.KeyListing{Released: freed})
			g.SetTable(testTable(testRange(0, 99, 9, "node-2")), start)
			g.send(start.Add(100*time.Millisecond), descriptor.KeyListing{Released: freed})
			return start.Add(100 * time.Millisecond)
		}},
		"trust a late heartbeat": {mutator.AcceptLateHeartbeat, func(g *heartbeats) timer.Instant {
			g.SetTable(testTable(testRange(0, 99, 4, "")), start)
			g.sequence = 1
			g.send(start, descriptor.KeyListing{})
			g.SetTable(testTable(testRange(0, 99, 4, "node-2")), start)
			g.HandleHeartbeat(1, &descriptor.KeyListing{Released: freed}, start.Add(100*time.Millisecond))
			return start.Add(100 * time.Millisecond)
		}},
	}
	for name, tt := range faults {
		t.Run(name, func(t *testing.T) {
			g := newHeartbeats(start)
			now := tt.replay(g)
			require.Empty(t, g.Released(now), "without the fault")
			mutator.Activate(tt.fault)
			defer mutator.Activate(mutator.None)
			g = newHeartbeats(start)
			now = tt.replay(g)
			require.NotEmpty(t, g.Released(now))
		})
	}
}
