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
	// longestLease is the time after which no lease is valid any more if the coordinator
	// cannot write.
	longestLease = overseer.MaxStoreOutage + overseer.AuthorityDuration + time.Second
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
	h := overseer.Heartbeat{Incarnation: p.incarnation, Uptime: p.timers.Now().Sub(p.started), Member: p.self, Wait: wait, Epoch: t.Epoch, Version: t.Version, Stopping: p.stopping.Load()}
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
	if r.IsBlank && !p.table.Load().IsBlank() {
		return errors.Wrap(errNoCoordinator, "the coordinator knows no owners")
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
	p.forwarder.Quarantine().Merge(r.Suspects)
	p.setZones(r.ZonesOut, descriptor.StoreState{Era: r.ZonesEra, Revision: r.ZonesRevision})
	if r.Table != nil {
		p.applyTable(r.Table)
	}
	if r.Delta != nil {
		if next := p.table.Load().Apply(r.Delta); next != nil {
			p.applyTable(next)
		}
	}
	if t := p.table.Load(); t.Epoch == r.Epoch && t.Version >= r.Version() {
		p.granter.SetLease(sent.Add(r.Lease))
	}
	if !r.StoreFresh {
		wake(p.staleReply)
	}
	loads := (*p.loads.Load()).Next(r.Loads, p.inFlight(), p.timers.Now())
	p.loads.Store(&loads)
	if len(r.Configuration) > 0 {
		if cfg, err := p.decodeConfiguration(r.Configuration); err == nil {
			p.applyConfiguration(cfg, "coordinator")
		} else {
			p.logger.Warn().Err(err).Msg("cannot decode the configuration from the coordinator")
		}
	}
	p.age.hear(sent, r.ConfigurationAge, r.ConfigurationVersion, p.versionInForce())
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
	sent := p.timers.Now()
	stored, err := p.readTable(ctx)
	p.searchBackoff.record(err)
	if errors.Is(err, descriptor.ErrNotFound) || (errors.Is(err, errUnusableTable) && p.coordinatorSilence() > longestLease) {
		p.createTable(ctx, stored)
		return
	}
	if err != nil {
		p.logger.Info().Err(err).Msg("cannot read the table")
		return
	}
	t, known := stored.table, p.table.Load()
	if known != nil && known.Newer(t) {
		p.logOlderTable(stored, known)
		if stored.mustRecover() {
			t = known
		}
	}
	view := overseer.ElectionView{
		Self: p.self.ID, Incarnation: p.incarnation, Stored: t, Known: known, CannotWrite: cannotWrite, Silent: p.coordinatorSilence(),
		StoredIsBlank: stored.blank != nil,
	}
	p.applyTable(t)
	step := view.NextStep()
	if step == overseer.StepProbe {
		p.probeMembers(ctx, &view)
		step = view.NextStep()
	}
	p.logger.Info().Str("step", string(step)).Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).
		Bool("cannotWrite", cannotWrite).Bool("restored", stored.mustRecover()).Bool("blank", stored.blank != nil).Dur("silent", view.Silent).Int("others", view.Others).
		Int("answered", view.Answered).Int("hear", view.InContact).Msg("coordinator looked for")
	switch {
	case step == overseer.StepFollow || step == overseer.StepProbe:
	case stored.mustRecover():
		p.recoverTable(ctx, stored)
	case step == overseer.StepAdopt:
		p.startTerm(stored, sent)
	case step == overseer.StepClaim:
		p.claimRole(ctx, stored)
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
			reply, err := p.client.Probe(ctx, m.Address, overseer.ProbeRequest{})
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

// HandleProbe reports whether this node is in contact with its coordinator.
func (p *Participant) HandleProbe(r overseer.ProbeRequest) overseer.ProbeReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := overseer.ProbeReply{Epoch: p.highestEpoch, HasLease: p.granter.LeaseLeft(p.timers.Now()) > 0, InContact: p.timers.Now().Sub(p.lastContact) < overseer.CoordinatorTimeout}
	if t := p.newestTable(); r.WantsTable && t != nil && t.Newer(&partitioner.Table{Epoch: r.Epoch, Version: r.Version}) {
		reply.Table = t
	}
	return reply
}

// createTable creates the first table of the deployment. Its epoch and tokens are above
// those of earlier eras, whose tables a restore of the store may have lost, and of a table
// that is unusable.
func (p *Participant) createTable(ctx context.Context, stored storedTable) {
	// A store without eras loses no table but by another writer, who may have come just now.
	isFirst := stored.era == 0 && !stored.isLost
	t := overseer.FirstTable(p.self, p.incarnation, stored.era, stored.minEras(), isFirst)
	if p.storeNewTable(ctx, t, stored) {
		p.logger.Info().Uint64("epoch", t.Epoch).Uint64("era", stored.era).Str("founding", string(t.Founding)).Msg("first table created")
	}
}

// storeNewTable creates the table's object of an era, or replaces an unusable one, and starts
// a term with it. The result is false if another node was first, or if the write is in doubt.
func (p *Participant) storeNewTable(ctx context.Context, t *partitioner.Table, stored storedTable) bool {
	out := storedTable{table: t, name: tableName(stored.era), era: stored.era}
	spec, err := encodeTable(t)
	if err != nil {
		p.logger.Error().Err(err).Msg("cannot encode the table")
		return false
	}
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := p.timers.Now()
	var state descriptor.StoreState
	if stored.isLost && stored.revision > 0 {
		state, err = p.store.Replace(wctx, tableKind, descriptor.Object{Name: out.name, Revision: stored.revision, Spec: spec})
	} else {
		state, err = p.store.Create(wctx, tableKind, descriptor.Object{Name: out.name, Spec: spec})
	}
	if err == nil && state.Era != stored.era {
		err = errors.Newf("the store was restored from era %d to %d", stored.era, state.Era)
	}
	if err != nil {
		p.logger.Info().Err(err).Str("name", out.name).Msg("cannot create the table")
		return false
	}
	out.revision = state.Revision
	p.applyTable(t)
	p.startTerm(out, sent)
	return true
}

// claimRole takes the coordinator role by a conditional write.
func (p *Participant) claimRole(ctx context.Context, stored storedTable) {
	next := overseer.ClaimTable(stored.table, p.self, p.incarnation)
	if next.Era == 0 {
		next.Era = stored.era
	}
	spec, err := encodeTable(next)
	if err != nil {
		p.logger.Error().Err(err).Msg("cannot encode the table")
		return
	}
	sent := p.timers.Now()
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	state, err := p.store.Replace(wctx, tableKind, descriptor.Object{Name: stored.name, Revision: stored.revision, Spec: spec})
	if err == nil && state.Era != stored.era {
		err = errors.Newf("the store was restored from era %d to %d", stored.era, state.Era)
	}
	if err != nil {
		p.logger.Info().Err(err).Uint64("epoch", next.Epoch).Msg("cannot take the coordinator role")
		return
	}
	p.logger.Info().Uint64("epoch", next.Epoch).Msg("coordinator's role taken")
	p.applyTable(next)
	stored.table, stored.revision = next, state.Revision
	p.startTerm(stored, sent)
}

// startTerm starts a term with a table that the store has acknowledged.
func (p *Participant) startTerm(stored storedTable, sent timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := stored.table
	if t.Epoch < p.highestEpoch || (p.overseer != nil && p.overseer.Table().Epoch >= t.Epoch) {
		return
	}
	now := p.timers.Now()
	if mutator.Active(mutator.TermFromReply) {
		sent = now
	}
	p.overseer = overseer.NewOverseer(p.self.ID, t, p.bounds.Load().HeartbeatInterval, sent, now)
	p.tableName, p.revision, p.tableEra = stored.name, stored.revision, stored.era
	p.highestEpoch, p.lastContact = t.Epoch, now
	close(p.termStarted)
	p.termStarted = make(chan struct{})
	wake(p.staleReply)
}
