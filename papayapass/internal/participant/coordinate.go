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
	"papayapass.dev/shared/descriptor"
)

const (
	// planInterval is the time between two looks at the table.
	planInterval = 100 * time.Millisecond
	// announceInterval is the time between announcements to members that are missing.
	announceInterval = 400 * time.Millisecond
	// maxParallelAnnounces bounds the announcements on their way.
	maxParallelAnnounces = 8
	// rejectedWriteDelay is the time before a write that the store rejected is tried again.
	rejectedWriteDelay = 250 * time.Millisecond
	// grantInterval is the time between looks at grants and waiting requests.
	grantInterval = 25 * time.Millisecond
)

// HandleHeartbeat takes a beat of a node.
func (p *Participant) HandleHeartbeat(ctx context.Context, b overseer.Heartbeat) overseer.HeartbeatReply {
	p.mu.Lock()
	if p.overseer == nil {
		defer p.mu.Unlock()
		return p.decline(b)
	}
	r := p.overseer.HandleHeartbeat(b, p.timers.Now())
	p.fillReply(&r, b)
	changed := p.changed
	p.mu.Unlock()
	if !r.HasUpdate() && b.Wait > 0 {
		t := time.NewTimer(b.Wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		b.Work, b.Released = nil, nil
		p.mu.Lock()
		if p.overseer == nil {
			defer p.mu.Unlock()
			return p.decline(b)
		}
		r = p.overseer.HandleHeartbeat(b, p.timers.Now())
		p.fillReply(&r, b)
		p.mu.Unlock()
	}
	return r
}

// decline answers a beat at a node that does not coordinate, and says who does. The
// caller holds p.mu.
func (p *Participant) decline(b overseer.Heartbeat) overseer.HeartbeatReply {
	r := overseer.HeartbeatReply{Epoch: p.highestEpoch}
	if t := p.table.Load(); t != nil && t.Epoch > b.Epoch {
		r.Table = t
	}
	return r
}

// HandleTable takes the table of a coordinator that misses this node.
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

// runEvery calls do at an interval until the context ends.
func (p *Participant) runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	tick := p.timers.Subscribe(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
			do(ctx)
		}
	}
}

// announce tells members that are not heard who coordinates.
func (p *Participant) announce(ctx context.Context) {
	p.mu.Lock()
	var missing []partitioner.Member
	var t *partitioner.Table
	if p.overseer != nil {
		missing, t = p.overseer.SilentMembers(p.timers.Now()), p.overseer.Table()
	}
	p.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxParallelAnnounces)
	for _, m := range missing {
		g.Go(func() error {
			actx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := p.client.Announce(actx, m.Address, t); err == nil {
				p.logger.Info().Str("member", string(m.ID)).Uint64("epoch", t.Epoch).Msg("missing member told who coordinates")
			}
			return nil // a member that does not answer is told again
		})
	}
	_ = g.Wait() // no error is returned
}

// coordinate plans and writes the table while this node has the role.
func (p *Participant) coordinate(ctx context.Context) {
	next, revision, ok := p.plan()
	if !ok {
		return
	}
	sent := p.timers.Now()
	var err error
	switch {
	case next != nil:
		revision, err = p.writeTable(ctx, next, revision)
	case sent.Sub(p.lastWriteSent) >= overseer.RenewalInterval:
		p.renewals++
		revision, err = p.writeStatus(ctx, p.renewals, revision)
	default:
		return
	}
	p.lastWriteSent = sent
	p.handleWriteResult(ctx, next, revision, sent, err)
}

func (p *Participant) plan() (*partitioner.Table, uint64, bool) {
	zones := *p.zonesOut.Load()
	list := make([]string, 0, len(zones))
	for z := range zones {
		list = append(list, z)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.overseer == nil {
		return nil, 0, false
	}
	p.overseer.SetZonesOut(list)
	next := p.overseer.Plan(p.timers.Now())
	if next != nil {
		p.overseer.WriteStarted(next)
	}
	return next, p.revision, true
}

func (p *Participant) writeTable(ctx context.Context, t *partitioner.Table, revision uint64) (uint64, error) {
	spec, err := encodeTable(t)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.store.Replace(ctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Spec: spec})
}

// renewalStatus is the status of the table's object; it changes with each renewal.
type renewalStatus struct {
	Incarnation uint64 `json:"incarnation"`
	Renewals    int    `json:"renewals"`
}

func (p *Participant) writeStatus(ctx context.Context, counter int, revision uint64) (uint64, error) {
	status, err := json.Marshal(renewalStatus{Incarnation: p.incarnation, Renewals: counter})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return p.store.ReplaceStatus(ctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Status: status})
}

// handleWriteResult takes the result of a write.
func (p *Participant) handleWriteResult(ctx context.Context, t *partitioner.Table, revision uint64, sent timer.Instant, err error) {
	if err == nil {
		p.confirmWrite(t, revision, sent)
		return
	}
	p.logger.Warn().Err(err).Bool("table", t != nil).Msg("write of the table failed")
	if errors.Is(err, descriptor.ErrRejected) {
		p.mu.Lock()
		if p.overseer != nil && t != nil {
			p.overseer.WriteFailed(t)
		}
		p.mu.Unlock()
		pause(ctx, rejectedWriteDelay)
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

// rereadTable learns what the store holds after a write whose outcome is open, or that
// came upon another revision.
func (p *Participant) rereadTable(ctx context.Context) {
	sent := p.timers.Now()
	rctx, cancel := context.WithTimeout(ctx, storeTimeout)
	o, err := p.store.Get(rctx, tableKind, tableName)
	cancel()
	if err != nil {
		p.logger.Warn().Err(err).Msg("the table cannot be read back")
		pause(ctx, rejectedWriteDelay)
		return
	}
	t, err := decodeTable(o.Spec)
	if err != nil {
		p.logger.Error().Err(err).Msg("the stored table cannot be decoded")
		return
	}
	p.mu.Lock()
	if p.overseer != nil && t.Coordinator == p.self.ID && t.Incarnation == p.incarnation {
		p.revision = o.Revision
		p.overseer.TableRead(t, sent)
		p.notify()
		p.mu.Unlock()
		p.TriggerHeartbeat()
		return
	}
	p.overseer = nil
	p.notify()
	p.mu.Unlock()
	p.logger.Info().Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).Msg("coordinator's role lost")
	p.applyTable(t)
}

// updateGrants keeps the backend server's grants as the table and the lease say.
func (p *Participant) updateGrants(ctx context.Context) {
	p.forwarder.Tick()
	for _, call := range p.granter.DueCalls(p.timers.Now()) {
		go p.sendKeyRequest(ctx, call)
	}
}

func (p *Participant) sendKeyRequest(ctx context.Context, call granter.Call) {
	result, handover := p.client.UpdateGrant(ctx, call)
	p.granter.HandleResult(call, result, handover, p.timers.Now())
	if call.Release || result != granter.Done {
		p.logger.Info().Bool("release", call.Release).Uint16("first", call.First).Uint16("last", call.Last).
			Uint64("token", call.Token).Int("result", int(result)).Dur("hold", call.Hold).
			Bool("handover", handover != "").Msg("order about keys")
		p.TriggerHeartbeat()
	}
}
