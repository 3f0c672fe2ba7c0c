package participant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Times of following the coordinator.
const (
	// beatWait is how long the coordinator may hold an answer back for a change.
	beatWait = 250 * time.Millisecond
	// beatTimeout bounds a beat: its wait, and a slow node.
	beatTimeout = 800 * time.Millisecond
	// beatPause is the time before a failed beat is sent again.
	beatPause = 80 * time.Millisecond
	// silenceSpread keeps nodes from asking the store at the same moment.
	silenceSpread = 200 * time.Millisecond
	// probeTimeout bounds the question whether others hear the coordinator.
	probeTimeout = 300 * time.Millisecond
	// seekPause is the time between looks into the store.
	seekPause = 400 * time.Millisecond
	// doubtPause is the time between looks while the coordinator cannot write.
	doubtPause = 1500 * time.Millisecond
	// storeTimeout bounds a call of the store.
	storeTimeout = time.Second
)

// errNobody means that no coordinator is known.
var errNobody = errors.New("no coordinator is known")

// follow sends beats to the coordinator, and looks for another when it is silent.
func (c *Participant) follow(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.followUrgently(ctx) })
	c.seek(ctx, false)
	for ctx.Err() == nil {
		reply, err := c.beat(ctx, beatWait)
		switch {
		case err == nil && !reply.StoreDown:
		case err == nil:
			c.doubt(ctx)
		case c.silentFor() > overseer.CoordinatorTimeout+rand.N(silenceSpread):
			c.seek(ctx, false)
			pause(ctx, seekPause)
		default:
			pause(ctx, beatPause)
		}
	}
	return g.Wait()
}

// followUrgently tells the coordinator of changes at once.
func (c *Participant) followUrgently(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.kick:
		}
		if _, err := c.beat(ctx, 0); err != nil {
			pause(ctx, beatPause)
		}
	}
}

func (c *Participant) silentFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timers.Now().Sub(c.heard)
}

// beat tells the coordinator of this node and takes its reply.
func (c *Participant) beat(ctx context.Context, wait time.Duration) (overseer.HeartbeatReply, error) {
	t := c.table.Load()
	if t == nil {
		return overseer.HeartbeatReply{}, errNobody
	}
	b := overseer.Heartbeat{Incarnation: c.incarnation, Member: c.self, Wait: wait, Epoch: t.Epoch, Version: t.Version, Stopping: c.stopping.Load()}
	if cfg := c.Configuration(); cfg != nil {
		b.ConfigurationVersion = cfg.Version
	}
	c.attendant.FillHeartbeat(&b)
	c.mu.Lock()
	if c.echoEpoch == t.Epoch {
		b.Echo = c.echo
	}
	c.mu.Unlock()
	sent := c.timers.Now()
	var reply overseer.HeartbeatReply
	if t.Coordinator == c.self.ID {
		reply = c.HandleHeartbeat(ctx, b)
	} else {
		m, ok := t.Member(t.Coordinator)
		if !ok {
			return reply, errNobody
		}
		ctx, cancel := context.WithTimeout(ctx, beatTimeout)
		defer cancel()
		var err error
		if reply, err = c.calls.Heartbeat(ctx, m.Address, b); err != nil {
			return reply, err
		}
	}
	return reply, c.take(reply, sent)
}

// take applies a coordinator's reply to a beat that was sent at an instant.
func (c *Participant) take(r overseer.HeartbeatReply, sent timer.Instant) error {
	if !r.IsCoordinator {
		if r.Table != nil {
			c.applyTable(r.Table)
		}
		return errors.Wrap(errNobody, "the node does not coordinate")
	}
	c.mu.Lock()
	if r.Epoch < c.joined {
		c.mu.Unlock()
		return errors.Wrap(errNobody, "the coordinator's term is over")
	}
	c.joined, c.heard = r.Epoch, c.timers.Now()
	c.echo, c.echoEpoch = r.Stamp, r.Epoch
	c.coveredAt = 0
	if r.ZonesFresh {
		c.coveredAt = c.heard
	}
	c.mu.Unlock()
	c.setZones(r.ZonesOut, r.ZonesRevision)
	if r.Table != nil {
		c.applyTable(r.Table)
	}
	if r.Delta != nil {
		if next := c.table.Load().Apply(r.Delta); next != nil {
			c.applyTable(next)
		}
	}
	if t := c.table.Load(); t.Epoch == r.Epoch {
		c.granter.SetLease(sent.Add(r.Lease))
	}
	loads := make(map[partitioner.NodeID]overseer.ServerLoad, len(r.Loads))
	for _, l := range r.Loads {
		loads[l.Node] = l
	}
	c.loads.Store(&loads)
	if len(r.Configuration) > 0 {
		if cfg, err := c.objects.Decode(r.Configuration); err == nil {
			c.apply(cfg, "coordinator")
		} else {
			c.logger.Warn().Err(err).Msg("the coordinator's configuration cannot be read")
		}
	}
	return nil
}

// doubt takes over from a coordinator that cannot write, when this node can.
func (c *Participant) doubt(ctx context.Context) {
	c.mu.Lock()
	coordinates := c.overseer != nil
	c.mu.Unlock()
	if coordinates {
		return
	}
	c.seek(ctx, true)
	c.TriggerHeartbeat()
	pause(ctx, rand.N(doubtPause))
}

// seek reads the table's object and takes the coordinator's role when it is vacant.
// With force, it takes the role as soon as the store can be read.
func (c *Participant) seek(ctx context.Context, force bool) {
	rctx, cancel := context.WithTimeout(ctx, storeTimeout)
	o, err := c.store.Get(rctx, tableKind, tableName)
	cancel()
	if errors.Is(err, descriptor.ErrNotFound) {
		c.found(ctx)
		return
	}
	if err != nil {
		c.logger.Info().Err(err).Msg("the table cannot be read")
		return
	}
	t, err := decodeTable(o.Spec)
	if err != nil {
		c.logger.Error().Err(err).Uint64("revision", o.Revision).Msg("the stored table cannot be decoded")
		return
	}
	sight := overseer.ElectionView{
		Self: c.self.ID, Incarnation: c.incarnation, Stored: t, Known: c.table.Load(), CannotWrite: force, Silent: c.silentFor(),
	}
	c.applyTable(t)
	step := sight.NextStep()
	if step == overseer.StepProbe {
		c.ask(ctx, &sight)
		step = sight.NextStep()
	}
	c.logger.Info().Str("step", string(step)).Uint64("epoch", t.Epoch).Str("coordinator", string(t.Coordinator)).
		Bool("cannotWrite", force).Dur("silent", sight.Silent).Int("others", sight.Others).Int("answered", sight.Answered).
		Int("hear", sight.InContact).Msg("coordinator looked for")
	switch step {
	case overseer.StepAdopt:
		c.adopt(t, o.Revision, c.timers.Now())
	case overseer.StepClaim:
		c.claim(ctx, t, o.Revision)
	case overseer.StepFollow, overseer.StepProbe:
	}
}

// ask counts the other members that hear the coordinator.
func (c *Participant) ask(ctx context.Context, s *overseer.ElectionView) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var g errgroup.Group
	answers := make([]*overseer.ProbeReply, len(s.Stored.Members))
	s.Probed = true
	for i, m := range s.Stored.Members {
		if m.ID == c.self.ID || m.ID == s.Stored.Coordinator {
			continue
		}
		s.Others++
		g.Go(func() error {
			p, err := c.calls.Probe(ctx, m.Address)
			if err == nil {
				answers[i] = &p
			}
			return nil // a member that does not answer does not count
		})
	}
	_ = g.Wait() // no member's silence is an error
	for _, p := range answers {
		if p == nil {
			continue
		}
		s.Answered++
		if p.InContact && p.Epoch >= s.Stored.Epoch {
			s.InContact++
		}
	}
}

// Probe says whether this node hears its coordinator.
func (c *Participant) Probe() overseer.ProbeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return overseer.ProbeReply{Epoch: c.joined, InContact: c.timers.Now().Sub(c.heard) < overseer.CoordinatorTimeout}
}

// found makes the first table of the deployment.
func (c *Participant) found(ctx context.Context) {
	t := &partitioner.Table{Epoch: 1, Version: 1, Coordinator: c.self.ID, Incarnation: c.incarnation}
	t.SetMember(c.self)
	spec, err := encodeTable(t)
	if err != nil {
		c.logger.Error().Err(err).Msg("encode the first table")
		return
	}
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := c.store.Create(wctx, tableKind, descriptor.Object{Name: tableName, Spec: spec})
	if err != nil {
		c.logger.Info().Err(err).Msg("first table not created here")
		return
	}
	c.applyTable(t)
	c.adopt(t, revision, c.timers.Now())
}

// claim takes the coordinator's role by a conditional write.
func (c *Participant) claim(ctx context.Context, t *partitioner.Table, revision uint64) {
	next := overseer.ClaimTable(t, c.self, c.incarnation)
	spec, err := encodeTable(next)
	if err != nil {
		c.logger.Error().Err(err).Msg("encode a table")
		return
	}
	sent := c.timers.Now()
	wctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err = c.store.Replace(wctx, tableKind, descriptor.Object{Name: tableName, Revision: revision, Spec: spec})
	if err != nil {
		c.logger.Info().Err(err).Uint64("epoch", next.Epoch).Msg("the role was not taken")
		return
	}
	c.logger.Info().Uint64("epoch", next.Epoch).Msg("coordinator's role taken")
	c.applyTable(next)
	c.adopt(next, revision, sent)
}

// adopt begins a term with a table that the store has acknowledged.
func (c *Participant) adopt(t *partitioner.Table, revision uint64, sent timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Epoch < c.joined || (c.overseer != nil && c.overseer.Table().Epoch >= t.Epoch) {
		return
	}
	now := c.timers.Now()
	c.overseer, c.revision = overseer.NewOverseer(c.self.ID, t, c.bounds.Load().HeartbeatInterval, sent, now), revision
	c.joined, c.heard = t.Epoch, now
}
