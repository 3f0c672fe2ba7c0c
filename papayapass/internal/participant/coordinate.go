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
	// announceAtOnce bounds the announcements on their way.
	announceAtOnce = 8
	// rejectedPause is the time before a write that the store rejected is tried again.
	rejectedPause = 250 * time.Millisecond
	// grantInterval is the time between looks at grants and waiting requests.
	grantInterval = 25 * time.Millisecond
)

// HandleHeartbeat takes a beat of a node.
func (c *Participant) HandleHeartbeat(ctx context.Context, b overseer.Heartbeat) overseer.HeartbeatReply {
	c.mu.Lock()
	if c.overseer == nil {
		defer c.mu.Unlock()
		return c.decline(b)
	}
	r := c.overseer.HandleHeartbeat(b, c.timers.Now())
	c.tell(&r, b)
	changed := c.changed
	c.mu.Unlock()
	if !r.HasUpdate() && b.Wait > 0 {
		t := time.NewTimer(b.Wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
		b.Work, b.Released = nil, nil
		c.mu.Lock()
		if c.overseer == nil {
			defer c.mu.Unlock()
			return c.decline(b)
		}
		r = c.overseer.HandleHeartbeat(b, c.timers.Now())
		c.tell(&r, b)
		c.mu.Unlock()
	}
	return r
}

// decline answers a beat at a node that does not coordinate, and says who does. The
// caller holds c.mu.
func (c *Participant) decline(b overseer.Heartbeat) overseer.HeartbeatReply {
	r := overseer.HeartbeatReply{Epoch: c.joined}
	if t := c.table.Load(); t != nil && t.Epoch > b.Epoch {
		r.Table = t
	}
	return r
}

// HandleTable takes the table of a coordinator that misses this node.
func (c *Participant) HandleTable(t *partitioner.Table) {
	c.mu.Lock()
	if c.overseer != nil && c.overseer.Table().Epoch < t.Epoch {
		c.overseer = nil
		c.notify()
		c.logger.Info().Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).Msg("coordinator's role lost")
	}
	c.mu.Unlock()
	c.applyTable(t)
	c.TriggerHeartbeat()
}

// every calls do at an interval until the context ends.
func (c *Participant) every(ctx context.Context, interval time.Duration, do func(context.Context)) error {
	tick := c.timers.Subscribe(interval)
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
func (c *Participant) announce(ctx context.Context) {
	c.mu.Lock()
	var missing []partitioner.Member
	var t *partitioner.Table
	if c.overseer != nil {
		missing, t = c.overseer.SilentMembers(c.timers.Now()), c.overseer.Table()
	}
	c.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(announceAtOnce)
	for _, m := range missing {
		g.Go(func() error {
			actx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := c.calls.Announce(actx, m.Address, t); err == nil {
				c.logger.Info().Str("member", string(m.ID)).Uint64("epoch", t.Epoch).Msg("missing member told who coordinates")
			}
			return nil // a member that does not answer is told again
		})
	}
	_ = g.Wait() // no error is returned
}

// coordinate plans and writes the table while this node has the role.
func (c *Participant) coordinate(ctx context.Context) {
	next, revision, ok := c.plan()
	if !ok {
		return
	}
	sent := c.timers.Now()
	var err error
	switch {
	case next != nil:
		revision, err = c.writeTable(ctx, next, revision)
	case sent.Sub(c.renewed) >= overseer.RenewalInterval:
		c.renewals++
		revision, err = c.writeStatus(ctx, c.renewals, revision)
	default:
		return
	}
	c.renewed = sent
	c.wrote(ctx, next, revision, sent, err)
}

func (c *Participant) plan() (*partitioner.Table, uint64, bool) {
	zones := *c.zonesOut.Load()
	list := make([]string, 0, len(zones))
	for z := range zones {
		list = append(list, z)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overseer == nil {
		return nil, 0, false
	}
	c.overseer.SetZonesOut(list)
	next := c.overseer.Plan(c.timers.Now())
	if next != nil {
		c.overseer.WriteStarted(next)
	}
	return next, c.revision, true
}

func (c *Participant) writeTable(ctx context.Context, t *partitioner.Table, revision uint64) (uint64, error) {
	spec, err := encodeTable(t)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Replace(ctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Spec: spec})
}

// tenureStatus is the status of the table's object; it changes with each renewal.
type tenureStatus struct {
	Incarnation uint64 `json:"incarnation"`
	Renewals    int    `json:"renewals"`
}

func (c *Participant) writeStatus(ctx context.Context, counter int, revision uint64) (uint64, error) {
	status, err := json.Marshal(tenureStatus{Incarnation: c.incarnation, Renewals: counter})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.ReplaceStatus(ctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Status: status})
}

// wrote takes the result of a write.
func (c *Participant) wrote(ctx context.Context, t *partitioner.Table, revision uint64, sent timer.Instant, err error) {
	if err == nil {
		c.confirm(t, revision, sent)
		return
	}
	c.logger.Warn().Err(err).Bool("table", t != nil).Msg("write of the table failed")
	if errors.Is(err, descriptor.ErrRejected) {
		c.mu.Lock()
		if c.overseer != nil && t != nil {
			c.overseer.WriteFailed(t)
		}
		c.mu.Unlock()
		pause(ctx, rejectedPause)
		return
	}
	c.reread(ctx)
}

func (c *Participant) confirm(t *partitioner.Table, revision uint64, sent timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overseer == nil {
		return
	}
	c.revision = revision
	c.overseer.WriteConfirmed(t, sent)
	if t != nil {
		c.notify()
		c.TriggerHeartbeat()
	}
}

// reread learns what the store holds after a write whose outcome is open, or that
// came upon another revision.
func (c *Participant) reread(ctx context.Context) {
	sent := c.timers.Now()
	rctx, cancel := context.WithTimeout(ctx, storeTimeout)
	o, err := c.store.Get(rctx, tableKind, tableName)
	cancel()
	if err != nil {
		c.logger.Warn().Err(err).Msg("the table cannot be read back")
		pause(ctx, rejectedPause)
		return
	}
	t, err := decodeTable(o.Spec)
	if err != nil {
		c.logger.Error().Err(err).Msg("the stored table cannot be decoded")
		return
	}
	c.mu.Lock()
	if c.overseer != nil && t.Coordinator == c.self.ID && t.Incarnation == c.incarnation {
		c.revision = o.Revision
		c.overseer.TableRead(t, sent)
		c.notify()
		c.mu.Unlock()
		c.TriggerHeartbeat()
		return
	}
	c.overseer = nil
	c.notify()
	c.mu.Unlock()
	c.logger.Info().Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).Msg("coordinator's role lost")
	c.applyTable(t)
}

// grant keeps the backend server's grants as the table and the lease say.
func (c *Participant) grant(ctx context.Context) {
	c.attendant.Tick()
	for _, call := range c.granter.DueCalls(c.timers.Now()) {
		go c.order(ctx, call)
	}
}

func (c *Participant) order(ctx context.Context, call granter.Call) {
	result, handover := c.calls.UpdateGrant(ctx, call)
	c.granter.HandleResult(call, result, handover, c.timers.Now())
	if call.Release || result != granter.Done {
		c.logger.Info().Bool("release", call.Release).Uint16("first", call.First).Uint16("last", call.Last).
			Uint64("token", call.Token).Int("result", int(result)).Dur("hold", call.Hold).
			Bool("handover", handover != "").Msg("order about keys")
		c.TriggerHeartbeat()
	}
}
