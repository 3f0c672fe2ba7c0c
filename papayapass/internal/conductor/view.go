package conductor

import (
	"math/rand/v2"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/placer"
)

// Count counts a request for a service.
func (c *Conductor) Count(service string) { c.budget.count(service) }

// Spend says whether a call may reach a backend server once more; ran says that the
// try before may have run.
func (c *Conductor) Spend(service string, ran bool) bool { return c.budget.spend(service, ran) }

// Choose returns the server that a call should go to, leaving some nodes out.
func (c *Conductor) Choose(call *dispatcher.Call, tried map[partitioner.NodeID]bool) dispatcher.Choice {
	t := c.table.Load()
	if t == nil {
		return dispatcher.Choice{Reason: dispatcher.ReasonNoServer}
	}
	if call.Divided {
		return c.owner(t, call, tried)
	}
	var members []partitioner.Member
	var candidates []placer.Candidate
	for _, m := range t.Members {
		if m.Server.Service != call.Service || !m.Server.Up() || tried[m.ID] || (*c.zonesOut.Load())[m.Zone] {
			continue
		}
		if m.ID != c.self.ID && !c.peer(m.Address).Reachable() {
			continue
		}
		members = append(members, m)
		candidates = append(candidates, c.candidate(m))
	}
	i := placer.Cheapest(candidates, call.Objective, rand.Float64)
	if i < 0 {
		return dispatcher.Choice{Reason: dispatcher.ReasonNoServer}
	}
	choice := dispatcher.Choice{Server: c.server(members[i]), Node: members[i].ID}
	if candidates[i].Far {
		choice.Detour = placer.Detour(call.Objective)
	}
	return choice
}

// owner returns the server that owns the key of a call.
func (c *Conductor) owner(t *partitioner.Table, call *dispatcher.Call, tried map[partitioner.NodeID]bool) dispatcher.Choice {
	r, ok := t.Range(call.Service, call.Key)
	if !ok || r.Owner == "" {
		return dispatcher.Choice{Reason: dispatcher.ReasonNotOwner}
	}
	m, ok := t.Member(r.Owner)
	if !ok || tried[m.ID] {
		return dispatcher.Choice{Reason: dispatcher.ReasonUnreachable}
	}
	return dispatcher.Choice{Server: c.server(m), Node: m.ID}
}

// Server returns the server beside a node.
func (c *Conductor) Server(id partitioner.NodeID) dispatcher.Server {
	t := c.table.Load()
	if m, ok := t.Member(id); ok {
		return c.server(m)
	}
	return nil
}

func (c *Conductor) server(m partitioner.Member) dispatcher.Server {
	if m.ID == c.self.ID {
		return c.attendant
	}
	return c.peer(m.Address)
}

// candidate returns what is known of the backend server beside a member.
func (c *Conductor) candidate(m partitioner.Member) placer.Candidate {
	if m.ID == c.self.ID {
		var b overseer.Beat
		c.attendant.Counts(&b)
		return placer.Candidate{Slots: m.Server.Slots, Known: true, Running: b.Running, Waiting: b.Waiting, Mean: b.Mean, Cold: b.Cold}
	}
	load, known := (*c.loads.Load())[m.ID]
	return placer.Candidate{
		Slots: m.Server.Slots, Far: m.Zone != c.self.Zone, Known: known, Running: load.Running, Waiting: load.Waiting,
		Mean: load.Mean, Cold: load.Cold, InFlight: c.peer(m.Address).InFlight(),
	}
}
