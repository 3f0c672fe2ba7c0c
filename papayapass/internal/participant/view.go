package participant

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
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
	now := p.timers.Now()
	loads := make([]poolLoad, len(pool))
	for i, m := range pool {
		loads[i] = p.poolLoad(m.ID, now)
	}
	lowest := lowestMean(loads)
	best, bestCost := pool[0], time.Duration(math.MaxInt64)
	for i, m := range pool {
		if cost := p.cost(m, loads[i], call.Objective, lowest, now); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	p.lastChoice(best.ID).Store(int64(now))
	return p.server(*best), best.ID, dispatcher.ReasonNone
}

// lastChoice is when the backend server of a node was last chosen in a shared pool.
func (p *Participant) lastChoice(id partitioner.NodeID) *atomic.Int64 {
	if at, ok := p.lastChoices.Load(id); ok {
		return at.(*atomic.Int64)
	}
	at, _ := p.lastChoices.LoadOrStore(id, &atomic.Int64{})
	return at.(*atomic.Int64)
}

// poolLoad returns the load of a node's backend server. Each node tries an idle one once, until a report
// tells how that went.
func (p *Participant) poolLoad(id partitioner.NodeID, now timer.Instant) poolLoad {
	load := (*p.loads.Load())[id]
	if id == p.self.ID {
		var h overseer.Heartbeat
		p.forwarder.FillLoad(&h)
		h.Member.ID = id
		load.ServerLoad, load.reportedAt = h.ServerLoad(), now
		if load.Running > 0 {
			load.usedAt = now
		}
	}
	load.usedAt = max(load.usedAt, timer.Instant(p.lastChoice(id).Load()))
	return load
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
func (p *Participant) cost(m *partitioner.Member, load poolLoad, objective, lowest time.Duration, now timer.Instant) time.Duration {
	inFlight := 0
	if m.ID != p.self.ID {
		inFlight = p.peer(m.Address).InFlight()
	}
	expected := load.expectedDuration(inFlight, m.Server.Slots, lowest, now) * (1 + costJitter*rand.Float64())
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
