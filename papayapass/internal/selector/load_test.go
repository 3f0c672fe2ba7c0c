package selector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/timer"
)

// A backend server with running requests is not idle, however long they take.
func TestMeanOfABusyServerKeepsItsWeight(t *testing.T) {
	slow := overseer.ServerLoad{Node: "node-2", MeanDuration: 8 * time.Second, Running: 1}
	loads, now := make(Loads), timer.Instant(time.Hour)
	report := func() {
		now = now.Add(100 * time.Millisecond)
		loads = loads.Next([]overseer.ServerLoad{slow}, nil, now)
	}
	for range 100 {
		report()
	}
	require.Equal(t, 8*time.Second, loads["node-2"].expectedMean(time.Second, now))
	slow.Running = 0
	for range 50 {
		report()
	}
	require.Equal(t, 4500*time.Millisecond, loads["node-2"].expectedMean(time.Second, now))
	loads = loads.Next(nil, nil, now) // by another coordinator, which has not heard it yet
	report()
	require.Less(t, loads["node-2"].expectedMean(time.Second, now), 4500*time.Millisecond)
}

// While there is no coordinator, the last report kept requests from a backend server for good.
func TestOldReportsLoseTheirWeight(t *testing.T) {
	now := timer.Instant(time.Hour)
	for name, l := range map[string]overseer.ServerLoad{
		"slow":         {Node: "node-2", MeanDuration: time.Second},
		"busy":         {Node: "node-2", MeanDuration: 4 * time.Millisecond, Running: 8, Waiting: 10},
		"warming up":   {Node: "node-2", MeanDuration: 4 * time.Millisecond, WarmingUp: true},
		"rate limited": {Node: "node-2", MeanDuration: 4 * time.Millisecond, RateLimit: 1},
	} {
		t.Run(name, func(t *testing.T) {
			load := make(Loads).Next([]overseer.ServerLoad{l}, nil, now)["node-2"]
			lowest := 4 * time.Millisecond
			require.Greater(t, load.estimate(0, 8, lowest, now).duration(), 2*float64(lowest))
			require.InEpsilon(t, float64(lowest), load.estimate(0, 8, lowest, now.Add(maxIdle)).duration(), 0.01)
		})
	}
}

// Without reports, a node's own backend server counted as slower than it is.
func TestOwnServerCountsAsMeasured(t *testing.T) {
	own := Load{ServerLoad: overseer.ServerLoad{Node: "node-1", MeanDuration: 4 * time.Millisecond}}
	require.Equal(t, 4*time.Millisecond, own.expectedMean(lowestMean([]Candidate{{Load: own}, {}}), 1))
}
