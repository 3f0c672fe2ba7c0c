package participant

import (
	"math/rand/v2"
	"time"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
)

const (
	// farShare is what a request in another zone costs on top of its expected time,
	// in parts of its latency objective: bytes between zones are paid for.
	farShare = 0.25
	// herding is the random part of a cost, so that nodes with the same view do not
	// all choose the same server.
	herding = 0.2
	// usualMean is assumed of backend servers of which no request has ended yet.
	usualMean = 100 * time.Millisecond
	// crowding is how much longer work takes at a backend server with all slots busy.
	crowding = 0.5
)

// CountRequest counts a request for a service.
func (c *Participant) CountRequest(service string) { c.budget.count(service) }

// AllowRetry says whether a call may reach a backend server once more; ran says that the
// try before may have run.
func (c *Participant) AllowRetry(service string, ran bool) bool { return c.budget.spend(service, ran) }

// Choose returns the server that a call should go to, leaving some nodes out.
func (c *Participant) Choose(call *dispatcher.Call, tried map[partitioner.NodeID]bool) (dispatcher.Server, partitioner.NodeID, dispatcher.Reason) {
	t := c.table.Load()
	if t == nil {
		return nil, "", dispatcher.ReasonNoServer
	}
	if call.Divided {
		r, ok := t.Range(call.Service, call.Key)
		if !ok || r.Owner == "" {
			return nil, "", dispatcher.ReasonNotOwner
		}
		m, ok := t.Member(r.Owner)
		if !ok || tried[m.ID] {
			return nil, "", dispatcher.ReasonUnreachable
		}
		return c.server(m), m.ID, dispatcher.ReasonNone
	}
	best, found, bestCost := partitioner.Member{}, false, time.Duration(0)
	for _, m := range t.Members {
		if m.Server.Service != call.Service || !m.Server.Up() || tried[m.ID] || (*c.zonesOut.Load())[m.Zone] {
			continue
		}
		if m.ID != c.self.ID && !c.peer(m.Address).Reachable() {
			continue
		}
		cost := c.cost(m, call.Objective)
		if !found || cost < bestCost {
			best, found, bestCost = m, true, cost
		}
	}
	if !found {
		return nil, "", dispatcher.ReasonNoServer
	}
	return c.server(best), best.ID, dispatcher.ReasonNone
}

// Server returns the server beside a node.
func (c *Participant) Server(id partitioner.NodeID) dispatcher.Server {
	t := c.table.Load()
	if m, ok := t.Member(id); ok {
		return c.server(m)
	}
	return nil
}

func (c *Participant) server(m partitioner.Member) dispatcher.Server {
	if m.ID == c.self.ID {
		return c.attendant
	}
	return c.peer(m.Address)
}

// cost estimates how long a request takes at a backend server of a shared pool.
func (c *Participant) cost(m partitioner.Member, objective time.Duration) time.Duration {
	load := (*c.loads.Load())[m.ID]
	if m.ID == c.self.ID {
		var b overseer.Heartbeat
		c.attendant.FillLoad(&b)
		load = overseer.ServerLoad{Running: b.Running, Waiting: b.Waiting, MeanDuration: b.MeanDuration, Cold: b.Cold}
	}
	mean := load.MeanDuration
	if mean == 0 {
		mean = usualMean
	}
	n := float64(load.Running + load.Waiting)
	if m.ID != c.self.ID {
		n = max(n, float64(c.peer(m.Address).InFlight()))
	}
	slots := float64(max(m.Server.Slots, 1))
	use := min(n/slots, 1)
	expected := float64(mean) * (1 + crowding*use*use + max(0, n+1-slots)/slots)
	if load.Cold {
		expected *= 3 // a cold backend server bears a trickle
	}
	expected *= 1 + herding*rand.Float64()
	if m.Zone != c.self.Zone {
		expected += farShare * float64(objective)
	}
	return time.Duration(expected)
}
