package coordinator

import (
	"sort"
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Times and limits of a cell.
const (
	// VoterRetention is how long a lost node remains a voter.
	VoterRetention = time.Minute
	// MaxVoters is the maximum number of voters in a cell.
	MaxVoters = 12
	// storeRetryInterval is the time between two writes while the platform is
	// unavailable.
	storeRetryInterval = 500 * time.Millisecond
	// contactFreshness is how long a node counts as present after its last
	// heartbeat or confirmation, for example a restarted node that cannot get a
	// lease yet.
	contactFreshness = 2 * holder.HeartbeatInterval
	// planInterval is the time between two plans of an unchanged table.
	planInterval = 250 * time.Millisecond
	// heartbeatRequestInterval is the minimum time between two requests for
	// heartbeats.
	heartbeatRequestInterval = 50 * time.Millisecond
	// historyTables is the number of published tables that are kept in order to
	// send deltas.
	historyTables = 64
	// settleTime is how long load balancing pauses after a node joins, so that
	// nodes that start together are balanced together.
	settleTime = time.Second
)

// Coordinator is the state of one cell's coordinator in one epoch.
type Coordinator struct {
	self                holder.Identity
	epoch               assigner.Epoch
	sequence            uint32
	table               *assigner.Table
	draft               *assigner.Table
	issuedVersion       uint64
	storedVersion       uint64
	writing             bool
	storeDown           bool
	nextWrite           timer.Instant
	history             []*assigner.Table
	peers               map[assigner.NodeID]*peer
	readyAt             timer.Instant
	heartbeatsRequested timer.Instant
	settledAt           timer.Instant
	plannedTable        *assigner.Table
	plannedAt           timer.Instant
	restriction         assigner.Restriction
	configuration       *wirepb.Configuration
	loads               loadTable
	lastHot             map[loadKey]timer.Instant
	budget              moveBudget
	ready               bool
	resigned            bool
	actions             []Action
}

func emptyCoordinator(self holder.Identity, epoch assigner.Epoch, now timer.Instant) *Coordinator {
	return &Coordinator{
		self:          self,
		epoch:         epoch,
		peers:         make(map[assigner.NodeID]*peer),
		restriction:   assigner.NewRestriction(nil, nil),
		configuration: &wirepb.Configuration{},
		loads:         make(loadTable),
		lastHot:       make(map[loadKey]timer.Instant),
		budget:        moveBudget{left: balanceMovesBurst, last: now},
	}
}

// NewCoordinator returns the coordinator of a newly created cell, which has no
// older leases to wait for.
func NewCoordinator(self holder.Identity, table *assigner.Table, now timer.Instant) *Coordinator {
	c := emptyCoordinator(self, table.Epoch(), now)
	c.table = table
	c.history = []*assigner.Table{table}
	c.issuedVersion = table.Version()
	c.storedVersion = table.Version()
	c.readyAt = now
	c.ready = true
	c.peer(self.ID()).incarnation = self.Incarnation()
	return c
}

// NewSuccessor returns the coordinator of the epoch that a candidacy has won.
// Slices that a joined voter has under a valid lease keep their owner. The
// others are assigned only after all leases of earlier coordinators have ended:
// no lease outlives the authority that a majority confirmed before it joined.
func NewSuccessor(won *Candidacy, now timer.Instant) *Coordinator {
	c := emptyCoordinator(won.self, won.epoch, now)
	c.readyAt = now.Add(holder.WithClockMargin(holder.AuthorityDuration))
	if mutator.Active(mutator.SkipTakeoverWait) {
		c.readyAt = now
	}
	t := won.newestTable().Clone()
	t.ClearMoves()
	t.ClearOwners()
	t.SetVoters(c.epoch, t.Voters())
	planner := c.planner(t)
	for id, r := range won.replies {
		p := c.peer(id)
		p.incarnation = r.GetIncarnation()
		p.lastContact = now
		if !r.GetQuiet() {
			p.confirm(timer.Instant(r.GetStamp()))
		}
		for _, h := range r.GetHoldings() {
			planner.SetOwner(h.GetPool(), h.GetStart(), h.GetLast(), id, assigner.Token(h.GetToken()))
		}
	}
	for _, m := range t.Members() {
		p := c.peer(m.ID())
		p.extendLease(c.readyAt)
		if p.incarnation == 0 {
			p.incarnation = m.Incarnation()
		}
	}
	planner.SetStandbys()
	c.publish(t)
	c.requestAllHeartbeats(now)
	return c
}

// Epoch returns the coordinator's epoch.
func (c *Coordinator) Epoch() assigner.Epoch { return c.epoch }

// Table returns the published table.
func (c *Coordinator) Table() *assigner.Table { return c.table }

// StoreDown reports whether the last write failed or is in doubt, usually
// because the platform does not respond.
func (c *Coordinator) StoreDown() bool { return c.storeDown }

// TakeActions returns the due actions and clears them.
func (c *Coordinator) TakeActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// Peers returns the state of the nodes, ordered by name.
func (c *Coordinator) Peers(now timer.Instant) []PeerStatus {
	out := make([]PeerStatus, 0, len(c.peers))
	for id, p := range c.peers {
		out = append(out, PeerStatus{
			id: id, configuration: p.configurationVersion, tableVersion: p.tableVersion, silence: now.Sub(p.lastContact),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// SetConfiguration applies a newer configuration and sends it to all nodes.
func (c *Coordinator) SetConfiguration(cfg *wirepb.Configuration) {
	if cfg.GetVersion() <= c.configuration.GetVersion() {
		return
	}
	c.configuration = cfg
	c.restriction = assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut())
	c.plannedTable = nil
	for _, m := range c.table.Members() {
		r := c.reply(0)
		r.Configuration = cfg
		c.send(m.ID(), r)
	}
}

// Configuration returns the configuration that the coordinator distributes.
func (c *Coordinator) Configuration() *wirepb.Configuration { return c.configuration }

// StepDown ends the role in an orderly way, so that the next node in the order
// of succession need not wait for the coordinator time-out.
func (c *Coordinator) StepDown() {
	for _, m := range c.table.Members() {
		r := c.reply(0)
		r.Resigned = true
		c.send(m.ID(), r)
	}
	c.resign("the node is leaving")
}

func (c *Coordinator) resign(reason string) {
	c.resigned = true
	c.actions = append(c.actions, Resign{reason: reason})
}

func (c *Coordinator) send(to assigner.NodeID, m *wirepb.BeatReply) {
	c.actions = append(c.actions, Send{to: to, message: m})
}

func (c *Coordinator) peer(id assigner.NodeID) *peer {
	p, ok := c.peers[id]
	if !ok {
		p = &peer{}
		c.peers[id] = p
	}
	return p
}

func (c *Coordinator) planner(t *assigner.Table) *assigner.Planner {
	return assigner.NewPlanner(t, c.restriction, c.loads, c.epoch, &c.sequence)
}

// publish puts a changed table into force and sends it to all nodes.
func (c *Coordinator) publish(t *assigner.Table) {
	c.assignVersion(t)
	c.install(t)
}

// assignVersion gives a changed table a version that no other table has had,
// stored or not.
func (c *Coordinator) assignVersion(t *assigner.Table) {
	c.issuedVersion = max(c.issuedVersion, t.Version()) + 1
	t.SetVersion(c.epoch, c.self.ID(), c.issuedVersion)
}

// install puts a table with an assigned version into force and sends it to all
// nodes.
func (c *Coordinator) install(t *assigner.Table) {
	c.table = t
	c.draft = nil
	c.history = append(c.history, t)
	if len(c.history) > historyTables {
		c.history = c.history[1:]
	}
	for _, m := range t.Members() {
		if m.Lost() {
			continue
		}
		r := c.reply(0)
		c.attach(r, c.peer(m.ID()))
		c.send(m.ID(), r)
	}
}

// attach adds the table to a message: the delta from the table last sent to the
// node, or the whole table if that one is unknown or too old.
func (c *Coordinator) attach(r *wirepb.BeatReply, p *peer) {
	if p.sentVersion == c.table.Version() {
		return
	}
	for i, old := range c.history {
		if old.Version() == p.sentVersion {
			r.Delta = assigner.Diff(c.history[i:]...)
			break
		}
	}
	if r.Delta == nil {
		r.Table = assigner.Encode(c.table)
	}
	p.sentVersion = c.table.Version()
}

func (c *Coordinator) reply(stamp timer.Instant) *wirepb.BeatReply {
	return &wirepb.BeatReply{Epoch: uint64(c.epoch), Stamp: uint64(stamp), Coordinator: string(c.self.ID())}
}

// Tick performs everything that has become due.
func (c *Coordinator) Tick(now timer.Instant) {
	if c.resigned {
		return
	}
	if !now.Before(c.authorityEnd(now)) {
		c.resign("no majority of the voters confirms")
		return
	}
	c.ready = !c.confirmedAt(now).Before(c.readyAt)
	c.requestHeartbeats(now)
	c.restartMembers(now)
	c.markLostMembers(now)
	c.plan(now)
	c.changeVoters(now)
	c.requestWrite(now)
}
