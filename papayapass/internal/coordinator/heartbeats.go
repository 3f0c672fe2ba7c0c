package coordinator

import (
	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// HandleHeartbeat records a heartbeat and replies to it.
func (c *Coordinator) HandleHeartbeat(b *wirepb.Beat, now timer.Instant) {
	if c.resigned {
		return
	}
	if assigner.Epoch(b.GetEpoch()) > c.epoch {
		c.resign("a node has joined a newer epoch")
		return
	}
	id := assigner.NodeID(b.GetNode())
	p := c.peer(id)
	if b.GetIncarnation() < p.incarnation {
		return
	}
	current := c.recordHeartbeat(id, p, b, now)
	r := c.reply(now)
	p.sentVersion = b.GetTableVersion()
	r.Sequence = b.GetSequence()
	if assigner.Epoch(b.GetEpoch()) != c.epoch {
		p.sentVersion = 0
		r.CoordinatorAddress = c.self.Address()
	}
	r.Incarnation = b.GetIncarnation()
	if current {
		c.renew(p, r, b, now)
	}
	c.attach(r, p)
	r.TableVersion = c.table.Version()
	if b.GetConfigurationVersion() < c.configuration.GetVersion() {
		r.Configuration = c.configuration
	}
	c.send(id, r)
}

// recordHeartbeat records the content of a heartbeat. It returns false if the
// node has restarted and its old incarnation may still have a lease.
func (c *Coordinator) recordHeartbeat(id assigner.NodeID, p *peer, b *wirepb.Beat, now timer.Instant) bool {
	if p.incarnation != b.GetIncarnation() {
		p.lastContact = now
		p.restartHeartbeat = b
		if !c.leaseEnded(p, now) {
			return false
		}
		c.restart(id, p)
	}
	p.lastContact = now
	p.tableVersion = b.GetTableVersion()
	p.configurationVersion = b.GetConfigurationVersion()
	p.leaving = p.leaving || b.GetProfile().GetLeaving()
	if assigner.Epoch(b.GetEpoch()) == c.epoch {
		p.votersVersion = b.GetVotersVersion()
		if !b.GetQuiet() && b.GetEcho() != 0 {
			p.confirm(timer.Instant(b.GetEcho()))
		}
	}
	c.loads.update(c.table, id, b.GetLoads())
	c.splitHotKeys(b.GetHotKeys(), now)
	c.updateMember(id, b)
	c.takeHoldings(id, b.GetHoldings())
	c.takeReleases(id, b.GetReleased())
	return true
}

// restartMembers replaces the old incarnations of restarted nodes as soon as
// their leases have ended, so that these nodes are not marked as lost.
func (c *Coordinator) restartMembers(now timer.Instant) {
	for _, m := range c.table.Members() {
		p := c.peer(m.ID())
		if p.restartHeartbeat != nil && now.Sub(p.lastContact) < contactFreshness && c.leaseEnded(p, now) {
			c.restart(m.ID(), p)
		}
	}
}

// restart replaces the old incarnation of a node, whose lease has ended. The
// node keeps its slices if its backend server is still up.
func (c *Coordinator) restart(id assigner.NodeID, p *peer) {
	b := p.restartHeartbeat
	p.restartHeartbeat = nil
	p.incarnation = b.GetIncarnation()
	p.extendLease(p.lastContact.Add(contactFreshness))
	if _, ok := c.table.Member(id); !ok || b.GetProfile() == nil {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	m := assigner.DecodeProfile(id, b.GetIncarnation(), b.GetProfile())
	if m.Server().State() == assigner.ServerUp {
		planner.RenewTokens(id)
	} else {
		planner.Unassign(id)
	}
	t.SetMember(m)
	planner.Assign(c.mayBeLeased)
	planner.SetStandbys()
	c.publish(t)
}

func (c *Coordinator) updateMember(id assigner.NodeID, b *wirepb.Beat) {
	old, ok := c.table.Member(id)
	m := old.WithLost(false)
	if b.GetProfile() != nil {
		m = assigner.DecodeProfile(id, b.GetIncarnation(), b.GetProfile())
	}
	if m.ID() == "" || ok && old == m {
		return
	}
	t := c.table.Clone()
	t.SetMember(m)
	c.publish(t)
	if !ok || old.Server().State() != m.Server().State() {
		c.settledAt = c.peers[id].lastContact.Add(settleTime)
	}
}

// takeHoldings keeps slices at a node that joined late and still has a lease on
// them from an older epoch. A slice without an owner cannot have been given to
// another node in the meantime.
func (c *Coordinator) takeHoldings(id assigner.NodeID, held []*wirepb.Holding) {
	if len(held) == 0 || c.ready {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, h := range held {
		if s, ok := t.Lookup(h.GetPool(), h.GetStart()); ok && s.Owner() == "" {
			planner.SetOwner(h.GetPool(), h.GetStart(), h.GetLast(), id, assigner.Token(h.GetToken()))
		}
	}
	if planner.Changed() {
		c.publish(t)
	}
}

// takeReleases completes the moves of released slices, and reassigns slices
// that were released because their owner has no backend server.
func (c *Coordinator) takeReleases(id assigner.NodeID, released []*wirepb.Holding) {
	if len(released) == 0 {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, h := range released {
		token := assigner.Token(h.GetToken())
		planner.CompleteMove(h.GetPool(), h.GetStart(), id, token)
		planner.ClearOwner(h.GetPool(), h.GetStart(), id, token)
	}
	planner.Assign(c.mayBeLeased)
	if planner.Changed() {
		c.publish(t)
	}
}

// renew renews the node's lease in the heartbeat reply.
func (c *Coordinator) renew(p *peer, r *wirepb.BeatReply, b *wirepb.Beat, now timer.Instant) {
	if assigner.Epoch(b.GetEpoch()) != c.epoch {
		return
	}
	lease := c.leaseDuration(now)
	if lease <= 0 {
		return
	}
	r.LeaseMillis = uint32(lease.Milliseconds())
	p.extendLease(now.Add(holder.WithClockMargin(lease)))
}
