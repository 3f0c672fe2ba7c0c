// Package participant joins a node to the deployment: it follows the configuration,
// the coordinator and its leases, and coordinates when it falls to this node. The
// decisions are in packages overseer, partitioner and granter.
package participant

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/forwarder"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Store is the platform's store of objects.
type Store interface {
	Get(ctx context.Context, kind, name string) (descriptor.Object, error)
	List(ctx context.Context, kind string) ([]descriptor.Object, uint64, error)
	Create(ctx context.Context, kind string, o descriptor.Object) (uint64, error)
	Replace(ctx context.Context, kind string, o descriptor.Object) (uint64, error)
	ReplaceStatus(ctx context.Context, kind string, o descriptor.Object) (uint64, error)
}

// Client makes calls of other nodes and of the backend server.
type Client interface {
	// Heartbeat sends a beat to the node at an address.
	Heartbeat(ctx context.Context, address string, b overseer.Heartbeat) (overseer.HeartbeatReply, error)
	// Probe asks the node at an address whether it hears its coordinator.
	Probe(ctx context.Context, address string) (overseer.ProbeReply, error)
	// Announce tells the node at an address the table of the coordinator.
	Announce(ctx context.Context, address string, t *partitioner.Table) error
	// UpdateGrant makes a call of the backend server about keys.
	UpdateGrant(ctx context.Context, call granter.Call) (granter.Result, string)
}

// StoreLayout says where things lie in the store, and how to read them.
type StoreLayout struct {
	ConfigurationKind string
	ConfigurationName string
	ZonesOutKind      string
	Decode            func(spec []byte) (*descriptor.Configuration, error)
}

// The table's object.
const (
	tableKind = "papayapass-tables"
	tableName = "main"
)

// Bounds are times that the deployment's settings give.
type Bounds struct {
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ZoneOutTimeout is the time within which a zone that was taken out gets no more work.
	ZoneOutTimeout time.Duration
	// ApplyTimeout is the time within which a configuration must be in force.
	ApplyTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a backend server.
	HeartbeatInterval time.Duration
}

// Participant joins one node to the deployment.
type Participant struct {
	self         partitioner.Member
	incarnation  uint64
	store        Store
	client       Client
	layout       StoreLayout
	bounds       atomic.Pointer[Bounds]
	timers       *timer.Service
	granter      *granter.Granter
	forwarder    *forwarder.Forwarder
	newPeer      func(address string) *dispatcher.Peer
	logger       zerolog.Logger
	heartbeatNow chan struct{}
	stopping     atomic.Bool

	configuration atomic.Pointer[descriptor.Configuration]
	// configurationRevision is the store's revision of the configuration read last.
	configurationRevision atomic.Uint64
	zonesOut              atomic.Pointer[map[string]bool]
	// keysServedUntil is how long keys are served after the zone was taken out.
	keysServedUntil atomic.Int64
	table           atomic.Pointer[partitioner.Table]
	loads           atomic.Pointer[map[partitioner.NodeID]overseer.ServerLoad]
	peers           sync.Map // address to *dispatcher.Peer
	retryBudget     *retryBudget

	// lastWriteSent is the last write of the table's object that was sent, and renewals counts
	// those that changed nothing else. Only the thread that coordinates uses them.
	lastWriteSent timer.Instant
	renewals      int

	// tableMu keeps older tables from replacing newer ones.
	tableMu sync.Mutex

	mu           sync.Mutex
	overseer     *overseer.Overseer
	revision     uint64 // of the table's object, as this coordinator last knew it
	changed      chan struct{}
	lastContact  timer.Instant // the last reply of a coordinator
	echo         timer.Instant
	echoEpoch    uint64
	highestEpoch uint64 // the highest epoch that this node follows
	desired      desiredState
	// freshReplyAt is when the coordinator last told what operators want, freshly read.
	freshReplyAt timer.Instant
}

// NewParticipant returns a conductor of a node. Attach completes it.
func NewParticipant(self partitioner.Member, incarnation uint64, store Store, objects StoreLayout, bounds Bounds,
	timers *timer.Service, g *granter.Granter, newPeer func(address string) *dispatcher.Peer, logger zerolog.Logger,
) *Participant {
	p := &Participant{
		self: self, incarnation: incarnation, store: store, layout: objects, timers: timers,
		granter: g, newPeer: newPeer, logger: logger, heartbeatNow: make(chan struct{}, 1), changed: make(chan struct{}),
		lastContact: timers.Now(), retryBudget: newRetryBudget(bounds, timers),
	}
	p.bounds.Store(&bounds)
	empty := make(map[string]bool)
	p.zonesOut.Store(&empty)
	loads := make(map[partitioner.NodeID]overseer.ServerLoad)
	p.loads.Store(&loads)
	return p
}

// Attach gives the conductor the attendant of the backend server, and its calls.
func (p *Participant) Attach(a *forwarder.Forwarder, calls Client) { p.forwarder, p.client = a, calls }

// SetBounds takes bounds of settings that have changed.
func (p *Participant) SetBounds(b Bounds) {
	p.bounds.Store(&b)
	p.retryBudget.setBounds(b)
}

// Configuration returns the configuration in force, or nil before the first.
func (p *Participant) Configuration() *descriptor.Configuration { return p.configuration.Load() }

// ZoneOut says whether operators took this instance's zone out of service. Requests
// with keys are served for a while longer, until the keys have moved; but not by a
// node that did not see the zone in service, as it cannot know how long it is out.
func (p *Participant) ZoneOut(divided bool) bool {
	if !(*p.zonesOut.Load())[p.self.Zone] {
		return false
	}
	return !divided || p.timers.Now() > timer.Instant(p.keysServedUntil.Load())
}

// TriggerHeartbeat has the coordinator told of a change at once.
func (p *Participant) TriggerHeartbeat() {
	select {
	case p.heartbeatNow <- struct{}{}:
	default:
	}
}

// Ready says whether the node takes new work of customers.
func (p *Participant) Ready() bool { return p.Configuration() != nil && !p.stopping.Load() }

// Stop begins a graceful stop.
func (p *Participant) Stop() { p.stopping.Store(true) }

// Run joins the deployment until the context ends.
func (p *Participant) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.pollStore(ctx) })
	g.Go(func() error { return p.follow(ctx) })
	g.Go(func() error { return p.runEvery(ctx, planInterval, p.coordinate) })
	g.Go(func() error { return p.runEvery(ctx, announceInterval, p.announce) })
	g.Go(func() error { return p.runEvery(ctx, grantInterval, p.updateGrants) })
	return g.Wait()
}

// applyConfiguration puts a configuration in force unless an equal or newer one is.
func (p *Participant) applyConfiguration(cfg *descriptor.Configuration, from string) {
	for {
		old := p.configuration.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if p.configuration.CompareAndSwap(old, cfg) {
			p.logger.Info().Uint64("version", cfg.Version).Int("routes", len(cfg.Routes)).Str("from", from).Msg("configuration in force")
			p.forwarder.ApplyConfiguration()
			p.mu.Lock()
			p.notify()
			p.mu.Unlock()
			return
		}
	}
}

// applyTable takes a table unless an equal or newer one is known.
func (p *Participant) applyTable(t *partitioner.Table) {
	p.tableMu.Lock()
	defer p.tableMu.Unlock()
	old := p.table.Load()
	if !t.Newer(old) {
		return
	}
	p.table.Store(t)
	p.granter.SetTable(t)
	p.retryBudget.setNodes(len(t.Members))
	p.logger.Info().Uint64("epoch", t.Epoch).Uint64("version", t.Version).Str("coordinator", string(t.Coordinator)).
		Int("members", len(t.Members)).Int("owned", len(t.Owned(p.self.ID))).Msg("table")
}

// ReadTable returns the table of owners that the store has.
func ReadTable(ctx context.Context, s Store) (*partitioner.Table, error) {
	o, err := s.Get(ctx, tableKind, tableName)
	if err != nil {
		return nil, err
	}
	return decodeTable(o.Spec)
}

func encodeTable(t *partitioner.Table) (json.RawMessage, error) { return json.Marshal(t) }

func decodeTable(spec []byte) (*partitioner.Table, error) {
	var t partitioner.Table
	if err := json.Unmarshal(spec, &t); err != nil {
		return nil, err
	}
	return &t, nil
}

// peer returns the peer at an address.
func (p *Participant) peer(address string) *dispatcher.Peer {
	if peer, ok := p.peers.Load(address); ok {
		return peer.(*dispatcher.Peer)
	}
	peer, _ := p.peers.LoadOrStore(address, p.newPeer(address))
	return peer.(*dispatcher.Peer)
}
