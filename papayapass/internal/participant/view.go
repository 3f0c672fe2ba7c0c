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
	// defaultMeanDuration is the assumed mean duration at a backend server without a report, or if
	// none of its pool has ended a request.
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
	pool := p.pool(t, call.Service, tried)
	if len(pool) == 0 {
		return nil, "", dispatcher.ReasonNoServer
	}
	lowest := (*p.loads.Load()).lowestMean(pool)
	best, bestCost := pool[0], p.cost(pool[0], call.Objective, lowest)
	for _, m := range pool[1:] {
		if cost := p.cost(m, call.Objective, lowest); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return p.server(*best), best.ID, dispatcher.ReasonNone
}

// pool returns the members of a shared pool that may be asked, except those at the tried nodes.
func (p *Participant) pool(t *partitioner.Table, service string, tried map[partitioner.NodeID]bool) []*partitioner.Member {
	var out []*partitioner.Member
	for i := range t.Members {
		m := &t.Members[i]
		if m.Server.Service != service || !m.Server.Up() || tried[m.ID] || (*p.zonesOut.Load())[m.Zone] {
			continue
		}
		if m.ID == p.self.ID || p.peer(m.Address).Reachable() {
			out = append(out, m)
		}
	}
	return out
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

// cost estimates how long a request takes at a backend server of a shared pool, in which the lowest
// known mean duration is given.
func (p *Participant) cost(m *partitioner.Member, objective, lowest time.Duration) time.Duration {
	load := (*p.loads.Load())[m.ID]
	if m.ID == p.self.ID {
		var h overseer.Heartbeat
		p.forwarder.FillLoad(&h)
		h.Member.ID = p.self.ID
		load.ServerLoad = h.ServerLoad()
	}
	n := float64(load.Running + load.Waiting)
	if m.ID != p.self.ID {
		n = max(n, float64(p.peer(m.Address).InFlight()))
	}
	expected := load.expectedDuration(n, load.Slots(max(m.Server.Slots, 1)), lowest)
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
