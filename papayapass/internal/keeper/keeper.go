package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/archiver"
	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/gater"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Sizes and times of the decision thread.
const (
	ringEvents     = 4096
	tickInterval   = 25 * time.Millisecond
	loadInterval   = 2 * time.Second
	controlSilence = 600 * time.Millisecond
	sendTimeout    = 300 * time.Millisecond
)

// Keeper runs the lease protocol of one node.
type Keeper struct {
	self          holder.Identity
	seeds         []string
	timers        *timer.Service
	logger        zerolog.Logger
	archive       *archiver.Archiver
	watcher       *configurationWatcher
	connector     *messenger.Connector
	gates         *gater.Gater
	events        chan event
	writes        chan *assigner.Table
	view          atomic.Pointer[View]
	restriction   assigner.Restriction
	configuration *wirepb.Configuration
	holder        *holder.Holder
	coordinator   *coordinator.Coordinator
	candidacy     *coordinator.Candidacy
	server        assigner.Server
	links         map[assigner.NodeID]*messenger.Link
	dialling      sync.Map
	leaving       bool
	lastBeat      timer.Instant
	lastLoads     timer.Instant
	lastReset     timer.Instant
	rotation      int
	moves         moveLog
}

// NewKeeper returns the keeper of a node. Attach connects it to its peers.
func NewKeeper(self holder.Identity, seeds []string, platform archiver.Platform, watch WatchPlatform, timers *timer.Service, logger zerolog.Logger) *Keeper {
	k := &Keeper{
		self:          self,
		seeds:         seeds,
		timers:        timers,
		logger:        logger,
		archive:       archiver.NewArchiver(platform, self.Cell(), writerName(self)),
		events:        make(chan event, ringEvents),
		writes:        make(chan *assigner.Table, 1),
		restriction:   assigner.NewRestriction(nil, nil),
		configuration: &wirepb.Configuration{},
		holder:        holder.NewHolder(self, timers.Now()),
		links:         make(map[assigner.NodeID]*messenger.Link),
	}
	k.gates = gater.NewGater(func(key gater.Key) { k.post(drainedEvent{key: key}) })
	k.watcher = newConfigurationWatcher(watch, k)
	k.publish(true)
	return k
}

func writerName(self holder.Identity) string {
	return string(self.ID()) + "-" + time.Unix(0, int64(self.Incarnation())).UTC().Format("20060102T150405.000000000")
}

// Attach gives the keeper the connector that reaches its peers.
func (k *Keeper) Attach(c *messenger.Connector) { k.connector = c }

// Gates returns the gates that requests pass.
func (k *Keeper) Gates() *gater.Gater { return k.gates }

// View returns the newest view.
func (k *Keeper) View() *View { return k.view.Load() }

// Now returns the current instant.
func (k *Keeper) Now() timer.Instant { return k.timers.Now() }

// Owns returns the slice of a point when this node may serve it now.
func (k *Keeper) Owns(pool string, point uint64) (assigner.Slice, bool) {
	v := k.View()
	if !k.timers.Now().Before(v.leaseUntil) {
		return assigner.Slice{}, false
	}
	s, ok := v.Slice(pool, point)
	return s, ok && s.Owner() == v.self && s.Next() == ""
}

// Receive takes a control message of a peer.
func (k *Keeper) Receive(l *messenger.Link, m proto.Message) {
	k.post(receivedEvent{link: l, message: m})
}

// SetServer tells the keeper of the backend server beside the node.
func (k *Keeper) SetServer(s assigner.Server) { k.post(serverEvent{server: s}) }

// Leave starts the handing over of all slices and of the coordinator's role.
// Left tells when it is over.
func (k *Keeper) Leave() { k.post(leaveEvent{}) }

// Left says whether the node owns no slice any more and the others know that it
// leaves.
func (k *Keeper) Left() bool {
	v := k.View()
	if v.table == nil {
		return true
	}
	m, ok := v.table.Member(v.self)
	if ok && m.Server().State() == assigner.ServerUp {
		return false
	}
	for _, p := range v.table.Pools() {
		for i := range p.Len() {
			if p.At(i).Owner() == v.self {
				return false
			}
		}
	}
	return true
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

// post puts an event on the ring; a full ring drops it, as a network would.
func (k *Keeper) post(e event) {
	select {
	case k.events <- e:
	default:
		k.logger.Warn().Msg("event ring is full, event dropped")
	}
}

// Run serves the protocol until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.decide(ctx) })
	g.Go(func() error { return k.store(ctx) })
	g.Go(func() error { return k.start(ctx) })
	g.Go(func() error { return k.watcher.run(ctx) })
	return g.Wait()
}

// decide is the thread that owns all state of the protocol.
func (k *Keeper) decide(ctx context.Context) error {
	tick := k.timers.Subscribe(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-k.events:
			k.handle(ctx, e)
		case <-tick.C():
			k.tick(ctx)
		}
		k.act(ctx)
	}
}

func (k *Keeper) handle(ctx context.Context, e event) {
	switch e := e.(type) {
	case receivedEvent:
		k.receive(e.link, e.message)
	case storedEvent:
		if k.coordinator != nil {
			k.coordinator.Stored(e.table, e.result, k.timers.Now())
		}
	case readEvent:
		k.bootstrap(e)
	case configurationEvent:
		k.takeConfiguration(e.configuration)
	case serverEvent:
		k.server = e.server
		k.beat(ctx)
	case drainedEvent:
		k.releaseLeaving(ctx)
	case leaveEvent:
		k.leaving = true
		k.beat(ctx)
		k.handOverRole(ctx)
	case statusEvent:
		e.reply <- k.status()
	}
}

// handOverRole gives the coordinator's role up, so that the next node in the
// order of succession takes it while this one still answers.
func (k *Keeper) handOverRole(ctx context.Context) {
	if k.coordinator == nil || len(k.coordinator.Table().Voters()) == 1 {
		return
	}
	k.coordinator.Abdicate()
	k.act(ctx)
}

func (k *Keeper) status() Status {
	now := k.timers.Now()
	s := Status{
		view:      k.View(),
		quiet:     k.holder.Quiet(now),
		leaseLeft: max(0, k.holder.LeaseUntil().Sub(now)),
		moves:     append([]Move(nil), k.moves.moves...),
	}
	if k.coordinator != nil {
		s.coordinates = true
		s.storeDown = k.coordinator.StoreDown()
		s.peers = k.coordinator.Peers(now)
	}
	return s
}

// bootstrap takes what the platform holds at the node's start.
func (k *Keeper) bootstrap(e readEvent) {
	if !e.found {
		k.holder.Founded(e.table, k.timers.Now())
		k.coordinator = coordinator.Found(k.self, e.table, k.timers.Now())
		k.coordinator.SetConfiguration(k.configuration)
		k.logger.Info().Uint64("epoch", uint64(e.table.Epoch())).Msg("founded the cell")
	} else {
		k.holder.Inform(e.table)
	}
	k.publish(true)
}

func (k *Keeper) receive(l *messenger.Link, m proto.Message) {
	now := k.timers.Now()
	switch m := m.(type) {
	case *wirepb.Beat:
		k.links[assigner.NodeID(m.GetNode())] = l
		if k.coordinator == nil {
			_ = l.SendControl(k.holder.Redirect(now)) // the node asks again
			return
		}
		k.coordinator.Beat(m, now)
	case *wirepb.BeatReply:
		k.takeReply(m, now)
	case *wirepb.Claim:
		k.links[assigner.NodeID(m.GetCandidate())] = l
		r := k.holder.Claim(m, now)
		if r.GetJoined() && assigner.NodeID(m.GetCandidate()) != k.self.ID() {
			k.stepDown("joined a newer epoch")
		}
		_ = l.SendControl(r) // the candidate claims again
	case *wirepb.ClaimReply:
		k.takeClaimReply(m, now)
	}
}

func (k *Keeper) takeReply(m *wirepb.BeatReply, now timer.Instant) {
	if m.GetRedirect() {
		k.holder.Redirected(m)
		return
	}
	before := k.holder.Table()
	epoch := k.holder.Epoch()
	changed := k.holder.Reply(m, now)
	if k.holder.Epoch() != epoch {
		k.candidacy = nil
		if k.coordinator != nil && k.coordinator.Epoch() < k.holder.Epoch() {
			k.stepDown("heard a newer epoch")
		}
	}
	if changed {
		k.moves.compare(before, k.holder.Table(), k.restriction)
	}
	if m.GetConfiguration() != nil {
		k.takeConfiguration(m.GetConfiguration())
	}
	k.publish(changed)
}

// takeConfiguration puts a newer configuration into force and refuses any
// other.
func (k *Keeper) takeConfiguration(cfg *wirepb.Configuration) {
	if cfg.GetVersion() > k.configuration.GetVersion() {
		k.configuration = cfg
		k.restriction = assigner.NewRestriction(cfg.GetZonesOut(), cfg.GetServersOut())
		k.logger.Info().Uint64("version", cfg.GetVersion()).Str("author", cfg.GetAuthor()).Msg("configuration in force")
		k.publish(true)
	}
	if k.coordinator != nil {
		k.coordinator.SetConfiguration(k.configuration)
	}
}

func (k *Keeper) takeClaimReply(m *wirepb.ClaimReply, now timer.Instant) {
	k.holder.HeardOther(assigner.NodeID(m.GetNode()), assigner.Epoch(m.GetHighestEpoch()), m.GetQuiet())
	if k.candidacy == nil || !k.candidacy.Reply(m) {
		return
	}
	won := k.candidacy
	k.candidacy = nil
	if k.holder.Epoch() != won.Epoch() {
		return
	}
	k.coordinator = coordinator.Succeed(won, now)
	k.coordinator.SetConfiguration(k.configuration)
	k.logger.Info().Uint64("epoch", uint64(won.Epoch())).Msg("took the coordinator's role")
}

func (k *Keeper) stepDown(reason string) {
	if k.coordinator == nil {
		return
	}
	k.logger.Info().Str("reason", reason).Uint64("epoch", uint64(k.coordinator.Epoch())).Msg("gave up the coordinator's role")
	k.coordinator = nil
}

func (k *Keeper) tick(ctx context.Context) {
	now := k.timers.Now()
	if k.coordinator != nil {
		k.coordinator.Tick(now)
	}
	if now.Sub(k.lastBeat) >= holder.BeatInterval {
		k.beat(ctx)
	}
	k.resetSilentLink(now)
	if k.candidacy != nil && k.candidacy.Expired(now) {
		k.candidacy = nil
		k.holder.Postpone(now)
	}
	if k.candidacy == nil && k.coordinator == nil && !k.leaving && k.holder.ShouldClaim(now) {
		k.claim(ctx, now)
	}
	k.releaseLeaving(ctx)
}

// claim stands for the coordinator's role in a new epoch. Epochs follow the wall
// clock where they can, so that they grow even when all memory of them is lost.
func (k *Keeper) claim(ctx context.Context, now timer.Instant) {
	epoch := max(k.holder.Epoch()+1, assigner.Epoch(time.Now().Unix()))
	k.candidacy = coordinator.NewCandidacy(k.self, epoch, k.holder.Table(), now)
	m := k.candidacy.Claim()
	k.logger.Info().Uint64("epoch", uint64(epoch)).Msg("claiming the coordinator's role")
	own := k.holder.Claim(m, now)
	for _, v := range k.holder.Table().Voters() {
		if member, ok := k.holder.Table().Member(v); ok && v != k.self.ID() {
			k.sendAddress(ctx, member.Address(), m)
		}
	}
	k.takeClaimReply(own, now)
}

// beat sends a heartbeat to the coordinator.
func (k *Keeper) beat(ctx context.Context) {
	now := k.timers.Now()
	k.lastBeat = now
	b := k.holder.Beat(now)
	b.ConfigurationVersion = k.configuration.GetVersion()
	b.Leaving = k.leaving
	b.Server = assigner.EncodeServer(k.server)
	if now.Sub(k.lastLoads) >= loadInterval {
		b.Loads = k.loads(now.Sub(k.lastLoads))
		k.lastLoads = now
	}
	if k.coordinator != nil {
		k.coordinator.Beat(b, now)
		return
	}
	id, address := k.holder.Coordinator()
	if address != "" && id != k.self.ID() {
		k.sendAddress(ctx, address, b)
	}
	if k.holder.Searching(now) {
		k.search(ctx, b)
	}
}

// search asks other nodes, one at a time, who the coordinator is.
func (k *Keeper) search(ctx context.Context, b *wirepb.Beat) {
	addresses := append([]string(nil), k.seeds...)
	if t := k.holder.Table(); t != nil {
		for _, m := range t.Members() {
			addresses = append(addresses, m.Address())
		}
	}
	if len(addresses) == 0 {
		return
	}
	k.rotation++
	address := addresses[k.rotation%len(addresses)]
	if address != k.self.Address() {
		k.sendAddress(ctx, address, b)
	}
}

const milli = 1000

func (k *Keeper) loads(elapsed time.Duration) []*wirepb.SliceLoad {
	counts := k.gates.TakeCounts()
	out := make([]*wirepb.SliceLoad, 0, len(counts))
	for _, c := range counts {
		rate := float64(c.Count()) * milli / elapsed.Seconds()
		out = append(out, &wirepb.SliceLoad{Pool: c.Key().Pool(), Start: c.Key().Start(), RateMilli: uint32(rate)})
	}
	return out
}

// resetSilentLink closes the link to a coordinator that does not answer, so that
// the next heartbeat opens a fresh one: the link may be dead and the node not.
func (k *Keeper) resetSilentLink(now timer.Instant) {
	if k.coordinator != nil || now.Sub(k.holder.Heard()) < controlSilence || now.Sub(k.lastReset) < controlSilence {
		return
	}
	_, address := k.holder.Coordinator()
	if address == "" {
		return
	}
	k.lastReset = now
	if l := k.connector.Open(address); l != nil {
		k.logger.Warn().Str("peer", l.Peer().GetNode()).Msg("no reply from the coordinator, link closed")
		l.Close()
	}
}

// releaseLeaving closes the slices that are to move away, and releases those in
// which nothing runs any more.
func (k *Keeper) releaseLeaving(ctx context.Context) {
	released := false
	for _, h := range k.holder.Leaving(k.server.State() == assigner.ServerAbsent) {
		key := gater.NewKey(h.GetPool(), h.GetStart())
		if !k.gates.Close(key, assigner.Token(h.GetToken())) {
			continue
		}
		k.holder.Release(h.GetPool(), h.GetStart(), assigner.Token(h.GetToken()))
		released = true
	}
	if released {
		k.beat(ctx)
	}
}

// publish makes the newest state visible to other threads.
func (k *Keeper) publish(changed bool) {
	old := k.view.Load()
	id, _ := k.holder.Coordinator()
	v := &View{
		self:          k.self.ID(),
		epoch:         k.holder.Epoch(),
		coordinator:   id,
		table:         k.holder.Table(),
		leaseUntil:    k.holder.LeaseUntil(),
		configuration: k.configuration,
		restriction:   k.restriction,
	}
	if old == nil || changed {
		v.changed = make(chan struct{})
	} else {
		v.changed = old.changed
	}
	k.view.Store(v)
	if old != nil && changed {
		close(old.changed)
	}
}

// act carries out what the coordinator decided.
func (k *Keeper) act(ctx context.Context) {
	for k.coordinator != nil {
		actions := k.coordinator.Take()
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			k.perform(ctx, a)
		}
	}
}

func (k *Keeper) perform(ctx context.Context, a coordinator.Action) {
	switch a := a.(type) {
	case coordinator.Send:
		k.deliver(ctx, a)
	case coordinator.Store:
		select {
		case k.writes <- a.Table():
		default:
		}
	case coordinator.Resign:
		k.stepDown(a.Reason())
	}
}

// deliver sends a coordinator's message to a node, over the link on which the
// node last spoke.
func (k *Keeper) deliver(ctx context.Context, a coordinator.Send) {
	if a.To() == k.self.ID() {
		if r, ok := a.Message().(*wirepb.BeatReply); ok {
			k.takeReply(r, k.timers.Now())
		}
		return
	}
	if l, ok := k.links[a.To()]; ok {
		if err := l.SendControl(a.Message()); err == nil {
			return
		}
		delete(k.links, a.To())
	}
	if k.coordinator == nil {
		return
	}
	if m, ok := k.coordinator.Table().Member(a.To()); ok {
		k.sendAddress(ctx, m.Address(), a.Message())
	}
}

// sendAddress sends a message to an address. Where no link is open, another
// thread opens one, so that an unreachable peer holds up nobody else.
func (k *Keeper) sendAddress(ctx context.Context, address string, m proto.Message) {
	if l := k.connector.Open(address); l != nil {
		_ = l.SendControl(m) // the protocol repeats what is lost
		return
	}
	if _, busy := k.dialling.LoadOrStore(address, struct{}{}); busy {
		return
	}
	go func() {
		defer k.dialling.Delete(address)
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		l, err := k.connector.Link(ctx, address)
		if err == nil {
			_ = l.SendControl(m) // the protocol repeats what is lost
		}
	}()
}

// store is the thread that writes tables to the platform.
func (k *Keeper) store(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-k.writes:
			k.post(storedEvent{table: t, result: k.archive.Write(ctx, t)})
		}
	}
}

// startRetry is the time between two reads of the cell's object at the start.
const startRetry = 250 * time.Millisecond

// start reads the cell's object, or creates it when this is the first node.
func (k *Keeper) start(ctx context.Context) error {
	tick := k.timers.Subscribe(startRetry)
	defer tick.Stop()
	for {
		done, err := k.readOrFound(ctx)
		if done || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			k.logger.Warn().Err(err).Msg("platform unavailable at start, trying again")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
	}
}

func (k *Keeper) readOrFound(ctx context.Context) (bool, error) {
	t, err := k.archive.Read(ctx)
	if err != nil {
		return false, err
	}
	if t != nil {
		k.post(readEvent{table: t, found: true})
		return true, nil
	}
	first := assigner.NewTable(k.self.Cell(), assigner.Epoch(time.Now().Unix()), k.self.Member())
	switch k.archive.Create(ctx, first) {
	case coordinator.StoreDone:
		k.post(readEvent{table: first})
		return true, nil
	case coordinator.StoreSuperseded:
		return false, nil
	default:
		return false, errors.New("could not create the cell's object")
	}
}
