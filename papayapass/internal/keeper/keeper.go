package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/negotiator"
	"papayapass.dev/papayapass/internal/persister"
	"papayapass.dev/papayapass/internal/ranker"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracker"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Sizes and times of the event loop.
const (
	eventQueueSize   = 4096
	tickInterval     = 25 * time.Millisecond
	linkResetSilence = 700 * time.Millisecond
	sendTimeout      = 300 * time.Millisecond
)

// Keeper runs the lease protocol of one node.
type Keeper struct {
	self        holder.Identity
	timers      *timer.Service
	logger      zerolog.Logger
	persister   *persister.Persister
	watcher     *configurationWatcher
	connector   *messenger.Connector
	tracker     *tracker.Tracker
	ranker      *ranker.Ranker
	events      chan event
	writes      chan *assigner.Table
	view        atomic.Pointer[View]
	negotiator  *negotiator.Negotiator
	restriction assigner.Restriction
	links       map[assigner.NodeID]*messenger.Link
	dialling    sync.Map
	lastReset   timer.Instant
	left        atomic.Bool
	moves       moveLog
}

// NewKeeper returns a keeper of a node. Attach connects it to its peers.
func NewKeeper(self holder.Identity, seeds []string, platform persister.Platform, watch WatchPlatform, timers *timer.Service, logger zerolog.Logger) *Keeper {
	k := &Keeper{
		self:        self,
		timers:      timers,
		logger:      logger,
		persister:   persister.NewPersister(platform, self.Cell(), writerName(self)),
		events:      make(chan event, eventQueueSize),
		writes:      make(chan *assigner.Table, 1),
		restriction: assigner.NewRestriction(nil, nil),
		links:       make(map[assigner.NodeID]*messenger.Link),
		ranker:      ranker.NewRanker(),
	}
	k.tracker = tracker.NewTracker(func() { k.post(drainedEvent{}) })
	k.negotiator = negotiator.NewNegotiator(self, seeds, workload{tracker: k.tracker, ranker: k.ranker}, timers.Now())
	k.watcher = newConfigurationWatcher(watch, k)
	k.publish(true)
	return k
}

// workload provides the tracker and the ranker to the lease protocol.
type workload struct {
	tracker *tracker.Tracker
	ranker  *ranker.Ranker
}

// hotRate is the rate above which a key is reported as hot, in requests per
// second.
const hotRate = 10

const milli = 1000

// Loads returns the load of each slice since the last call.
func (w workload) Loads(elapsed time.Duration) []*wirepb.SliceLoad {
	counts := w.tracker.TakeCounts()
	out := make([]*wirepb.SliceLoad, 0, len(counts))
	for _, c := range counts {
		rate := float64(c.Count()) * milli / elapsed.Seconds()
		out = append(out, &wirepb.SliceLoad{Pool: c.Key().Pool(), Start: c.Key().Start(), RateMilli: uint32(rate)})
	}
	return out
}

// HotKeys returns the hottest keys since the last call.
func (w workload) HotKeys(elapsed time.Duration) []*wirepb.SliceLoad {
	var out []*wirepb.SliceLoad
	for _, item := range w.ranker.TakeHotKeys(uint64(hotRate * elapsed.Seconds())) {
		rate := float64(item.Count()) * milli / elapsed.Seconds()
		out = append(out, &wirepb.SliceLoad{Pool: item.Pool(), Start: item.Point(), RateMilli: uint32(rate)})
	}
	return out
}

// Close stops admitting requests to a slice and reports whether none is
// running.
func (w workload) Close(pool string, start, last uint64, token assigner.Token) bool {
	return w.tracker.Close(tracker.NewRange(pool, start, last), token)
}

func writerName(self holder.Identity) string {
	return string(self.ID()) + "-" + time.Unix(0, int64(self.Incarnation())).UTC().Format("20060102T150405.000000000")
}

// Attach sets the connector through which the keeper reaches its peers.
func (k *Keeper) Attach(c *messenger.Connector) { k.connector = c }

// Tracker returns the tracker of requests per slice.
func (k *Keeper) Tracker() *tracker.Tracker { return k.tracker }

// Ranker returns the ranker of hot keys.
func (k *Keeper) Ranker() *ranker.Ranker { return k.ranker }

// View returns the newest view.
func (k *Keeper) View() *View { return k.view.Load() }

// Now returns the current instant.
func (k *Keeper) Now() timer.Instant { return k.timers.Now() }

// Receive takes a control message from a peer.
func (k *Keeper) Receive(l *messenger.Link, m proto.Message) {
	k.post(receivedEvent{link: l, message: m})
}

// SetServer sets the state of the local backend server.
func (k *Keeper) SetServer(s assigner.Server) { k.post(serverEvent{server: s}) }

// Leave starts the handover of all slices and of the coordinator's role. Left
// reports when it is complete.
func (k *Keeper) Leave() { k.post(leaveEvent{}) }

// Left reports whether the handover is complete and the table no longer shows
// the local backend server as up, or the node has no table.
func (k *Keeper) Left() bool {
	v := k.View()
	if v.table == nil {
		return true
	}
	m, ok := v.table.Member(v.self)
	return k.left.Load() && (!ok || m.Server().State() != assigner.ServerUp)
}

// Status returns the state of the lease protocol.
func (k *Keeper) Status(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	k.post(statusEvent{reply: reply})
	select {
	case s := <-reply:
		return s, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// post queues an event. It drops the event if the queue is full; the protocol
// tolerates lost messages.
func (k *Keeper) post(e event) {
	select {
	case k.events <- e:
	default:
		k.logger.Warn().Msg("event queue is full, event dropped")
	}
}

// Run runs the protocol until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.runEvents(ctx) })
	g.Go(func() error { return k.writeTables(ctx) })
	g.Go(func() error { return k.initTable(ctx) })
	g.Go(func() error { return k.watcher.run(ctx) })
	return g.Wait()
}

// runEvents is the event loop, which owns all protocol state.
func (k *Keeper) runEvents(ctx context.Context) error {
	tick := k.timers.Subscribe(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-k.events:
			k.handle(ctx, e)
		case <-tick.C():
			now := k.timers.Now()
			k.negotiator.Tick(now, time.Now())
			k.resetSilentLink(now)
			k.performActions(ctx, nil)
		}
	}
}

func (k *Keeper) handle(ctx context.Context, e event) {
	now := k.timers.Now()
	var from *messenger.Link
	switch e := e.(type) {
	case receivedEvent:
		from = e.link
		k.recordLink(e.link, e.message)
		k.negotiator.Receive(e.message, now)
	case storedEvent:
		k.negotiator.Stored(e.table, e.result, now)
	case readEvent:
		if e.found {
			k.negotiator.LoadTable(e.table)
		} else {
			k.negotiator.CellCreated(e.table, now)
		}
	case configurationEvent:
		k.negotiator.SetConfiguration(e.configuration, now)
	case serverEvent:
		k.negotiator.SetServer(e.server, now)
	case drainedEvent:
		k.negotiator.ReleaseDrained(now)
	case leaveEvent:
		k.negotiator.Leave(now)
	case statusEvent:
		e.reply <- k.status()
	}
	k.performActions(ctx, from)
}

func (k *Keeper) status() Status {
	now := k.timers.Now()
	h := k.negotiator.Holder()
	s := Status{
		view:      k.View(),
		quiet:     h.Quiet(now),
		leaseLeft: max(0, h.LeaseUntil().Sub(now)),
		moves:     append([]Move(nil), k.moves.moves...),
	}
	if c := k.negotiator.Coordinator(); c != nil {
		s.coordinates = true
		s.storeDown = c.StoreDown()
		s.peers = c.Peers(now)
	}
	return s
}

// performActions performs the actions that the protocol requests and publishes
// the view.
func (k *Keeper) performActions(ctx context.Context, from *messenger.Link) {
	changed := false
	for _, a := range k.negotiator.TakeActions() {
		changed = k.performAction(ctx, a, from) || changed
	}
	k.left.Store(k.negotiator.Left())
	k.publish(changed)
}

// publish makes the current state visible to other goroutines.
func (k *Keeper) publish(changed bool) {
	old := k.view.Load()
	h := k.negotiator.Holder()
	cfg := k.negotiator.Configuration()
	if old != nil && old.configuration.GetVersion() != cfg.GetVersion() {
		k.restriction = assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut())
		changed = true
	}
	id, _ := h.Coordinator()
	if old != nil && !changed && old.leaseUntil == h.LeaseUntil() && old.epoch == h.Epoch() && old.coordinator == id && old.table == h.Table() {
		return
	}
	v := &View{
		self: k.self.ID(), epoch: h.Epoch(), coordinator: id, table: h.Table(), leaseUntil: h.LeaseUntil(),
		configuration: cfg, restriction: k.restriction,
	}
	if old == nil || changed || old.table != v.table {
		v.changed = make(chan struct{})
	} else {
		v.changed = old.changed
	}
	k.view.Store(v)
	if old != nil && old.changed != v.changed {
		close(old.changed)
	}
}

// writeTables writes tables to the platform, one at a time.
func (k *Keeper) writeTables(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-k.writes:
			k.post(storedEvent{table: t, result: k.persister.Write(ctx, t)})
		}
	}
}
