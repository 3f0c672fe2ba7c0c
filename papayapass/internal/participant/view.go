package participant

import (
	"math/rand/v2"
	"time"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
)

const (
	// crossZoneShare is the extra cost of a request to another zone, as a fraction of its
	// latency objective: traffic between zones is charged.
	crossZoneShare = 0.25
	// costJitter is the random fraction of a cost, so that nodes with the same loads do
	// not all choose the same server.
	costJitter = 0.2
	// defaultMeanDuration is the assumed mean duration at a backend server that has not
	// ended any request yet.
	defaultMeanDuration = 100 * time.Millisecond
	// busySlowdown is the fraction by which requests take longer at a backend server with
	// all slots busy.
	busySlowdown = 0.5
)

// CountRequest counts a request for a service in the retry budget.
func (p *Participant) CountRequest(service string) { p.retryBudget.countRequest(service) }

// AllowRetry reports whether a call may reach a backend server once more, and charges the
// retry budget if so. mayHaveRun refers to the previous try.
func (p *Participant) AllowRetry(service string, mayHaveRun bool) bool {
	return p.retryBudget.tryWithdraw(service, mayHaveRun)
}

// Choose returns the server for a call, except those at the tried nodes.
func (p *Participant) Choose(call *dispatcher.Call, tried map[partitioner.NodeID]bool) (dispatcher.Server, partitioner.NodeID, dispatcher.Reason) {
	t := p.table.Load()
	if t == nil {
		return nil, "", dispatcher.ReasonNoServer
	}
	if call.Divided {
		r, ok := t.Range(call.Service, call.Key)
		if !ok || r.Owner == "" {
			return nil, "", dispatcher.ReasonNotOwner
		}
		m, ok := t.Member(r.Owner)
		if next, moves := t.Member(r.NextOwner); moves {
			m, ok = next, true // the call waits there; the owner starts no more work on the key
		}
		if !ok || tried[m.ID] {
			return nil, "", dispatcher.ReasonUnreachable
		}
		return p.server(m), m.ID, dispatcher.ReasonNone
	}
	best, found, bestCost := partitioner.Member{}, false, time.Duration(0)
	for _, m := range t.Members {
		if m.Server.Service != call.Service || !m.Server.Up() || tried[m.ID] || (*p.zonesOut.Load())[m.Zone] {
			continue
		}
		if m.ID != p.self.ID && !p.peer(m.Address).Reachable() {
			continue
		}
		cost := p.cost(m, call.Objective)
		if !found || cost < bestCost {
			best, found, bestCost = m, true, cost
		}
	}
	if !found {
		return nil, "", dispatcher.ReasonNoServer
	}
	return p.server(best), best.ID, dispatcher.ReasonNone
}

// Server returns the backend server of a node, or nil if the node is not a member.
func (p *Participant) Server(id partitioner.NodeID) dispatcher.Server {
	t := p.table.Load()
	if m, ok := t.Member(id); ok {
		return p.server(m)
	}
	return nil
}

func (p *Participant) server(m partitioner.Member) dispatcher.Server {
	if m.ID == p.self.ID {
		return p.forwarder
	}
	return p.peer(m.Address)
}

// cost estimates how long a request takes at a backend server of a shared pool.
func (p *Participant) cost(m partitioner.Member, objective time.Duration) time.Duration {
	load := (*p.loads.Load())[m.ID]
	if m.ID == p.self.ID {
		var h overseer.Heartbeat
		p.forwarder.FillLoad(&h)
		load = h.ServerLoad()
	}
	mean := load.MeanDuration
	if mean == 0 {
		mean = defaultMeanDuration
	}
	n := float64(load.Running + load.Waiting)
	if m.ID != p.self.ID {
		n = max(n, float64(p.peer(m.Address).InFlight()))
	}
	slots := load.Slots(max(m.Server.Slots, 1))
	use := min(n/slots, 1)
	expected := float64(mean) * (1 + busySlowdown*use*use + max(0, n+1-slots)/slots)
	if load.WarmingUp {
		expected *= 3 // a server that is warming up accepts only a low rate
	}
	expected *= 1 + costJitter*rand.Float64()
	if m.Zone != p.self.Zone {
		expected += crossZoneShare * float64(objective)
	}
	return time.Duration(expected)
}

// IsQuarantined reports whether requests like a call have ended several backend servers.
func (p *Participant) IsQuarantined(c *dispatcher.Call) bool {
	q := p.forwarder.Quarantine()
	return q.IsActive() && q.Rejects(uint64(c.Fingerprint()))
}
