package selector

import (
	"time"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// maxLoadAge is the age up to which a load is kept that is no longer reported.
const maxLoadAge = time.Minute

// Loads are the loads of the backend servers of shared pools, by node.
type Loads map[partitioner.NodeID]Load

// Next returns the loads after a report. A backend server whose mean duration stays the same without
// running requests is idle. This node has inFlight requests at the backend servers.
func (l Loads) Next(reported []overseer.ServerLoad, inFlight map[partitioner.NodeID]int, now timer.Instant) Loads {
	out := make(Loads, len(reported))
	for _, r := range reported {
		load := Load{ServerLoad: r, UsedAt: now, ReportedAt: now, InFlight: inFlight[r.Node]}
		if last, ok := l[r.Node]; ok && r.Running == 0 && r.MeanDuration == last.MeanDuration {
			load.UsedAt = last.UsedAt
		}
		out[r.Node] = load
	}
	for id, last := range l {
		if _, ok := out[id]; !ok && now.Sub(last.ReportedAt) <= maxLoadAge {
			out[id] = last
		}
	}
	return out
}
