package participant

import (
	"math/rand/v2"
	"sync/atomic"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/selector"
	"papayapass.dev/papayapass/internal/timer"
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
	candidates := make([]selector.Candidate, len(pool))
	for i, m := range pool {
		candidates[i] = p.candidate(m, now)
	}
	r := selector.Request{Objective: call.Objective, IsRetry: len(tried) > 0}
	d := selector.Choose(candidates, r, rand.Float64, now)
	p.poolChoices.count(d, r)
	best := pool[d.Index]
	p.lastChoice(best.ID).Store(int64(now))
	return p.server(*best), best.ID, dispatcher.ReasonNone
}

// candidate returns what is known of a member of a shared pool.
func (p *Participant) candidate(m *partitioner.Member, now timer.Instant) selector.Candidate {
	c := selector.Candidate{Load: p.poolLoad(m, now), Slots: m.Server.Slots, IsRemote: m.Zone != p.self.Zone, IsOwn: m.ID == p.self.ID}
	if !c.IsOwn {
		c.InFlight = p.peer(m.Address).InFlight()
	}
	return c
}

// inFlight returns the number of this node's requests in flight to each member that has some.
func (p *Participant) inFlight() map[partitioner.NodeID]int {
	t := p.table.Load()
	if t == nil {
		return nil
	}
	out := make(map[partitioner.NodeID]int)
	for i := range t.Members {
		if peer, ok := p.peers.Load(t.Members[i].Address); ok {
			out[t.Members[i].ID] = peer.(*dispatcher.Peer).InFlight()
		}
	}
	return out
}

// lastChoice is when the backend server of a node was last chosen in a shared pool.
func (p *Participant) lastChoice(id partitioner.NodeID) *atomic.Int64 {
	if at, ok := p.lastChoices.Load(id); ok {
		return at.(*atomic.Int64)
	}
	at, _ := p.lastChoices.LoadOrStore(id, &atomic.Int64{})
	return at.(*atomic.Int64)
}

// poolLoad returns the load of a member's backend server. Each node tries an idle one once, until a report
// tells how that went. Results tell the loads in the own zone, since traffic between zones is charged.
func (p *Participant) poolLoad(m *partitioner.Member, now timer.Instant) selector.Load {
	load := (*p.loads.Load())[m.ID]
	switch {
	case m.ID == p.self.ID:
		var h overseer.Heartbeat
		p.forwarder.FillLoad(&h)
		h.Member.ID = m.ID
		load.ServerLoad, load.ReportedAt = h.ServerLoad(), now
		if load.Running > 0 {
			load.UsedAt = now
		}
	case m.Zone == p.self.Zone:
		if l := p.peer(m.Address).FollowLoad(); l.ReceivedAt > load.ReportedAt {
			load.Node, load.Running, load.Waiting, load.MeanDuration = m.ID, l.Running, l.Waiting, l.MeanDuration
			load.ReportedAt, load.UsedAt, load.InFlight = l.ReceivedAt, l.ReceivedAt, l.InFlight
		}
	}
	load.UsedAt = max(load.UsedAt, timer.Instant(p.lastChoice(m.ID).Load()))
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

// IsQuarantined reports whether requests like a call have ended several backend servers.
func (p *Participant) IsQuarantined(c *dispatcher.Call) bool {
	q := p.forwarder.Quarantine()
	return q.IsActive() && q.Rejects(uint64(c.Fingerprint()))
}
