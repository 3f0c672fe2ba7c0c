package participant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Times used to follow the coordinator.
const (
	// replyWait is how long the coordinator may delay a heartbeat reply to wait for a
	// change.
	replyWait = 250 * time.Millisecond
	// heartbeatTimeout limits a heartbeat: replyWait plus the time that a slow node takes.
	heartbeatTimeout = 800 * time.Millisecond
	// heartbeatRetryDelay is the time before a failed heartbeat is retried.
	heartbeatRetryDelay = 80 * time.Millisecond
	// coordinatorTimeoutJitter keeps nodes from reading the store at the same moment.
	coordinatorTimeoutJitter = 200 * time.Millisecond
	// probeTimeout limits probes and announcements to other members.
	probeTimeout = 300 * time.Millisecond
	// searchInterval is the time between reads of the stored table while no coordinator
	// replies.
	searchInterval = 400 * time.Millisecond
	// maxTakeoverDelay is the longest time between takeover attempts while the coordinator
	// cannot write.
	maxTakeoverDelay = 1500 * time.Millisecond
	// takeOverInterval is the shortest time between two attempts to take a role that is
	// handed over.
	takeOverInterval = 2 * time.Second
	// storeTimeout limits one call to the store.
	storeTimeout = time.Second
)

// errNoCoordinator means that no coordinator is known.
var errNoCoordinator = errors.New("no coordinator is known")

// follow sends heartbeats to the coordinator, and looks for another one after the
// coordinator time-out.
func (p *Participant) follow(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.sendTriggeredHeartbeats(ctx) })
	p.findCoordinator(ctx, false)
	for ctx.Err() == nil {
		reply, err := p.sendHeartbeat(ctx, replyWait)
		switch {
		case err == nil && reply.TakeOver:
			p.takeOver(ctx)
		case err == nil && !reply.StoreDown:
		case err == nil:
			p.replaceCoordinator(ctx)
		case p.coordinatorSilence() > overseer.CoordinatorTimeout+rand.N(coordinatorTimeoutJitter):
			p.findCoordinator(ctx, false)
			pause(ctx, p.searchBackoff.stretch(searchInterval))
		default:
			pause(ctx, heartbeatRetryDelay)
		}
	}
	return g.Wait()
}

// sendTriggeredHeartbeats sends a heartbeat without delay after TriggerHeartbeat.
func (p *Participant) sendTriggeredHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.heartbeatNow:
		}
		if _, err := p.sendHeartbeat(ctx, 0); err != nil {
			pause(ctx, heartbeatRetryDelay)
		}
	}
}

func (p *Participant) coordinatorSilence() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.timers.Now().Sub(p.lastContact)
}

// sendHeartbeat sends a heartbeat to the coordinator and applies the reply.
func (p *Participant) sendHeartbeat(ctx context.Context, wait time.Duration) (overseer.HeartbeatReply, error) {
	t := p.table.Load()
	if t == nil {
		return overseer.HeartbeatReply{}, errNoCoordinator
	}
	h := overseer.Heartbeat{Incarnation: p.incarnation, Member: p.self, Wait: wait, Epoch: t.Epoch, Version: t.Version, Stopping: p.stopping.Load()}
	if cfg := p.Configuration(); cfg != nil {
		h.ConfigurationVersion = cfg.Version
	}
	p.forwarder.FillHeartbeat(&h)
	p.mu.Lock()
	if p.lastStampEpoch == t.Epoch {
		h.Echo = p.lastStamp
	}
	p.mu.Unlock()
	sent := p.timers.Now()
	var reply overseer.HeartbeatReply
	if t.Coordinator == p.self.ID {
		reply = p.HandleHeartbeat(ctx, h)
	} else {
		m, ok := t.Member(t.Coordinator)
		if !ok {
			return reply, errNoCoordinator
		}
		ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
		defer cancel()
		var err error
		if reply, err = p.client.Heartbeat(ctx, m.Address, h); err != nil {
			return reply, err
		}
	}
	return reply, p.applyReply(reply, sent)
}

// applyReply applies a reply to a heartbeat that was sent at the given instant.
func (p *Participant) applyReply(r overseer.HeartbeatReply, sent timer.Instant) error {
	if !r.IsCoordinator {
		if r.Table != nil {
			p.applyTable(r.Table)
		}
		return errors.Wrap(errNoCoordinator, "the node is not the coordinator")
	}
	p.mu.Lock()
	if r.Epoch < p.highestEpoch {
		p.mu.Unlock()
		return errors.Wrap(errNoCoordinator, "the reply is from an earlier epoch")
	}
	p.highestEpoch, p.lastContact = r.Epoch, p.timers.Now()
	p.lastStamp, p.lastStampEpoch = r.Stamp, r.Epoch
	p.freshReplyAt = 0
	if r.StoreFresh {
		p.freshReplyAt = p.lastContact
	}
	p.mu.Unlock()
	p.setZones(r.ZonesOut, r.ZonesRevision)
	if r.Table != nil {
		p.applyTable(r.Table)
	}
	if r.Delta != nil {
		if next := p.table.Load().Apply(r.Delta); next != nil {
			p.applyTable(next)
		}
	}
	if t := p.table.Load(); t.Epoch == r.Epoch {
		p.granter.SetLease(sent.Add(r.Lease))
	}
	if !r.StoreFresh {
		wake(p.staleReply)
	}
	loads := make(map[partitioner.NodeID]overseer.ServerLoad, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Node] = l
	}
	p.loads.Store(&loads)
	if len(r.Configuration) > 0 {
		if cfg, err := p.layout.Decode(r.Configuration); err == nil {
			p.applyConfiguration(cfg, "coordinator")
		} else {
			p.logger.Warn().Err(err).Msg("cannot decode the configuration from the coordinator")
		}
	}
	return nil
}

// replaceCoordinator takes over from a coordinator that cannot write to the store, if this
// node can read it.
func (p *Participant) replaceCoordinator(ctx context.Context) {
	p.mu.Lock()
	isCoordinator := p.overseer != nil
	p.mu.Unlock()
	if isCoordinator {
		return
	}
	p.findCoordinator(ctx, true)
	p.TriggerHeartbeat()
	pause(ctx, rand.N(p.searchBackoff.stretch(maxTakeoverDelay)))
}

// takeOver takes the role that a coordinator on a smaller machine hands over.
func (p *Participant) takeOver(ctx context.Context) {
	p.mu.Lock()
	isCoordinator := p.overseer != nil
	p.mu.Unlock()
	if now := p.timers.Now(); !isCoordinator && (p.lastTakeOver == 0 || now.Sub(p.lastTakeOver) > takeOverInterval) {
		p.lastTakeOver = now
		p.findCoordinator(ctx, true)
		p.TriggerHeartbeat()
	}
}

// findCoordinator reads the stored table, or creates the first one, and takes the next step
// of the election. cannotWrite means that the coordinator reported an outage of its store.
func (p *Participant) findCoordinator(ctx context.Context, cannotWrite bool) {
	rctx, cancel := context.WithTimeout(ctx, storeTimeout)
	sent := p.timers.Now()
	o, err := p.store.Get(rctx, tableKind, tableName)
	cancel()
	p.searchBackoff.record(err)
	if errors.Is(err, descriptor.ErrNotFound) {
		p.createTable(ctx)
		return
	}
	if err != nil {
		p.logger.Info().Err(err).Msg("cannot read the table")
		return
	}
	t, err := decodeTable(o.Spec)
	if err != nil {
		p.logger.Error().Err(err).Uint64("revision", o.Revision).Msg("cannot decode the stored table")
		return
	}
	view := overseer.ElectionView{
		Self: p.self.ID, Incarnation: p.incarnation, Stored: t, Known: p.table.Load(), CannotWrite: cannotWrite, Silent: p.coordinatorSilence(),
	}
	p.observeEra(o.Era)
	if t.Newer(view.Known) {
		p.applyTable(t)
	} else if view.Known.Newer(t) {
		p.logger.Warn().Uint64("era", o.Era).Uint64("revision", o.Revision).Uint64("epoch", t.Epoch).Uint64("version", t.Version).
			Uint64("knownEpoch", view.Known.Epoch).Uint64("knownVersion", view.Known.Version).Msg("the stored table is older than the one in force")
	}
	step := view.NextStep()
	if step == overseer.StepProbe {
		p.probeMembers(ctx, &view)
		step = view.NextStep()
	}
	p.logger.Info().Str("step", string(step)).Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).
		Bool("cannotWrite", cannotWrite).Dur("silent", view.Silent).Int("others", view.Others).Int("answered", view.Answered).
		Int("hear", view.InContact).Msg("coordinator looked for")
	switch step {
	case overseer.StepAdopt:
		p.startTerm(t, o.Revision, sent)
	case overseer.StepClaim:
		p.claimRole(ctx, t, o.Revision)
	case overseer.StepFollow, overseer.StepProbe:
	}
}

// probeMembers asks the other members whether they are in contact with the coordinator,
// and counts their replies in view.
func (p *Participant) probeMembers(ctx context.Context, view *overseer.ElectionView) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var g errgroup.Group
	replies := make([]*overseer.ProbeReply, len(view.Stored.Members))
	view.Probed = true
	for i, m := range view.Stored.Members {
		if m.ID == p.self.ID || m.ID == view.Stored.Coordinator {
			continue
		}
		view.Others++
		g.Go(func() error {
			reply, err := p.client.Probe(ctx, m.Address)
			if err == nil {
				replies[i] = &reply
			}
			return nil // a member that does not reply is not counted
		})
	}
	_ = g.Wait() // the functions return no errors
	for _, reply := range replies {
		if reply == nil {
			continue
		}
		view.Answered++
		if reply.InContact && reply.Epoch >= view.Stored.Epoch {
			view.InContact++
		}
	}
}

// Probe reports whether this node is in contact with its coordinator.
func (p *Participant) Probe() overseer.ProbeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overseer.ProbeReply{Epoch: p.highestEpoch, InContact: p.timers.Now().Sub(p.lastContact) < overseer.CoordinatorTimeout}
}

// createTable creates the first table of the deployment.
func (p *Participant) createTable(ctx context.Context) {
	t := &partitioner.Table{Epoch: 1, Version: 1, Coordinator: p.self.ID, Incarnation: p.incarnation}
	t.SetMember(p.self)
	spec, err := encodeTable(t)
	if err != nil {
		p.logger.Error().Err(err).Msg("cannot encode the first table")
		return
	}
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := p.timers.Now()
	state, err := p.store.Create(wctx, tableKind, descriptor.Object{Name: tableName, Spec: spec})
	if err != nil {
		p.logger.Info().Err(err).Msg("cannot create the first table")
		return
	}
	p.applyTable(t)
	p.startTerm(t, state.Revision, sent)
}

// claimRole takes the coordinator role by a conditional write.
func (p *Participant) claimRole(ctx context.Context, t *partitioner.Table, revision uint64) {
	next := overseer.ClaimTable(t, p.self, p.incarnation)
	spec, err := encodeTable(next)
	if err != nil {
		p.logger.Error().Err(err).Msg("cannot encode the table")
		return
	}
	sent := p.timers.Now()
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	state, err := p.store.Replace(wctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Spec: spec})
	if err != nil {
		p.logger.Info().Err(err).Uint64("epoch", next.Epoch).Msg("cannot take the coordinator role")
		return
	}
	p.logger.Info().Uint64("epoch", next.Epoch).Msg("coordinator's role taken")
	p.applyTable(next)
	p.startTerm(next, state.Revision, sent)
}

// startTerm starts a term with a table that the store has acknowledged.
func (p *Participant) startTerm(t *partitioner.Table, revision uint64, sent timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Epoch < p.highestEpoch || (p.overseer != nil && p.overseer.Table().Epoch >= t.Epoch) {
		return
	}
	now := p.timers.Now()
	if mutator.Active(mutator.TermFromReply) {
		sent = now
	}
	p.overseer, p.revision = overseer.NewOverseer(p.self.ID, t, p.bounds.Load().HeartbeatInterval, sent, now), revision
	p.highestEpoch, p.lastContact = t.Epoch, now
	close(p.termStarted)
	p.termStarted = make(chan struct{})
	wake(p.staleReply)
}
