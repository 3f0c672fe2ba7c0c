package overseer

import (
	"slices"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// Plan returns the table to write next, or nil when the current one needs no change. The
// caller calls WriteStarted, writes the table on condition that the store still holds the
// one it is based on, then calls WriteConfirmed, WriteFailed or TableRead.
func (o *Overseer) Plan(now timer.Instant) *partitioner.Table {
	o.decay(now)
	o.freed = nil
	founding := o.founding(now)
	if founding != "" && o.table.HidesHolders() {
		return o.planMembers(now)
	}
	if o.isRecovering(now) {
		return nil
	}
	p := partitioner.NewPlan(o.withMembers(now), o.memberStates(now), o.loads)
	p.FreeLost()
	p.Free(o.table.Unheard)
	p.ApplyReleases(o.released)
	for service, first := range o.firstSeen {
		if now.Sub(max(first, o.termStart)) > o.serverHeartbeatInterval+startupSlack {
			p.Divide(service)
		}
	}
	p.Assign()
	p.Evacuate()
	p.Balance()
	p.Merge()
	p.Compact()
	if o.hasQuotas && (len(o.table.QuotaShards) > 0 || now.Sub(o.termStart) > o.serverHeartbeatInterval+startupSlack) {
		p.AssignQuotaShards(o.table.Unheard)
	}
	o.freed = p.Freed()
	next := p.Table()
	membersChanged := o.removeExpired(next, now)
	next.HasOwnLease = o.termStart.Add(AuthorityDuration+leaseDrift).Before(now) || mutator.Active(mutator.ShortLeaseAtOnce)
	next.Unheard, next.Suspects, next.Founding = nil, o.suspects.list(now), founding
	if len(o.table.Unheard) == 0 && slices.Equal(next.Suspects, o.table.Suspects) && !p.Changed() && !membersChanged && membersEqual(next, o.table) && next.HasOwnLease == o.table.HasOwnLease && founding == o.table.Founding {
		return nil
	}
	next.Version = o.table.Version + 1
	return next
}

// planMembers returns the table with its present members and the same owners, or nil if it is the
// current one.
func (o *Overseer) planMembers(now timer.Instant) *partitioner.Table {
	next := o.withMembers(now)
	if membersEqual(next, o.table) {
		return nil
	}
	next.Version = o.table.Version + 1
	return next
}

// correctServer replaces a backend server that started before the one in the table. A process
// that has just started may have heard a late heartbeat of it, while the present one holds keys
// that the process before granted.
func (o *Overseer) correctServer(m *partitioner.Member, n *node, now timer.Instant) {
	known, ok := o.table.Member(m.ID)
	if !ok || !known.Server.StartedAfter(m.Server) || now.Sub(n.startedAt) > AuthorityDuration+leaseDrift {
		return
	}
	known.Server.Down = m.Server.Down
	m.Server = known.Server
}

func membersEqual(a, b *partitioner.Table) bool {
	if len(a.Members) != len(b.Members) {
		return false
	}
	for i := range a.Members {
		if a.Members[i] != b.Members[i] {
			return false
		}
	}
	return true
}

// withMembers returns a clone of the table with the members as their last heartbeats
// describe them.
func (o *Overseer) withMembers(now timer.Instant) *partitioner.Table {
	t := o.table.Clone()
	for id, n := range o.nodes {
		if !o.leaseExpired(id, now) {
			t.SetMember(n.lastHeartbeat.Member)
		}
	}
	return t
}

// removeExpired removes members whose leases have expired and that own no keys.
func (o *Overseer) removeExpired(t *partitioner.Table, now timer.Instant) bool {
	removed := false
	for _, m := range append([]partitioner.Member(nil), t.Members...) {
		if o.leaseExpired(m.ID, now) && len(t.Owned(m.ID)) == 0 {
			t.RemoveMember(m.ID)
			delete(o.nodes, m.ID)
			delete(o.notJoined, m.ID)
			removed = true
		}
	}
	return removed
}

func (o *Overseer) memberStates(now timer.Instant) map[partitioner.NodeID]partitioner.MemberState {
	out := make(map[partitioner.NodeID]partitioner.MemberState)
	for _, m := range o.table.Members {
		out[m.ID] = partitioner.MemberState{Silent: true, LeaseExpired: o.leaseExpired(m.ID, now)}
	}
	speeds := o.speeds()
	for id, n := range o.nodes {
		capacity := 0.0
		if load := n.lastHeartbeat.ServerLoad(); load.RateLimit > 0 {
			capacity = load.Slots(n.lastHeartbeat.Member.Server.Slots)
		}
		out[id] = partitioner.MemberState{
			Speed: speeds[id], Capacity: capacity,
			LeaseExpired: o.leaseExpired(id, now), Silent: now.Sub(n.lastHeartbeatAt) > heartbeatTimeout,
			Excluded: o.zonesOut[n.lastHeartbeat.Member.Zone], WarmingUp: n.lastHeartbeat.WarmingUp, GrantInDoubt: n.lastHeartbeat.GrantInDoubt,
			PriorGrants: now <= o.formerLeaseEnd(id, n) && !mutator.Active(mutator.FreeBesidePriorGrants),
		}
	}
	return out
}

func (o *Overseer) decay(now timer.Instant) {
	elapsed := now.Sub(o.decayedAt)
	if elapsed <= 0 {
		return
	}
	o.decayedAt = now
	factor := max(0, 1-elapsed.Seconds()/loadTimeConstant.Seconds())
	for _, l := range o.loads {
		l.Decay(factor)
	}
}
