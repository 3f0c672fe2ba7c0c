package participant

import (
	"cmp"
	"time"

	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	// maxReportAge is the age up to which the requests and the warm-up of a report count.
	maxReportAge = 3 * time.Second
	// maxLoadAge is the age up to which a load is kept that is no longer reported.
	maxLoadAge = time.Minute
	// maxIdle is how long a backend server of a shared pool may get no requests because of an old mean.
	maxIdle = 15 * time.Second
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
	for id, last := range l {
		if _, ok := out[id]; !ok && now.Sub(last.reportedAt) <= maxLoadAge {
			out[id] = last
		}
	}
	return out
}

// lowestMean returns the lowest mean duration of the backend servers that have ended requests, or
// defaultMeanDuration if none has.
func lowestMean(pool []poolLoad) time.Duration {
	lowest := time.Duration(0)
	for _, l := range pool {
		if l.MeanDuration > 0 && (lowest == 0 || l.MeanDuration < lowest) {
			lowest = l.MeanDuration
		}
	}
	return cmp.Or(lowest, defaultMeanDuration)
}

// weight returns the weight of what the load says about the next request. Without requests a backend
// server shows no change, so it must get one before long.
func (l poolLoad) weight(now timer.Instant) float64 {
	idle := now.Sub(l.usedAt)
	if idle >= maxIdle {
		return 0
	}
	return estimator.Weight(idle)
}

// expectedMean returns the mean duration to expect of the next request.
func (l poolLoad) expectedMean(lowest time.Duration, now timer.Instant) time.Duration {
	switch {
	case l.Node == "":
		return defaultMeanDuration
	case l.MeanDuration == 0:
		return lowest
	}
	return estimator.Expected(l.MeanDuration, lowest, l.weight(now))
}

// expectedDuration returns how long a request is expected to take at a backend server with slots,
// where this node has inFlight requests.
func (l poolLoad) expectedDuration(inFlight, slots int, lowest time.Duration, now timer.Instant) float64 {
	n, warmingUp := float64(inFlight), false
	if now.Sub(l.reportedAt) <= maxReportAge {
		n, warmingUp = max(n, float64(l.Running+l.Waiting)), l.WarmingUp
	}
	all := float64(max(slots, 1))
	usable := all - l.weight(now)*(all-l.Slots(int(all)))
	use := min(n/usable, 1)
	expected := float64(l.expectedMean(lowest, now)) * (1 + busySlowdown*use*use + max(0, n+1-usable)/usable)
	if warmingUp {
		expected *= 3 // a server that is warming up accepts only a low rate
	}
	return expected
}
