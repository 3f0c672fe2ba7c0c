package participant

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

const (
	// planInterval is the time between two plans of the ownership table.
	planInterval = 100 * time.Millisecond
	// announceInterval is the time between announcements to members that send no
	// heartbeats.
	announceInterval = 400 * time.Millisecond
	// maxParallelAnnounces is the maximum number of concurrent announcements.
	maxParallelAnnounces = 8
	// failedWriteDelay is the pause after a write that the store rejected, or whose result
	// could not be read.
	failedWriteDelay = 250 * time.Millisecond
	// busyGrantInterval is the time between checks of queued requests, grantInterval the
	// longest between checks of grants.
	busyGrantInterval = 25 * time.Millisecond
	grantInterval     = 100 * time.Millisecond
	// maxFreedLines limits the log lines about ranges that lose their owner in one table.
	maxFreedLines = 16
	// minGrantInterval is the shortest time between checks of grants.
	minGrantInterval = 2 * time.Millisecond
)

// HandleHeartbeat handles a node's heartbeat. The reply waits up to h.Wait for a change if
// there is nothing new.
func (p *Participant) HandleHeartbeat(ctx context.Context, h overseer.Heartbeat) overseer.HeartbeatReply {
	p.mu.Lock()
	if p.overseer == nil {
		defer p.mu.Unlock()
		return p.declineHeartbeat(h)
	}
	r := p.overseer.HandleHeartbeat(h, p.timers.Now())
	p.fillReply(&r, h)
	changed := p.changed
	p.mu.Unlock()
	if !r.HasUpdate() && h.Wait > 0 {
		t := time.NewTimer(h.Wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		h.Work, h.Released = nil, nil
		p.mu.Lock()
		if p.overseer == nil {
			defer p.mu.Unlock()
			return p.declineHeartbeat(h)
		}
		r = p.overseer.HandleHeartbeat(h, p.timers.Now())
		p.fillReply(&r, h)
		p.mu.Unlock()
	}
	return r
}

// declineHeartbeat replies to a heartbeat at a node that is not the coordinator, with the
// table that names the coordinator if it is newer than the sender's. The caller holds
// p.mu.
func (p *Participant) declineHeartbeat(h overseer.Heartbeat) overseer.HeartbeatReply {
	r := overseer.HeartbeatReply{Epoch: p.highestEpoch}
	if t := p.table.Load(); t != nil && t.Epoch > h.Epoch {
		r.Table = t
	}
	return r
}

// HandleTable applies the table announced by a coordinator that gets no heartbeats from
// this node.
func (p *Participant) HandleTable(t *partitioner.Table) {
	p.mu.Lock()
	if p.overseer != nil && p.overseer.Table().Epoch < t.Epoch {
		p.overseer = nil
		p.notify()
		p.logger.Info().Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).Msg("coordinator's role lost")
	}
	p.mu.Unlock()
	p.applyTable(t)
	p.TriggerHeartbeat()
}

// runInTerms calls do at an interval while this node is the coordinator, until ctx is done.
func (p *Participant) runInTerms(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	for ctx.Err() == nil {
		p.mu.Lock()
		isCoordinator, started := p.overseer != nil, p.termStarted
		p.mu.Unlock()
		if !isCoordinator {
			select {
			case <-ctx.Done():
			case <-started:
			}
			continue
		}
		p.runTerm(ctx, interval, do)
	}
	return nil
}

// runTerm calls do at an interval until this node is not the coordinator any more.
func (p *Participant) runTerm(ctx context.Context, interval time.Duration, do func(context.Context)) {
	tick := p.timers.Subscribe(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
		}
		p.mu.Lock()
		isCoordinator := p.overseer != nil
		p.mu.Unlock()
		if !isCoordinator {
			return
		}
		do(ctx)
	}
}

// announce sends the table to members without recent heartbeats, so that they learn who is
// the coordinator.
func (p *Participant) announce(ctx context.Context) {
	p.mu.Lock()
	var silent []partitioner.Member
	var t *partitioner.Table
	if p.overseer != nil {
		silent, t = p.overseer.SilentMembers(p.timers.Now()), p.overseer.Table()
	}
	p.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxParallelAnnounces)
	for _, m := range silent {
		g.Go(func() error {
			actx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := p.client.Announce(actx, m.Address, t); err == nil {
				p.logger.Info().Str("member", string(m.ID)).Uint64("epoch", t.Epoch).Msg("missing member told who coordinates")
			}
			return nil // the next announcement retries
		})
	}
	_ = g.Wait() // the functions return no errors
}

// coordinate plans and writes the table while this node is the coordinator.
func (p *Participant) coordinate(ctx context.Context) {
	next, object, renewalDue, ok := p.plan()
	if !ok {
		return
	}
	sent := p.timers.Now()
	var state descriptor.StoreState
	var err error
	switch {
	case next != nil:
		state, err = p.writeTable(ctx, next, object)
	case renewalDue || sent.Sub(p.lastWriteSent) >= overseer.RenewalInterval:
		p.renewals++
		state, err = p.writeStatus(ctx, p.renewals, object)
	default:
		return
	}
	p.lastWriteSent = sent
	if err == nil && state.Era != object.Era {
		err = errors.Newf("the store was restored from era %d to %d", object.Era, state.Era)
	}
	p.handleWriteResult(ctx, next, state, sent, err)
}

// plan returns the table to write next, or nil, the name and revision of the object, and whether a
// renewal is due at once.
func (p *Participant) plan() (next *partitioner.Table, o descriptor.Object, renewalDue, ok bool) {
	zones := *p.zonesOut.Load()
	list := make([]string, 0, len(zones))
	for z := range zones {
		list = append(list, z)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overseer == nil {
		return nil, descriptor.Object{}, false, false
	}
	p.overseer.SetZonesOut(list)
	if cfg := p.Configuration(); cfg != nil {
		p.overseer.SetQuotas(cfg.HasQuotas())
	}
	now := p.timers.Now()
	next = p.overseer.Plan(now)
	if next != nil {
		p.overseer.WriteStarted(next)
		p.logFreed(next, p.overseer.Freed())
	}
	return next, descriptor.Object{Name: p.tableName, Revision: p.revision, Era: p.tableEra}, p.overseer.RenewalDue(now), true
}

// logFreed logs the ranges that lose their owner in a table to be written.
func (p *Participant) logFreed(t *partitioner.Table, freed []partitioner.FreedRange) {
	for _, f := range freed[:min(len(freed), maxFreedLines)] {
		p.logger.Info().Uint64("epoch", t.Epoch).Uint64("version", t.Version).Str("service", f.Service).
			Uint16("first", f.First).Uint16("last", f.Last).Uint64("token", f.Token).Str("owner", string(f.Owner)).
			Str("next", string(f.NextOwner)).Str("cause", string(f.Cause)).Msg("keys freed")
	}
	if len(freed) > maxFreedLines {
		p.logger.Info().Uint64("epoch", t.Epoch).Uint64("version", t.Version).Int("count", len(freed)-maxFreedLines).Msg("more keys freed")
	}
}

func (p *Participant) writeTable(ctx context.Context, t *partitioner.Table, o descriptor.Object) (descriptor.StoreState, error) {
	spec, err := encodeTable(t)
	if err != nil {
		return descriptor.StoreState{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.Spec = spec
	return p.store.Replace(ctx, tableKind, o)
}

// renewalStatus is the status of the table's object; each renewal changes it.
type renewalStatus struct {
	Incarnation uint64 `json:"incarnation"`
	Renewals    int    `json:"renewals"`
}

func (p *Participant) writeStatus(ctx context.Context, renewals int, o descriptor.Object) (descriptor.StoreState, error) {
	status, err := json.Marshal(renewalStatus{Incarnation: p.incarnation, Renewals: renewals})
	if err != nil {
		return descriptor.StoreState{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o.Status = status
	return p.store.ReplaceStatus(ctx, tableKind, o)
}

// handleWriteResult handles the result of a write of the table's object.
func (p *Participant) handleWriteResult(ctx context.Context, t *partitioner.Table, state descriptor.StoreState, sent timer.Instant, err error) {
	if err == nil {
		p.observeEra(state.Era)
		p.confirmWrite(t, state.Revision, sent)
		return
	}
	p.logger.Warn().Err(err).Bool("table", t != nil).Msg("write of the table failed")
	if errors.Is(err, descriptor.ErrRejected) {
		p.mu.Lock()
		if p.overseer != nil && t != nil {
			p.overseer.WriteFailed(t)
		}
		p.mu.Unlock()
		pause(ctx, failedWriteDelay)
		return
	}
	p.rereadTable(ctx)
}

func (p *Participant) confirmWrite(t *partitioner.Table, revision uint64, sent timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overseer == nil {
		return
	}
	p.revision = revision
	p.overseer.WriteConfirmed(t, sent)
	if t != nil {
		p.notify()
		p.TriggerHeartbeat()
	}
}

// rereadTable reads the stored table after a write that is in doubt or met another
// revision.
func (p *Participant) rereadTable(ctx context.Context) {
	sent := p.timers.Now()
	stored, err := p.readTable(ctx)
	if err != nil {
		p.logger.Warn().Err(err).Msg("cannot read the table again after a failed write")
		pause(ctx, failedWriteDelay)
		return
	}
	if stored.mustRecover() {
		p.recoverTable(ctx, stored)
		return
	}
	t := stored.table
	p.mu.Lock()
	isOwn := p.overseer != nil && t.Coordinator == p.self.ID && t.Incarnation == p.incarnation
	if isOwn && t.Epoch == p.overseer.Table().Epoch {
		p.tableName, p.revision, p.tableEra = stored.name, stored.revision, stored.era
		p.overseer.TableRead(t, sent)
		p.notify()
		p.mu.Unlock()
		p.TriggerHeartbeat()
		return
	}
	p.overseer = nil
	p.notify()
	p.mu.Unlock()
	p.applyTable(t)
	if isOwn { // a table of a later term, whose write was in doubt
		p.startTerm(stored, sent)
		return
	}
	p.logger.Info().Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).Msg("coordinator's role lost")
}

// updateGrants ticks the forwarder and sends the key requests that the table and the lease
// require, until ctx is done.
func (p *Participant) updateGrants(ctx context.Context) error {
	for ctx.Err() == nil {
		p.forwarder.Tick()
		for _, call := range p.granter.DueCalls(p.timers.Now()) {
			go p.sendKeyRequest(ctx, call)
		}
		limit := grantInterval
		if _, waiting := p.forwarder.Load(); waiting > 0 {
			limit = busyGrantInterval
		}
		t := time.NewTimer(max(p.granter.NextCallIn(limit, p.timers.Now()), minGrantInterval))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-p.grantsDue:
		}
		t.Stop()
	}
	return nil
}

func (p *Participant) sendKeyRequest(ctx context.Context, call granter.Call) {
	result, handover := granter.NotDelivered, ""
	if due, ok := call.At(p.timers.Now()); ok {
		result, handover = p.client.UpdateGrant(ctx, due)
	}
	if err := validator.Handover(handover); err != nil {
		p.logger.Warn().Err(err).Uint16("first", call.First).Uint16("last", call.Last).Msg("handover value dropped, the keys start cold")
		handover = ""
	}
	p.granter.HandleResult(call, result, handover, p.timers.Now())
	wake(p.grantsDue)
	if call.Release || result != granter.Done {
		p.logger.Info().Bool("release", call.Release).Uint16("first", call.First).Uint16("last", call.Last).
			Uint64("token", call.Token).Str("server", call.Server).Int64("startedAtMillis", call.ServerStartedAtMillis).Int("result", int(result)).Dur("hold", call.Hold).
			Bool("handover", handover != "").Dur("inDoubtFor", p.granter.DoubtLeft(call, p.timers.Now())).Msg("order about keys")
		p.TriggerHeartbeat()
	}
}
