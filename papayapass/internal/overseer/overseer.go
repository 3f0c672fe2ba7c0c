package overseer

import (
	"slices"
	"sort"
	"time"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// Time-outs, intervals and limits of the lease protocol.
const (
	// AuthorityDuration is how long one acknowledged write, one read of this term's
	// table, or one stamp echoed by a majority, extends the coordinator's authority. A
	// lost owner's keys are free after it.
	AuthorityDuration = 3500 * time.Millisecond
	// OwnLeaseDuration replaces AuthorityDuration in the lease of the coordinator's own
	// node. Its successor counts that lease from a later time than the loss.
	OwnLeaseDuration = 2200 * time.Millisecond
	// RenewalInterval is the time between writes that only renew the authority.
	RenewalInterval = 550 * time.Millisecond
	// MaxStoreOutage is how long echoes may extend the authority without the store.
	MaxStoreOutage = 20 * time.Second
	// CoordinatorTimeout is the time without a reply after which a node looks for
	// another coordinator: three heartbeats.
	CoordinatorTimeout = 800 * time.Millisecond
	// clockDriftPercent is the tolerated difference between clock rates, as a percentage of
	// a duration.
	clockDriftPercent = 2
	// leaseDrift is the drift over the longest lease.
	leaseDrift = AuthorityDuration * clockDriftPercent / 100
	// leaseSlack is subtracted from each lease for the network delay to the node.
	leaseSlack = 20 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a node gets no new
	// keys.
	heartbeatTimeout = 900 * time.Millisecond
	// startupSlack is added to the heartbeat interval of backend servers: the keys of a
	// new service are divided only after both have passed, since its instances start at
	// about the same time.
	startupSlack = 600 * time.Millisecond
	// loadTimeConstant is the time constant of the decay of measured loads.
	loadTimeConstant = 2 * time.Second
	// meanTimeConstant is the time constant of the smoothed mean durations, from which
	// server speeds are derived.
	meanTimeConstant = 5 * time.Second
	// handOverFactor is how many times as many cores a machine must have to be handed the
	// role, and handOverDelay how long a term lasts before that.
	handOverFactor = 2
	handOverDelay  = 3 * time.Second
	// maxEarlierTables is the number of earlier tables kept as bases of deltas.
	maxEarlierTables = 32
)

// node is the coordinator's state for one member.
type node struct {
	lastHeartbeat   Heartbeat
	lastHeartbeatAt timer.Instant
	leaseUntil      timer.Instant
	echoedStamp     timer.Instant
	// startedAt is when the present process of the node started at the latest, and not before the
	// newest heartbeat of the one before.
	startedAt timer.Instant
	// formerLeaseUntil is when the leases that this term gave to the process before end, or zero
	// if it gave none.
	formerLeaseUntil timer.Instant
	// namedServer is the newest start of its backend server that the process has named.
	namedServer partitioner.Server
	// meanSeconds is the smoothed mean duration of requests at the backend server.
	meanSeconds float64
}

// Overseer is the state of one coordinator for its term. The zero value coordinates
// nothing.
type Overseer struct {
	self                    partitioner.NodeID
	serverHeartbeatInterval time.Duration
	table                   *partitioner.Table
	confirmedAt             timer.Instant
	termStart               timer.Instant
	// majorityJoinedAt is when a majority of the initial members had joined this term;
	// zero before.
	majorityJoinedAt timer.Instant
	notJoined        map[partitioner.NodeID]bool
	// initialMemberCount is the number of members at the start of the term.
	initialMemberCount int
	nodes              map[partitioner.NodeID]*node
	loads              map[string]*partitioner.Loads
	decayedAt          timer.Instant
	firstSeen          map[string]timer.Instant
	released           []partitioner.Release
	zonesOut           map[string]bool
	suspects           suspects
	// hasQuotas is set while customers have quotas, which need owners of quota shards.
	hasQuotas bool
	// inDoubt holds tables whose writes are in doubt. The store may hold any of them,
	// now or later, until another write takes effect.
	inDoubt []*partitioner.Table
	// freed holds the ranges that lost their owner in the last plan.
	freed []partitioner.FreedRange
	// earlierTables are the previous tables of this term, oldest first.
	earlierTables []*partitioner.Table
}

// NewOverseer starts a term with a table that the store has acknowledged; sent is when
// its write or read was sent. Backend servers send a heartbeat every
// serverHeartbeatInterval.
func NewOverseer(self partitioner.NodeID, t *partitioner.Table, serverHeartbeatInterval time.Duration, sent, now timer.Instant) *Overseer {
	o := &Overseer{
		self: self, serverHeartbeatInterval: serverHeartbeatInterval, table: t, confirmedAt: sent, termStart: now,
		notJoined: make(map[partitioner.NodeID]bool), nodes: make(map[partitioner.NodeID]*node),
		loads: make(map[string]*partitioner.Loads), decayedAt: now,
		firstSeen: make(map[string]timer.Instant), initialMemberCount: len(t.Members),
		suspects: newSuspects(t.Suspects, now),
	}
	for _, m := range t.Members {
		if m.ID != self {
			o.notJoined[m.ID] = true
		}
	}
	if len(o.notJoined) == 0 {
		o.majorityJoinedAt = now
	}
	return o
}

// Table returns the newest table that the store has acknowledged.
func (o *Overseer) Table() *partitioner.Table { return o.table }

// Freed returns the ranges that lost their owner in the last plan.
func (o *Overseer) Freed() []partitioner.FreedRange { return o.freed }

// WriteStarted records that a table is about to be written.
func (o *Overseer) WriteStarted(t *partitioner.Table) { o.inDoubt = append(o.inDoubt, t) }

// WriteFailed records that the store certainly did not apply the write of a table.
func (o *Overseer) WriteFailed(t *partitioner.Table) {
	o.inDoubt = slices.DeleteFunc(o.inDoubt, func(p *partitioner.Table) bool { return p == t })
}

// WriteConfirmed records that the store acknowledged a write sent at the given instant.
// The table is nil for a write that only renewed the authority. Writes conditional on an
// earlier revision can no longer take effect.
func (o *Overseer) WriteConfirmed(t *partitioner.Table, sent timer.Instant) {
	o.inDoubt = nil
	if t != nil {
		o.setTable(t)
	}
	o.confirm(sent)
}

// TableRead records that a read of the store, sent at the given instant, returned a
// table of this term. Other writes in doubt may still take effect.
func (o *Overseer) TableRead(t *partitioner.Table, sent timer.Instant) {
	if t.Newer(o.table) {
		o.setTable(t)
		o.inDoubt = slices.DeleteFunc(o.inDoubt, func(p *partitioner.Table) bool { return p.Version == t.Version })
	}
	o.confirm(sent)
}

func (o *Overseer) setTable(t *partitioner.Table) {
	o.earlierTables = append(o.earlierTables, o.table)
	if len(o.earlierTables) > maxEarlierTables {
		o.earlierTables = o.earlierTables[1:]
	}
	o.table = t
	o.released = nil
}

func (o *Overseer) confirm(sent timer.Instant) {
	if o.confirmedAt.Before(sent) {
		o.confirmedAt = sent
	}
}

// mayLoseKeys reports whether a table in doubt takes keys from a node. Such a node gets
// no lease, because nodes that read that table from the store treat the keys as owned by
// another.
func (o *Overseer) mayLoseKeys(id partitioner.NodeID) bool {
	for _, t := range o.inDoubt {
		if t.TakesFrom(o.table, id) {
			return true
		}
	}
	return false
}

// SetZonesOut replaces the set of zones that operators took out of service.
func (o *Overseer) SetZonesOut(zones []string) {
	o.zonesOut = make(map[string]bool, len(zones))
	for _, z := range zones {
		o.zonesOut[z] = true
	}
}

// SetQuotas sets whether customers have quotas.
func (o *Overseer) SetQuotas(has bool) { o.hasQuotas = has }

// AuthorityUntil returns the instant until which the coordinator may renew leases.
func (o *Overseer) AuthorityUntil() timer.Instant {
	end := o.confirmedAt.Add(AuthorityDuration)
	echo, ok := o.majorityEcho()
	echoEnd := min(echo.Add(AuthorityDuration), o.confirmedAt.Add(MaxStoreOutage))
	if ok && end.Before(echoEnd) {
		return echoEnd
	}
	return end
}

// majorityEcho returns the newest stamp that more than half of the members have echoed.
// The coordinator counts as one of them, and processes that are not current do not count.
func (o *Overseer) majorityEcho() (timer.Instant, bool) {
	members := len(o.table.Members)
	var list []timer.Instant
	for _, m := range o.table.Members {
		if n, ok := o.nodes[m.ID]; ok && m.ID != o.self && n.echoedStamp > 0 && (o.isCurrent(n) || mutator.Active(mutator.TrustRestartedMembers)) {
			list = append(list, n.echoedStamp)
		}
	}
	need := members / 2 // together with the coordinator, more than half
	if need == 0 || len(list) < need {
		return 0, false
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	return list[need-1], true
}

// isCurrent reports whether the process of a node started before the newest acknowledged write.
// The one before a later process may have followed a later term, and may have released keys in it
// that the node's table still names as its own.
func (o *Overseer) isCurrent(n *node) bool { return n.startedAt.Before(o.confirmedAt) }

// RenewalDue reports whether a member waits for a write, since its process started after the
// newest one. A store that is down is not asked more often.
func (o *Overseer) RenewalDue(now timer.Instant) bool {
	if o.StoreDown(now) {
		return false
	}
	for _, n := range o.nodes {
		if n.lastHeartbeat.Member.ID != o.self && !o.isCurrent(n) {
			return true
		}
	}
	return false
}

// StoreDown reports whether the newest acknowledged write, or read of this term's table,
// is older than RenewalInterval and heartbeatTimeout together.
func (o *Overseer) StoreDown(now timer.Instant) bool {
	return now.Sub(o.confirmedAt) > RenewalInterval+heartbeatTimeout
}

// HandleHeartbeat records a heartbeat and returns the reply to it.
func (o *Overseer) HandleHeartbeat(b Heartbeat, now timer.Instant) HeartbeatReply {
	id := b.Member.ID
	n, ok := o.nodes[id]
	if !ok {
		n = &node{}
		o.nodes[id] = n
	}
	if ok && n.contradicts(b, now) {
		return o.reply(&node{startedAt: now}, b, now)
	}
	if !ok || n.lastHeartbeat.Incarnation != b.Incarnation {
		n.startedAt, n.formerLeaseUntil = max(b.startedBy(now), n.lastHeartbeatAt), n.leaseUntil
		n.echoedStamp, n.namedServer = 0, partitioner.Server{}
	}
	if n.namedServer.StartedAfter(b.Member.Server) {
		b.Member = n.lastHeartbeat.Member // the heartbeat was overtaken
	} else {
		n.namedServer = b.Member.Server
	}
	o.correctServer(&b.Member, n, now)
	n.smoothMean(b, now)
	n.lastHeartbeat, n.lastHeartbeatAt = b, now
	if b.Epoch == o.table.Epoch && n.echoedStamp.Before(b.Echo) {
		n.echoedStamp = b.Echo
	}
	o.recordJoin(b, now)
	o.addLoads(b)
	if s := b.Member.Server; s.Divided && s.Up() {
		if _, seen := o.firstSeen[s.Service]; !seen {
			o.firstSeen[s.Service] = now
		}
	}
	o.released = append(o.released, b.Released...)
	o.suspects.merge(b.Suspects, now)
	return o.reply(n, b, now)
}

// contradicts reports whether a heartbeat of another process of the node is of an earlier
// incarnation, which is a time of day, or names a start before the newest heartbeat of the present
// one. It is late, or its uptime is wrong, and counts for nothing while the present process is heard.
func (n *node) contradicts(b Heartbeat, now timer.Instant) bool {
	isEarlier := b.Incarnation < n.lastHeartbeat.Incarnation || b.startedBy(now).Before(n.lastHeartbeatAt)
	return n.lastHeartbeat.Incarnation != b.Incarnation && isEarlier && now.Sub(n.lastHeartbeatAt) <= heartbeatTimeout
}

// smoothMean updates the smoothed mean duration from a heartbeat.
func (n *node) smoothMean(b Heartbeat, now timer.Instant) {
	switch {
	case b.MeanDuration <= 0:
	case n.meanSeconds == 0 || b.Member.Server != n.lastHeartbeat.Member.Server:
		n.meanSeconds = b.MeanDuration.Seconds()
	default:
		n.meanSeconds += min(1, now.Sub(n.lastHeartbeatAt).Seconds()/meanTimeConstant.Seconds()) * (b.MeanDuration.Seconds() - n.meanSeconds)
	}
}

// speeds returns the speed of each backend server relative to the mean of its service.
func (o *Overseer) speeds() map[partitioner.NodeID]float64 {
	sums, counts := make(map[string]float64), make(map[string]int)
	for _, n := range o.nodes {
		if n.meanSeconds > 0 {
			sums[n.lastHeartbeat.Member.Server.Service] += n.meanSeconds
			counts[n.lastHeartbeat.Member.Server.Service]++
		}
	}
	out := make(map[partitioner.NodeID]float64, len(o.nodes))
	for id, n := range o.nodes {
		if service := n.lastHeartbeat.Member.Server.Service; n.meanSeconds > 0 {
			out[id] = sums[service] / float64(counts[service]) / n.meanSeconds
		}
	}
	return out
}

// recordJoin records that an initial member follows this term.
func (o *Overseer) recordJoin(b Heartbeat, now timer.Instant) {
	if b.Epoch != o.table.Epoch {
		return
	}
	if !o.notJoined[b.Member.ID] {
		return
	}
	delete(o.notJoined, b.Member.ID)
	if o.majorityJoinedAt == 0 && 2*len(o.notJoined) < o.initialMemberCount {
		o.majorityJoinedAt = now
	}
}

func (o *Overseer) addLoads(b Heartbeat) {
	if !b.Member.Server.Divided || len(b.Work) == 0 {
		return
	}
	l, ok := o.loads[b.Member.Server.Service]
	if !ok {
		l = partitioner.NewLoads()
		o.loads[b.Member.Server.Service] = l
	}
	for _, w := range b.Work {
		l.Add(w.Key, float64(w.Work)/loadTimeConstant.Seconds())
	}
}

func (o *Overseer) reply(n *node, b Heartbeat, now timer.Instant) HeartbeatReply {
	r := HeartbeatReply{IsCoordinator: true, IsBlank: o.table.IsBlank(), Epoch: o.table.Epoch, Stamp: now, StoreDown: o.StoreDown(now)}
	left := o.AuthorityUntil().Sub(now) - leaseSlack
	if b.Member.ID == o.self {
		left -= AuthorityDuration - OwnLeaseDuration
	}
	mayHaveLease := b.Member.ID == o.self || o.isCurrent(n) || mutator.Active(mutator.LeaseToRestartedMembers)
	if left > 0 && mayHaveLease && !o.table.HidesHolders() && !o.mayLoseKeys(b.Member.ID) && !slices.Contains(o.table.Unheard, b.Member.ID) {
		r.Lease = left - left*clockDriftPercent/100
		if end := now.Add(left); n.leaseUntil.Before(end) {
			n.leaseUntil = end
		}
	}
	o.addTable(&r, b)
	r.TakeOver = o.shouldHandOver(b, now)
	r.Suspects = o.suspects.unknownTo(o.table)
	r.Loads = o.serverLoads(b.Member.Zone, now)
	return r
}

// shouldHandOver reports whether the node that sent a heartbeat is to take the role. The
// coordinator's work grows with the fleet and does not fit the smallest machines, so the
// largest machine gets it, unless it is hardly larger. While the table hides holders, another term
// would have to wait for the ends of their leases once more.
func (o *Overseer) shouldHandOver(b Heartbeat, now timer.Instant) bool {
	own, _ := o.table.Member(o.self)
	if o.table.HidesHolders() || own.Cores <= 0 || b.Member.Cores < handOverFactor*own.Cores || now.Sub(o.termStart) < handOverDelay {
		return false
	}
	for id, n := range o.nodes {
		m := n.lastHeartbeat.Member
		isLarger := m.Cores > b.Member.Cores || (m.Cores == b.Member.Cores && id < b.Member.ID)
		if isLarger && !n.lastHeartbeat.Stopping && now.Sub(n.lastHeartbeatAt) <= heartbeatTimeout {
			return false
		}
	}
	return !b.Stopping && !o.zonesOut[b.Member.Zone]
}

// addTable adds the newest table to a reply unless the node has it, as a delta when the
// node has one of earlierTables.
func (o *Overseer) addTable(r *HeartbeatReply, b Heartbeat) {
	if b.Epoch == o.table.Epoch && b.Version >= o.table.Version {
		return
	}
	if b.Epoch == o.table.Epoch {
		for _, t := range o.earlierTables {
			if t.Version == b.Version && t.Epoch == b.Epoch {
				r.Delta = partitioner.Diff(t, o.table)
				return
			}
		}
	}
	r.Table = o.table
}

// serverLoads returns the loads of shared pools in a zone. Nodes prefer backend servers
// of their own zone, and ask nodes of other zones for a free slot.
func (o *Overseer) serverLoads(zone string, now timer.Instant) []ServerLoad {
	var out []ServerLoad
	for _, n := range o.nodes {
		s := n.lastHeartbeat.Member.Server
		if s.ID == "" || s.Divided || n.lastHeartbeat.Member.Zone != zone || now.Sub(n.lastHeartbeatAt) > heartbeatTimeout {
			continue
		}
		out = append(out, n.lastHeartbeat.ServerLoad())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// SilentMembers returns the members without a recent heartbeat, or without any. They may
// not know the current coordinator, since the store may reject their requests.
func (o *Overseer) SilentMembers(now timer.Instant) []partitioner.Member {
	var out []partitioner.Member
	for _, m := range o.table.Members {
		if n, ok := o.nodes[m.ID]; m.ID != o.self && (!ok || now.Sub(n.lastHeartbeatAt) > CoordinatorTimeout) {
			out = append(out, m)
		}
	}
	return out
}
