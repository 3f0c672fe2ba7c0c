package participant

import (
	"time"

	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// poolLoad is the load of a backend server of a shared pool, as last reported.
type poolLoad struct {
	overseer.ServerLoad

	usedAt, reportedAt timer.Instant
}

// poolLoads are the loads of the backend servers of shared pools, by node.
type poolLoads map[partitioner.NodeID]poolLoad

// next returns the loads after a report. A backend server whose mean duration stays the same without
// running requests is idle.
func (l poolLoads) next(reported []overseer.ServerLoad, now timer.Instant) poolLoads {
	out := make(poolLoads, len(reported))
	for _, r := range reported {
		load := poolLoad{ServerLoad: r, usedAt: now, reportedAt: now}
		if last, ok := l[r.Node]; ok && r.Running == 0 && r.MeanDuration == last.MeanDuration {
			load.usedAt = last.usedAt
		}
		out[r.Node] = load
	}
	return out
}

// lowestMean returns the lowest mean duration of the members' backend servers that have ended requests,
// or defaultMeanDuration if none has.
func (l poolLoads) lowestMean(members []*partitioner.Member) time.Duration {
	lowest := time.Duration(0)
	for _, m := range members {
		if mean := l[m.ID].MeanDuration; mean > 0 && (lowest == 0 || mean < lowest) {
			lowest = mean
		}
	}
	if lowest == 0 {
		return defaultMeanDuration
	}
	return lowest
}

// expectedMean returns the mean duration to expect of the next request.
func (l poolLoad) expectedMean(lowest time.Duration) time.Duration {
	if l.Node == "" {
		return defaultMeanDuration
	}
	return estimator.Expected(max(l.MeanDuration, lowest), lowest, estimator.Weight(l.reportedAt.Sub(l.usedAt)))
}

// expectedDuration returns how long a request is expected to take with n requests at the backend server.
func (l poolLoad) expectedDuration(n, slots float64, lowest time.Duration) float64 {
	use := min(n/slots, 1)
	expected := float64(l.expectedMean(lowest)) * (1 + busySlowdown*use*use + max(0, n+1-slots)/slots)
	if l.WarmingUp {
		expected *= 3 // a server that is warming up accepts only a low rate
	}
	return expected
}
