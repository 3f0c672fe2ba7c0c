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

// Times and sizes of a cell.
const (
	// VoterRetention is how long a lost node still counts as a voter.
	VoterRetention = time.Minute
	// MaxVoters bounds the voters of a cell.
	MaxVoters = 12
	// storeRetryInterval is the time between two writes while the platform is
	// down.
	storeRetryInterval = 500 * time.Millisecond
	// restartFreshness is how long a restarted node counts as present after a
	// heartbeat that could not be given a lease yet.
	restartFreshness = 2 * holder.BeatInterval
	// planInterval is the time between two plans of an unchanged table.
	planInterval = 250 * time.Millisecond
	// askInterval is the least time between two calls for heartbeats.
	askInterval = 50 * time.Millisecond
	// historyTables is how many published tables are kept, to send only what
	// changed since.
	historyTables = 64
	// settleTime is how long the table rests after a node joined before load is
	// balanced, so that nodes that start together count together.
	settleTime = time.Second
)

// Coordinator is the state of the coordinator of one cell, in one epoch.
type Coordinator struct {
	self          holder.Identity
	epoch         assigner.Epoch
	sequence      uint32
	table         *assigner.Table
	draft         *assigner.Table
	issued        uint64
	storedVersion uint64
	writing       bool
	storeDown     bool
	nextWrite     timer.Instant
	history       []*assigner.Table
	peers         map[assigner.NodeID]*peer
	readyAt       timer.Instant
	asked         timer.Instant
	quietUntil    timer.Instant
	planned       *assigner.Table
	plannedAt     timer.Instant
	restriction   assigner.Restriction
	configuration *wirepb.Configuration
	loads         loadTable
	hot           map[loadKey]timer.Instant
	budget        moveBudget
	ready         bool
	resigned      bool
	actions       []Action
}

func newCoordinator(self holder.Identity, epoch assigner.Epoch, now timer.Instant) *Coordinator {
	return &Coordinator{
		self:          self,
		epoch:         epoch,
		peers:         make(map[assigner.NodeID]*peer),
		restriction:   assigner.NewRestriction(nil, nil),
		configuration: &wirepb.Configuration{},
		loads:         make(loadTable),
		hot:           make(map[loadKey]timer.Instant),
		budget:        moveBudget{left: balanceMovesBurst, last: now},
	}
}

// Found returns the coordinator of a cell that it has just created: there are
// no older leases to wait for.
func Found(self holder.Identity, table *assigner.Table, now timer.Instant) *Coordinator {
	c := newCoordinator(self, table.Epoch(), now)
	c.table = table
	c.history = []*assigner.Table{table}
	c.issued = table.Version()
	c.storedVersion = table.Version()
	c.readyAt = now
	c.ready = true
	c.peer(self.ID()).incarnation = self.Incarnation()
	return c
}

// Succeed returns the coordinator of the epoch that a candidacy has won. Slices
// that a joined node holds under a valid lease stay there. All others wait
// until each lease that an earlier coordinator can have given has run out: none
// outlives the authority that a majority confirmed before it joined.
func Succeed(won *Candidacy, now timer.Instant) *Coordinator {
	c := newCoordinator(won.self, won.epoch, now)
	c.readyAt = now.Add(holder.WithMargin(holder.AuthorityTerm))
	if mutator.Active(mutator.SkipTakeoverWait) {
		c.readyAt = now
	}
	t := won.newestTable().Clone()
	t.ClearMoves()
	t.Disown()
	t.SetVoters(c.epoch, t.Voters())
	planner := c.planner(t)
	for id, r := range won.replies {
		p := c.peer(id)
		p.incarnation = r.GetIncarnation()
		p.heard = now
		if !r.GetQuiet() {
			p.confirm(timer.Instant(r.GetStamp()))
		}
		for _, h := range r.GetHoldings() {
			planner.Hold(h.GetPool(), h.GetStart(), h.GetLast(), id, assigner.Token(h.GetToken()))
		}
	}
	for _, m := range t.Members() {
		p := c.peer(m.ID())
		p.renew(c.readyAt)
		if p.incarnation == 0 {
			p.incarnation = m.Incarnation()
		}
	}
	planner.SetStandbys()
	c.publish(t)
	c.askAll(now)
	return c
}

// Epoch returns the coordinator's epoch.
func (c *Coordinator) Epoch() assigner.Epoch { return c.epoch }

// Table returns the published table.
func (c *Coordinator) Table() *assigner.Table { return c.table }

// StoreDown says whether the platform failed to take the last write.
func (c *Coordinator) StoreDown() bool { return c.storeDown }

// Take returns the actions that are due and forgets them.
func (c *Coordinator) Take() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// Peers returns the state of the nodes, ordered by name.
func (c *Coordinator) Peers(now timer.Instant) []PeerStatus {
	out := make([]PeerStatus, 0, len(c.peers))
	for id, p := range c.peers {
		out = append(out, PeerStatus{
			id: id, configuration: p.configuration, tableVersion: p.tableVersion, silence: now.Sub(p.heard),
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// SetConfiguration takes a newer configuration and sends it to all nodes.
func (c *Coordinator) SetConfiguration(cfg *wirepb.Configuration) {
	if cfg.GetVersion() <= c.configuration.GetVersion() {
		return
	}
	c.configuration = cfg
	c.restriction = assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut())
	c.planned = nil
	for _, m := range c.table.Members() {
		r := c.reply(0)
		r.Configuration = cfg
		c.send(m.ID(), r)
	}
}

// Configuration returns the configuration that the coordinator passes on.
func (c *Coordinator) Configuration() *wirepb.Configuration { return c.configuration }

// Abdicate ends the role in an orderly way: the next in the order of succession
// need not wait for silence.
func (c *Coordinator) Abdicate() {
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
	c.stamp(t)
	c.install(t)
}

// stamp gives a changed table a version that none has had, written down or not.
func (c *Coordinator) stamp(t *assigner.Table) {
	c.issued = max(c.issued, t.Version()) + 1
	t.Stamp(c.epoch, c.self.ID(), c.issued)
}

// install sends a stamped table to all nodes.
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

// attach adds the table to a message for a node: the change from what the node
// was sent before, or the whole when that is unknown or long ago.
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

// confirmed returns the newest instant as of which a majority of the voters has
// confirmed that it knows of no newer coordinator.
func (c *Coordinator) confirmed(now timer.Instant) timer.Instant {
	voters := c.table.Voters()
	echoes := make([]timer.Instant, 0, len(voters))
	for _, v := range voters {
		if v == c.self.ID() {
			echoes = append(echoes, now)
			continue
		}
		echoes = append(echoes, c.peer(v).echo)
	}
	sort.Slice(echoes, func(i, j int) bool { return echoes[i] > echoes[j] })
	return echoes[len(voters)/2]
}

// authorityEnd returns the instant at which the coordinator's authority ends.
func (c *Coordinator) authorityEnd(now timer.Instant) timer.Instant {
	return c.confirmed(now).Add(holder.AuthorityTerm)
}

// ended says whether a node's lease has certainly run out, and no newer
// coordinator can have renewed it: a majority has confirmed this one since.
// Without the second part a coordinator that is cut off could give slices away
// that its successor has left with their owners.
func (c *Coordinator) ended(p *peer, now timer.Instant) bool {
	if mutator.Active(mutator.StaleConfirmation) {
		return !now.Before(p.leaseEnd)
	}
	return !c.confirmed(now).Before(p.leaseEnd)
}

// lease returns how long a lease given now may last; zero is none.
func (c *Coordinator) lease(now timer.Instant) time.Duration {
	left := min(holder.AuthorityTerm, c.authorityEnd(now).Sub(now))
	return max(0, left).Truncate(time.Millisecond)
}

// Beat takes a heartbeat and replies to it.
func (c *Coordinator) Beat(b *wirepb.Beat, now timer.Instant) {
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
	current := c.admit(id, p, b, now)
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

// admit notes what a heartbeat says of its node and returns whether the node's
// present start is the one that the table knows.
func (c *Coordinator) admit(id assigner.NodeID, p *peer, b *wirepb.Beat, now timer.Instant) bool {
	if p.incarnation != b.GetIncarnation() {
		p.heard = now
		p.successor = b
		if !c.ended(p, now) {
			return false
		}
		c.restart(id, p)
	}
	p.heard = now
	p.tableVersion = b.GetTableVersion()
	p.configuration = b.GetConfigurationVersion()
	p.leaving = p.leaving || b.GetProfile().GetLeaving()
	if assigner.Epoch(b.GetEpoch()) == c.epoch {
		p.votersVersion = b.GetVotersVersion()
		if !b.GetQuiet() && b.GetEcho() != 0 {
			p.confirm(timer.Instant(b.GetEcho()))
		}
	}
	c.loads.take(c.table, id, b.GetLoads())
	c.splitHotKeys(b.GetHotKeys(), now)
	c.updateMember(id, b)
	c.takeHoldings(id, b.GetHoldings())
	c.takeReleases(id, b.GetReleased())
	return true
}

// restartMembers replaces the former starts of nodes as soon as their leases
// have run out, so that a node that is back is not given up.
func (c *Coordinator) restartMembers(now timer.Instant) {
	for _, m := range c.table.Members() {
		p := c.peer(m.ID())
		if p.successor != nil && now.Sub(p.heard) < restartFreshness && c.ended(p, now) {
			c.restart(m.ID(), p)
		}
	}
}

// restart replaces a node's former start, whose lease has run out. The slices
// stay where the backend server has outlived its node.
func (c *Coordinator) restart(id assigner.NodeID, p *peer) {
	b := p.successor
	p.successor = nil
	p.incarnation = b.GetIncarnation()
	p.renew(p.heard.Add(restartFreshness))
	if _, ok := c.table.Member(id); !ok || b.GetProfile() == nil {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	m := assigner.DecodeProfile(id, b.GetIncarnation(), b.GetProfile())
	if m.Server().State() == assigner.ServerUp {
		planner.Regrant(id)
	} else {
		planner.Vacate(id)
	}
	t.SetMember(m)
	planner.Assign(c.held)
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
		c.quietUntil = c.peers[id].heard.Add(settleTime)
	}
}

// takeHoldings leaves slices with a node that joined late and holds them under a
// lease of an older epoch. Nobody else can have been given one that has no owner.
func (c *Coordinator) takeHoldings(id assigner.NodeID, held []*wirepb.Holding) {
	if len(held) == 0 || c.ready {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, h := range held {
		if s, ok := t.Lookup(h.GetPool(), h.GetStart()); ok && s.Owner() == "" {
			planner.Hold(h.GetPool(), h.GetStart(), h.GetLast(), id, assigner.Token(h.GetToken()))
		}
	}
	if planner.Changed() {
		c.publish(t)
	}
}

// takeReleases puts moves into force whose owner has released the slice, and
// gives slices away that an owner without a backend server released.
func (c *Coordinator) takeReleases(id assigner.NodeID, released []*wirepb.Holding) {
	if len(released) == 0 {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, h := range released {
		token := assigner.Token(h.GetToken())
		planner.Complete(h.GetPool(), h.GetStart(), id, token)
		planner.GiveUp(h.GetPool(), h.GetStart(), id, token)
	}
	planner.Assign(c.held)
	if planner.Changed() {
		c.publish(t)
	}
}

// renew gives the lease that a heartbeat asks for.
func (c *Coordinator) renew(p *peer, r *wirepb.BeatReply, b *wirepb.Beat, now timer.Instant) {
	if assigner.Epoch(b.GetEpoch()) != c.epoch {
		return
	}
	lease := c.lease(now)
	if lease <= 0 {
		return
	}
	r.LeaseMillis = uint32(lease.Milliseconds())
	p.renew(now.Add(holder.WithMargin(lease)))
}

// held says whether someone may still hold a slice under an older epoch's
// lease.
func (c *Coordinator) held(string, uint64) bool { return c.resigned || !c.ready }

// ask calls for heartbeats when a lease has run out and only a confirmation from
// after its end is missing, so that the loss need not wait for the next regular
// ones.
func (c *Coordinator) ask(now timer.Instant) {
	latest := c.readyAt
	for _, m := range c.table.Members() {
		if end := c.peer(m.ID()).leaseEnd; !m.Lost() && end <= now {
			latest = max(latest, end)
		}
	}
	if now.Before(latest) || !c.confirmed(now).Before(latest) || now.Sub(c.asked) < askInterval {
		return
	}
	c.askAll(now)
}

// askAll calls for a heartbeat of each node.
func (c *Coordinator) askAll(now timer.Instant) {
	c.asked = now
	for _, m := range c.table.Members() {
		if m.Lost() || m.ID() == c.self.ID() {
			continue
		}
		r := c.reply(now)
		r.Ask = true
		c.send(m.ID(), r)
	}
}

// Tick does what has become due.
func (c *Coordinator) Tick(now timer.Instant) {
	if c.resigned {
		return
	}
	if !now.Before(c.authorityEnd(now)) {
		c.resign("no majority of the voters answers")
		return
	}
	c.ready = !c.confirmed(now).Before(c.readyAt)
	c.ask(now)
	c.restartMembers(now)
	c.loseMembers(now)
	c.plan(now)
	c.changeVoters(now)
	c.write(now)
}
