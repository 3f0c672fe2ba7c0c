// Package participant joins a node to the deployment: it follows the configuration, the
// coordinator and its leases, and acts as the coordinator while this node has that role.
// Packages overseer, partitioner and granter make the decisions.
package participant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/forwarder"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/selector"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (descriptor.Object, error)
	List(ctx context.Context, kind string) (descriptor.Listing, error)
	Create(ctx context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error)
	Replace(ctx context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error)
	ReplaceStatus(ctx context.Context, kind string, o descriptor.Object) (descriptor.StoreState, error)
}

// Client calls other nodes and the local backend server.
type Client interface {
	// Heartbeat sends a heartbeat to the node at an address.
	Heartbeat(ctx context.Context, address string, h overseer.Heartbeat) (overseer.HeartbeatReply, error)
	// Probe asks the node at an address whether it is in contact with its coordinator.
	Probe(ctx context.Context, address string, r overseer.ProbeRequest) (overseer.ProbeReply, error)
	// Announce sends the coordinator's table to the node at an address.
	Announce(ctx context.Context, address string, t *partitioner.Table) error
	// Charge asks the node at an address for credits of a customer.
	Charge(ctx context.Context, address string, c accountant.Charge) (accountant.Answer, error)
	// UpdateGrant sends a key request to the local backend server. The second result is
	// the handover value from the response.
	UpdateGrant(ctx context.Context, call granter.Call) (granter.Result, string)
}

// StoreLayout gives the kinds and names of objects in the store and the decoder of the
// configuration.
type StoreLayout struct {
	ConfigurationKind string
	ConfigurationName string
	ZonesOutKind      string
	Decode            func(spec []byte) (*descriptor.Configuration, error)
}

// Bounds are limits from the deployment's settings.
type Bounds struct {
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ZoneOutTimeout is the time within which a zone taken out of service must get no more
	// work.
	ZoneOutTimeout time.Duration
	// ApplyTimeout is the time within which a configuration must be in force.
	ApplyTimeout time.Duration
	// Revocation is the time after which a key that was taken away is refused everywhere, also by nodes
	// that are out of touch; zero if those may accept it for longer.
	Revocation time.Duration
	// HeartbeatInterval is the time between two heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// Quota says how far customers may exceed their limits.
	Quota accountant.Bounds
}

// Participant connects one node to the deployment.
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
	// grantsDue wakes the goroutine that renews grants; staleReply the one that reads the
	// store.
	grantsDue, staleReply chan struct{}
	stopping              atomic.Bool

	configuration atomic.Pointer[descriptor.Configuration]
	// lastRead is the last configuration read.
	lastRead atomic.Pointer[readVersion]
	// age is that of the configuration in force.
	age configurationAge
	// lastFreshness is the freshness at the last request, for the log.
	lastFreshness atomic.Int32
	zonesOut      atomic.Pointer[map[string]bool]
	// storeEra is the highest era of the store that this node has seen.
	storeEra atomic.Uint64
	// keysServedUntil is the instant until which requests with keys are still served after
	// the zone was taken out of service.
	keysServedUntil atomic.Int64
	table           atomic.Pointer[partitioner.Table]
	loads           atomic.Pointer[selector.Loads]
	lastChoices     sync.Map // node to *atomic.Int64, when its backend server was last chosen in a shared pool
	poolChoices     poolChoices
	peers           sync.Map // address to *dispatcher.Peer
	retryBudget     *retryBudget
	quota           *quota

	// lastWriteSent is when the last write of the table's object was sent; renewals counts
	// the writes that changed only its status. Only the goroutine that runs coordinate
	// uses them.
	lastWriteSent timer.Instant
	renewals      int

	// rejections are the objects in the store that cannot be used.
	rejections rejections

	// searchBackoff covers the calls that look for the coordinator. Reads of the
	// configuration do not back off: it must be in force within ApplyTimeout.
	searchBackoff storeBackoff

	// lastTakeOver is when this node last tried to take a role that was handed over. Only
	// the goroutine that runs follow uses it.
	lastTakeOver timer.Instant

	// tableMu keeps older tables from replacing newer ones.
	tableMu sync.Mutex

	mu          sync.Mutex
	overseer    *overseer.Overseer
	termStarted chan struct{} // closed, and replaced, when this node becomes the coordinator
	// tableName and revision are of the table's object, as last known to this coordinator,
	// and tableEra is the store's era in which its term may write it.
	tableName      string
	revision       uint64
	tableEra       uint64
	changed        chan struct{}
	started        timer.Instant
	lastContact    timer.Instant // time of the last reply from a coordinator
	lastStamp      timer.Instant
	lastStampEpoch uint64
	highestEpoch   uint64 // the highest epoch that this node has followed
	desired        desiredState
	// freshReplyAt is when the last reply said that the coordinator had just read the
	// store; zero if the last reply did not say so.
	freshReplyAt timer.Instant
}

// NewParticipant returns a participant for a node. Attach must be called before Run.
func NewParticipant(self partitioner.Member, incarnation uint64, store Store, layout StoreLayout, bounds Bounds,
	timers *timer.Service, g *granter.Granter, newPeer func(address string) *dispatcher.Peer, logger zerolog.Logger,
) *Participant {
	p := &Participant{
		self: self, incarnation: incarnation, store: store, layout: layout, timers: timers,
		granter: g, newPeer: newPeer, logger: logger, heartbeatNow: make(chan struct{}, 1), changed: make(chan struct{}),
		grantsDue: make(chan struct{}, 1), staleReply: make(chan struct{}, 1), termStarted: make(chan struct{}),
		started: timers.Now(), lastContact: timers.Now(), retryBudget: newRetryBudget(bounds, timers),
	}
	p.bounds.Store(&bounds)
	p.quota = newQuota(p, bounds)
	empty := make(map[string]bool)
	p.zonesOut.Store(&empty)
	p.freshReplyAt = timers.Now().Add(firstReadDelay - bounds.freshness())
	loads := make(selector.Loads)
	p.loads.Store(&loads)
	return p
}

// Attach sets the forwarder to the local backend server and the client for outgoing calls.
func (p *Participant) Attach(f *forwarder.Forwarder, client Client) {
	p.forwarder, p.client = f, client
}

// SetBounds applies changed settings.
func (p *Participant) SetBounds(b Bounds) {
	p.bounds.Store(&b)
	p.retryBudget.setBounds(b)
	p.quota.setBounds(b)
}

// Configuration returns the configuration in force, or nil before the first.
func (p *Participant) Configuration() *descriptor.Configuration { return p.configuration.Load() }

// ZoneOut reports whether operators took this instance's zone out of service. Requests
// with keys are still served for a while, so that the keys can move, but not if the zone
// was already out when the node first read the list: the node cannot know since when.
func (p *Participant) ZoneOut(divided bool) bool {
	if !(*p.zonesOut.Load())[p.self.Zone] {
		return false
	}
	return !divided || p.timers.Now() > timer.Instant(p.keysServedUntil.Load())
}

// TriggerHeartbeat sends a heartbeat to the coordinator without delay.
func (p *Participant) TriggerHeartbeat() { wake(p.heartbeatNow) }

// wake wakes the goroutine that receives from c, if it waits or the next time that it does.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Ready reports whether the node accepts new requests from customers.
func (p *Participant) Ready() bool { return p.Configuration() != nil && !p.stopping.Load() }

// Stop makes the node not ready and announces the stop in its heartbeats.
func (p *Participant) Stop() { p.stopping.Store(true) }

// Run takes part in the deployment until ctx is done.
func (p *Participant) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.pollStore(ctx) })
	g.Go(func() error { return p.follow(ctx) })
	g.Go(func() error { return p.runInTerms(ctx, planInterval, p.coordinate) })
	g.Go(func() error { return p.runInTerms(ctx, announceInterval, p.announce) })
	g.Go(func() error { return p.updateGrants(ctx) })
	return g.Wait()
}

// applyConfiguration puts a configuration in force unless an equal or newer one already
// is.
func (p *Participant) applyConfiguration(cfg *descriptor.Configuration, from string) {
	for {
		old := p.configuration.Load()
		if old != nil && old.Version >= cfg.Version {
			return
		}
		if p.configuration.CompareAndSwap(old, cfg) {
			p.logger.Info().Uint64("version", cfg.Version).Int("routes", len(cfg.Routes)).Str("from", from).Msg("configuration in force")
			p.forwarder.ApplyConfiguration()
			p.quota.applyConfiguration(cfg)
			p.mu.Lock()
			p.notify()
			p.mu.Unlock()
			return
		}
	}
}

// applyTable applies a table unless an equal or newer one is known.
func (p *Participant) applyTable(t *partitioner.Table) {
	p.tableMu.Lock()
	defer p.tableMu.Unlock()
	old := p.table.Load()
	if !t.Newer(old) {
		return
	}
	if m, ok := t.Member(p.self.ID); ok {
		p.forwarder.RecallServer(m.Server, old == nil)
	}
	p.table.Store(t)
	p.granter.SetTable(t, p.timers.Now())
	p.quota.applyTable(t)
	p.forwarder.Quarantine().ApplyTable(t.Suspects)
	wake(p.grantsDue)
	p.retryBudget.setNodes(len(t.Members))
	p.logger.Info().Uint64("epoch", t.Epoch).Uint64("version", t.Version).Str("coordinator", string(t.Coordinator)).
		Int("members", len(t.Members)).Int("owned", len(t.Owned(p.self.ID))).Msg("table")
}

func (p *Participant) peer(address string) *dispatcher.Peer {
	if peer, ok := p.peers.Load(address); ok {
		return peer.(*dispatcher.Peer)
	}
	peer, _ := p.peers.LoadOrStore(address, p.newPeer(address))
	return peer.(*dispatcher.Peer)
}
