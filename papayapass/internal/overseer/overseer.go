package overseer

import (
	"slices"
	"sort"
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// Times of the protocol.
const (
	// AuthorityDuration is how long one acknowledged write or one majority of echoes carries
	// the coordinator's authority. A lost owner's keys are free after it.
	AuthorityDuration = 2200 * time.Millisecond
	// RenewalInterval is the time between writes that only renew the tenure.
	RenewalInterval = 550 * time.Millisecond
	// MaxStoreOutage is the longest time that echoes carry the authority without the store.
	MaxStoreOutage = 20 * time.Second
	// CoordinatorTimeout is the time without a reply after which a node looks for another
	// coordinator: three beats.
	CoordinatorTimeout = 800 * time.Millisecond
	// drift covers clocks whose rates differ, in parts of a duration.
	drift = 0.02
	// leaseSlack is taken off each lease for the way to the node.
	leaseSlack = 20 * time.Millisecond
	// silence is the time without a beat after which a node gets no new keys.
	silence = 900 * time.Millisecond
	// settleSlack is added to a heartbeat for the time that a new service's backend
	// servers are waited for before its keys are divided: machines start together.
	settleSlack = 600 * time.Millisecond
	// loadMemory is the time constant of measured loads.
	loadMemory = 2 * time.Second
	// meanMemory is the time constant of mean durations, from which speeds follow.
	meanMemory = 5 * time.Second
	// keptTables is how many earlier tables deltas begin at.
	keptTables = 32
)

// node is what the coordinator knows of a member.
type node struct {
	beat       Heartbeat
	heard      timer.Instant
	leaseUntil timer.Instant
	echoed     timer.Instant
	// mean is the smoothed mean duration of requests at the backend server.
	mean float64
}

// Overseer is the state of a coordinator's term. The zero value coordinates nothing.
type Overseer struct {
	self      partitioner.NodeID
	heartbeat time.Duration
	table     *partitioner.Table
	confirmed timer.Instant
	began     timer.Instant
	// majorityAt is when a majority of the inherited members had joined.
	majorityAt timer.Instant
	inherited  map[partitioner.NodeID]bool
	// electorate is the number of members that the term began with.
	electorate int
	nodes      map[partitioner.NodeID]*node
	loads      map[string]*partitioner.Loads
	decayed    timer.Instant
	firstSeen  map[string]timer.Instant
	released   []partitioner.Release
	zonesOut   map[string]bool
	// inDoubt are tables whose writes have not been answered. Each may be, or may
	// come to be, what the store holds, until another write takes effect.
	inDoubt []*partitioner.Table
	// earlier are the tables of this term before the newest, the newest last.
	earlier []*partitioner.Table
}

// NewOverseer begins a term with a table that the store has acknowledged; sent is
// when its write was sent. Backend servers report themselves each heartbeat.
func NewOverseer(self partitioner.NodeID, t *partitioner.Table, heartbeat time.Duration, sent, now timer.Instant) *Overseer {
	o := &Overseer{
		self: self, heartbeat: heartbeat, table: t, confirmed: sent, began: now,
		inherited: make(map[partitioner.NodeID]bool), nodes: make(map[partitioner.NodeID]*node),
		loads: make(map[string]*partitioner.Loads), decayed: now,
		firstSeen: make(map[string]timer.Instant), electorate: len(t.Members),
	}
	for _, m := range t.Members {
		if m.ID != self {
			o.inherited[m.ID] = true
		}
	}
	if len(o.inherited) == 0 {
		o.majorityAt = now
	}
	return o
}

// Table returns the newest table that the store has acknowledged.
func (o *Overseer) Table() *partitioner.Table { return o.table }

// WriteStarted tells that a table is about to be written.
func (o *Overseer) WriteStarted(t *partitioner.Table) { o.inDoubt = append(o.inDoubt, t) }

// WriteFailed tells that the store certainly did not take the write of a table.
func (o *Overseer) WriteFailed(t *partitioner.Table) {
	o.inDoubt = slices.DeleteFunc(o.inDoubt, func(p *partitioner.Table) bool { return p == t })
}

// WriteConfirmed tells that the store acknowledged a write that was sent at an instant.
// The table is nil for a write that only renewed the tenure. No write on the
// condition of an earlier revision can take effect any more.
func (o *Overseer) WriteConfirmed(t *partitioner.Table, sent timer.Instant) {
	o.inDoubt = nil
	if t != nil {
		o.setTable(t)
	}
	o.confirm(sent)
}

// TableRead tells that the store held a table of this term when it was asked at an
// instant. Writes in doubt may still come.
func (o *Overseer) TableRead(t *partitioner.Table, sent timer.Instant) {
	if t.Newer(o.table) {
		o.setTable(t)
		o.inDoubt = slices.DeleteFunc(o.inDoubt, func(p *partitioner.Table) bool { return p.Version == t.Version })
	}
	o.confirm(sent)
}

func (o *Overseer) setTable(t *partitioner.Table) {
	o.earlier = append(o.earlier, o.table)
	if len(o.earlier) > keptTables {
		o.earlier = o.earlier[1:]
	}
	o.table = t
	o.released = nil
}

func (o *Overseer) confirm(sent timer.Instant) {
	if o.confirmed.Before(sent) {
		o.confirmed = sent
	}
}

// losing says whether a table in doubt takes keys from a node. Such a node gets no
// lease: whoever reads that table from the store counts the keys as another's.
func (o *Overseer) losing(id partitioner.NodeID) bool {
	for _, t := range o.inDoubt {
		if t.TakesFrom(o.table, id) {
			return true
		}
	}
	return false
}

// SetZonesOut replaces the zones that operators took out.
func (o *Overseer) SetZonesOut(zones []string) {
	o.zonesOut = make(map[string]bool, len(zones))
	for _, z := range zones {
		o.zonesOut[z] = true
	}
}

// AuthorityUntil returns the end of the coordinator's right to renew leases.
func (o *Overseer) AuthorityUntil() timer.Instant {
	end := o.confirmed.Add(AuthorityDuration)
	echo, ok := o.majorityEcho()
	bridged := min(echo.Add(AuthorityDuration), o.confirmed.Add(MaxStoreOutage))
	if ok && end.Before(bridged) {
		return bridged
	}
	return end
}

// majorityEcho returns the newest stamp that more than half of the members have
// echoed; the coordinator itself always has.
func (o *Overseer) majorityEcho() (timer.Instant, bool) {
	members := len(o.table.Members)
	var list []timer.Instant
	for _, m := range o.table.Members {
		if n, ok := o.nodes[m.ID]; ok && m.ID != o.self && n.echoed > 0 {
			list = append(list, n.echoed)
		}
	}
	need := members / 2 // with itself more than half
	if need == 0 || len(list) < need {
		return 0, false
	}
	sort.Slice(list, func(i, j int) bool { return list[i] > list[j] })
	return list[need-1], true
}

// StoreDown says whether the store has not acknowledged a write for longer than a
// renewal takes.
func (o *Overseer) StoreDown(now timer.Instant) bool {
	return now.Sub(o.confirmed) > RenewalInterval+silence
}

// HandleHeartbeat takes a beat and returns the reply to it.
func (o *Overseer) HandleHeartbeat(b Heartbeat, now timer.Instant) HeartbeatReply {
	id := b.Member.ID
	n, ok := o.nodes[id]
	if !ok {
		n = &node{}
		o.nodes[id] = n
	}
	n.smooth(b, now)
	n.beat, n.heard = b, now
	if b.Epoch == o.table.Epoch && n.echoed.Before(b.Echo) {
		n.echoed = b.Echo
	}
	o.join(b, now)
	o.count(b)
	if s := b.Member.Server; s.Divided && s.Up() {
		if _, seen := o.firstSeen[s.Service]; !seen {
			o.firstSeen[s.Service] = now
		}
	}
	o.released = append(o.released, b.Released...)
	return o.reply(n, b, now)
}

// smooth takes the mean duration that a beat reports.
func (n *node) smooth(b Heartbeat, now timer.Instant) {
	switch {
	case b.MeanDuration <= 0:
	case n.mean == 0 || b.Member.Server != n.beat.Member.Server:
		n.mean = b.MeanDuration.Seconds()
	default:
		n.mean += min(1, now.Sub(n.heard).Seconds()/meanMemory.Seconds()) * (b.MeanDuration.Seconds() - n.mean)
	}
}

// speeds returns the speeds of backend servers against the mean of their service.
func (o *Overseer) speeds() map[partitioner.NodeID]float64 {
	sums, counts := make(map[string]float64), make(map[string]int)
	for _, n := range o.nodes {
		if n.mean > 0 {
			sums[n.beat.Member.Server.Service] += n.mean
			counts[n.beat.Member.Server.Service]++
		}
	}
	out := make(map[partitioner.NodeID]float64, len(o.nodes))
	for id, n := range o.nodes {
		if service := n.beat.Member.Server.Service; n.mean > 0 {
			out[id] = sums[service] / float64(counts[service]) / n.mean
		}
	}
	return out
}

// join counts inherited members that follow this term.
func (o *Overseer) join(b Heartbeat, now timer.Instant) {
	if b.Epoch != o.table.Epoch || !o.inherited[b.Member.ID] {
		return
	}
	delete(o.inherited, b.Member.ID)
	if o.majorityAt == 0 && 2*len(o.inherited) < o.electorate {
		o.majorityAt = now
	}
}

func (o *Overseer) count(b Heartbeat) {
	if !b.Member.Server.Divided || len(b.Work) == 0 {
		return
	}
	l, ok := o.loads[b.Member.Server.Service]
	if !ok {
		l = partitioner.NewLoads()
		o.loads[b.Member.Server.Service] = l
	}
	for _, w := range b.Work {
		l.Add(w.Key, float64(w.Work)/loadMemory.Seconds())
	}
}

func (o *Overseer) reply(n *node, b Heartbeat, now timer.Instant) HeartbeatReply {
	r := HeartbeatReply{IsCoordinator: true, Epoch: o.table.Epoch, Stamp: now, StoreDown: o.StoreDown(now)}
	left := o.AuthorityUntil().Sub(now) - leaseSlack
	if left > 0 && !o.losing(b.Member.ID) {
		r.Lease = left - time.Duration(float64(left)*drift)
		if end := now.Add(left); n.leaseUntil.Before(end) {
			n.leaseUntil = end
		}
	}
	o.bring(&r, b)
	r.Loads = o.serverLoads(b.Member.Zone, now)
	return r
}

// bring adds the newest table to a reply, as a delta when the node has an earlier
// one of this term.
func (o *Overseer) bring(r *HeartbeatReply, b Heartbeat) {
	if b.Epoch == o.table.Epoch && b.Version >= o.table.Version {
		return
	}
	if b.Epoch == o.table.Epoch {
		for _, t := range o.earlier {
			if t.Version == b.Version && t.Epoch == b.Epoch {
				r.Delta = partitioner.Diff(t, o.table)
				return
			}
		}
	}
	r.Table = o.table
}

// serverLoads returns the loads of shared pools in a zone: nodes prefer their own,
// and ask those in others for a free slot.
func (o *Overseer) serverLoads(zone string, now timer.Instant) []ServerLoad {
	var out []ServerLoad
	for id, n := range o.nodes {
		s := n.beat.Member.Server
		if s.ID == "" || s.Divided || n.beat.Member.Zone != zone || now.Sub(n.heard) > silence {
			continue
		}
		out = append(out, ServerLoad{
			Node: id, Running: n.beat.Running, Waiting: n.beat.Waiting, MeanDuration: n.beat.MeanDuration, Cold: n.beat.Cold,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

// SilentMembers returns the members that have not been heard lately, or not yet. They may
// not know who coordinates: the store may turn them away.
func (o *Overseer) SilentMembers(now timer.Instant) []partitioner.Member {
	var out []partitioner.Member
	for _, m := range o.table.Members {
		if n, ok := o.nodes[m.ID]; m.ID != o.self && (!ok || now.Sub(n.heard) > CoordinatorTimeout) {
			out = append(out, m)
		}
	}
	return out
}

// gone says whether no lease of a member can be valid any more. Leases of earlier
// terms end a tenure after a majority has joined this one, or after the bridge.
func (o *Overseer) gone(id partitioner.NodeID, now timer.Instant) bool {
	if id == o.self {
		return false
	}
	if n, ok := o.nodes[id]; ok {
		margin := time.Duration(float64(AuthorityDuration) * drift)
		return now.Sub(n.heard) > silence && n.leaseUntil.Add(margin) < now
	}
	if o.majorityAt > 0 {
		return o.majorityAt.Add(AuthorityDuration+time.Duration(float64(AuthorityDuration)*drift)) < now
	}
	return o.began.Add(MaxStoreOutage+AuthorityDuration) < now
}
