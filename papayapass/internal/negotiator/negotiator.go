package negotiator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// loadInterval is the time between two reports of the load of slices.
const loadInterval = 2 * time.Second

// Workload is the work in progress of the node's slices.
type Workload interface {
	// Loads returns the load of each slice over the time since the last call.
	Loads(elapsed time.Duration) []*wirepb.SliceLoad
	// Close lets no more requests of a slice in, and reports whether none runs.
	Close(pool string, start, last uint64, token assigner.Token) bool
	// HotKeys returns the keys with the most load, by their points in the hash
	// space, over the time since the last call.
	HotKeys(elapsed time.Duration) []*wirepb.SliceLoad
}

// Negotiator is the state of one node.
type Negotiator struct {
	self          holder.Identity
	seeds         []string
	workload      Workload
	holder        *holder.Holder
	coordinator   *coordinator.Coordinator
	candidacy     *coordinator.Candidacy
	configuration *wirepb.Configuration
	server        assigner.Server
	leaving       bool
	noClaimBefore timer.Instant
	leaseValid    bool
	lastHeartbeat timer.Instant
	lastLoads     timer.Instant
	reportedLoads loadReport
	searchIndex   int
	actions       []Action
}

// NewNegotiator returns the state of a node that has just started.
func NewNegotiator(self holder.Identity, seeds []string, w Workload, now timer.Instant) *Negotiator {
	return &Negotiator{
		self: self, seeds: seeds, workload: w,
		holder:        holder.NewHolder(self, now),
		configuration: &wirepb.Configuration{},
		reportedLoads: make(loadReport),
	}
}

// Holder returns the node's lease and vote.
func (n *Negotiator) Holder() *holder.Holder { return n.holder }

// Coordinator returns the coordinator's state, or nil when the node has another
// role.
func (n *Negotiator) Coordinator() *coordinator.Coordinator { return n.coordinator }

// Configuration returns the configuration in force.
func (n *Negotiator) Configuration() *wirepb.Configuration { return n.configuration }

// Take returns the actions that are due and forgets them.
func (n *Negotiator) Take() []Action {
	out := n.actions
	n.actions = nil
	return out
}

func (n *Negotiator) log(text, reason string, epoch assigner.Epoch) {
	n.actions = append(n.actions, LogEntry{text: text, reason: reason, epoch: epoch})
}

// Founded makes the node the coordinator of a cell that it has just created.
func (n *Negotiator) Founded(t *assigner.Table, now timer.Instant) {
	n.holder.CellCreated(t, now)
	n.coordinator = coordinator.NewCoordinator(n.self, t, now)
	n.coordinator.SetConfiguration(n.configuration)
	n.log("founded the cell", "", t.Epoch())
}

// Inform takes the table that the platform held at the node's start.
func (n *Negotiator) Inform(t *assigner.Table) { n.holder.LoadTable(t) }

// Receive takes a message of a peer.
func (n *Negotiator) Receive(m proto.Message, now timer.Instant) {
	switch m := m.(type) {
	case *wirepb.Beat:
		n.handleHeartbeat(m, now)
	case *wirepb.BeatReply:
		n.handleHeartbeatReply(m, now)
	case *wirepb.Claim:
		n.handleClaim(m, now)
	case *wirepb.ClaimReply:
		n.handleClaimReply(m, now)
	}
	n.collectActions(now)
}

func (n *Negotiator) handleHeartbeat(m *wirepb.Beat, now timer.Instant) {
	if n.coordinator == nil {
		n.actions = append(n.actions, Reply{message: n.holder.Redirect(now)})
		return
	}
	n.coordinator.HandleHeartbeat(m, now)
}

func (n *Negotiator) handleHeartbeatReply(m *wirepb.BeatReply, now timer.Instant) {
	if m.GetRedirect() {
		n.holder.HandleRedirect(m, now)
		n.followEpoch(now)
		return
	}
	before := n.holder.Table()
	changed := n.holder.HandleReply(m, now)
	n.followEpoch(now)
	if changed {
		n.actions = append(n.actions, TableChanged{before: before, after: n.holder.Table()})
	}
	if m.GetConfiguration() != nil {
		n.applyConfiguration(m.GetConfiguration())
	}
	if m.GetAsk() && n.coordinator == nil {
		n.sendHeartbeat(now)
	}
}

// followEpoch ends roles of epochs that the holder has left behind.
func (n *Negotiator) followEpoch(now timer.Instant) {
	id, _ := n.holder.Coordinator()
	if n.candidacy != nil && !n.candidacy.Probe() && (n.candidacy.Epoch() != n.holder.Epoch() || id != n.self.ID()) {
		n.candidacy = nil
	}
	if n.coordinator != nil && n.coordinator.Epoch() < n.holder.Epoch() {
		n.stepDown(now, "heard of a newer epoch")
	}
}

func (n *Negotiator) stepDown(now timer.Instant, reason string) {
	if n.coordinator == nil {
		return
	}
	n.log("gave up the coordinator's role", reason, n.coordinator.Epoch())
	n.coordinator = nil
	n.holder.CoordinatorStopped(now)
}

// SetConfiguration puts a newer configuration into force and refuses any other.
func (n *Negotiator) SetConfiguration(cfg *wirepb.Configuration, now timer.Instant) {
	n.applyConfiguration(cfg)
	n.collectActions(now)
}

func (n *Negotiator) applyConfiguration(cfg *wirepb.Configuration) {
	if cfg.GetVersion() > n.configuration.GetVersion() {
		n.configuration = cfg
		n.log("configuration in force", cfg.GetAuthor(), n.holder.Epoch())
	}
	if n.coordinator != nil {
		n.coordinator.SetConfiguration(n.configuration)
	}
}

// Stored takes the result of the write of a table.
func (n *Negotiator) Stored(t *assigner.Table, result coordinator.StoreResult, now timer.Instant) {
	if n.coordinator != nil && n.coordinator.Epoch() == t.Epoch() {
		n.coordinator.Stored(t, result, now)
	}
	n.collectActions(now)
}

// SetServer takes the state of the backend server beside the node.
func (n *Negotiator) SetServer(s assigner.Server, now timer.Instant) {
	n.server = s
	n.sendHeartbeat(now)
	n.collectActions(now)
}

// Leave starts the handing over of all slices. A coordinator gives its role up
// when it owns none any more: a successor could move none before older leases
// have run out.
func (n *Negotiator) Leave(now timer.Instant) {
	n.leaving = true
	n.sendHeartbeat(now)
	n.collectActions(now)
}

// Left reports whether nothing depends on the node any more.
func (n *Negotiator) Left() bool {
	return n.leaving && !n.holder.OwnsAny() && n.noRoleToHandOver()
}

// noRoleToHandOver reports whether the node has no role that others wait for.
func (n *Negotiator) noRoleToHandOver() bool {
	return n.coordinator == nil || len(n.coordinator.Table().Voters()) == 1
}

// stepDownWhenLeaving gives the coordinator's role of a leaving node to the next in the order
// of succession.
func (n *Negotiator) stepDownWhenLeaving() {
	if n.leaving && !n.noRoleToHandOver() && !n.holder.OwnsAny() {
		n.coordinator.StepDown()
	}
}

// Tick does what has become due. Epochs follow the wall clock where they can, so
// that they grow even when all memory of them is lost.
func (n *Negotiator) Tick(now timer.Instant, wall time.Time) {
	if n.coordinator != nil {
		n.coordinator.Tick(now)
		n.stepDownWhenLeaving()
	}
	n.collectActions(now)
	if now.Sub(n.lastHeartbeat) >= holder.HeartbeatInterval {
		n.sendHeartbeat(now)
	}
	n.logLeaseChange(now)
	n.tickCandidacy(now)
	if n.mayClaim(now) && n.holder.ShouldClaim(now) {
		n.probe(now, wall)
	}
	n.ReleaseDrained(now)
	n.collectActions(now)
}

// logLeaseChange notes when the lease begins and when it runs out.
func (n *Negotiator) logLeaseChange(now timer.Instant) {
	leased := now.Before(n.holder.LeaseUntil())
	if leased == n.leaseValid {
		return
	}
	n.leaseValid = leased
	if leased {
		n.log("lease begins", "", n.holder.Epoch())
		return
	}
	n.log("lease ran out", "", n.holder.Epoch())
}

// sendHeartbeat sends a heartbeat to the coordinator.
func (n *Negotiator) sendHeartbeat(now timer.Instant) {
	n.lastHeartbeat = now
	b := n.holder.NewHeartbeat(n.self.Member().WithServer(n.server), n.leaving, now)
	b.ConfigurationVersion = n.configuration.GetVersion()
	if now.Sub(n.lastLoads) >= loadInterval {
		b.HotKeys = n.workload.HotKeys(now.Sub(n.lastLoads))
		b.Loads = n.reportedLoads.changes(n.workload.Loads(now.Sub(n.lastLoads)))
		n.lastLoads = now
	}
	if n.coordinator != nil {
		n.coordinator.HandleHeartbeat(b, now)
		return
	}
	id, address := n.holder.Coordinator()
	if address != "" && id != n.self.ID() {
		n.actions = append(n.actions, SendAddress{address: address, message: b})
	}
	if n.holder.NeedsCoordinator(now) {
		n.searchCoordinator(b)
	}
}

// searchCoordinator asks other nodes, one at a time, who the coordinator is.
func (n *Negotiator) searchCoordinator(b *wirepb.Beat) {
	addresses := append([]string(nil), n.seeds...)
	if t := n.holder.Table(); t != nil {
		for _, m := range t.Members() {
			addresses = append(addresses, m.Address())
		}
	}
	if len(addresses) == 0 {
		return
	}
	n.searchIndex++
	address := addresses[n.searchIndex%len(addresses)]
	if address != n.self.Address() {
		n.actions = append(n.actions, SendAddress{address: address, message: b})
	}
}

// ReleaseDrained closes the slices that are to move away, and releases those in
// which nothing runs any more.
func (n *Negotiator) ReleaseDrained(now timer.Instant) {
	released := false
	for _, h := range n.holder.PendingReleases(n.server.State() == assigner.ServerAbsent) {
		last := n.holder.Table().Last(h.GetPool(), h.GetStart())
		if !n.workload.Close(h.GetPool(), h.GetStart(), last, assigner.Token(h.GetToken())) {
			continue
		}
		n.holder.Release(h.GetPool(), h.GetStart(), assigner.Token(h.GetToken()))
		released = true
	}
	if released {
		n.sendHeartbeat(now)
	}
}

// collectCoordinatorActions takes over what the coordinator wants done. Messages of the
// coordinator to its own node are taken at once.
func (n *Negotiator) collectCoordinatorActions(now timer.Instant) {
	for n.coordinator != nil {
		actions := n.coordinator.TakeActions()
		if len(actions) == 0 {
			return
		}
		for _, a := range actions {
			switch a := a.(type) {
			case coordinator.Send:
				n.actions = append(n.actions, SendNode{to: a.To(), message: a.Message()})
			case coordinator.Store:
				n.actions = append(n.actions, Store{table: a.Table()})
			case coordinator.Resign:
				n.stepDown(now, a.Reason())
			}
		}
	}
}

// collectActions collects, and takes the messages to the own node.
func (n *Negotiator) collectActions(now timer.Instant) {
	n.collectCoordinatorActions(now)
	for i := 0; i < len(n.actions); i++ {
		send, ok := n.actions[i].(SendNode)
		if !ok || send.to != n.self.ID() {
			continue
		}
		n.actions = append(n.actions[:i], n.actions[i+1:]...)
		i--
		if r, ok := send.message.(*wirepb.BeatReply); ok {
			n.handleHeartbeatReply(r, now)
			n.collectCoordinatorActions(now)
		}
	}
}
