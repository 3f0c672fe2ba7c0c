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

// loadInterval is the time between two reports of slice loads.
const loadInterval = 2 * time.Second

// Workload tracks the requests in the node's slices.
type Workload interface {
	// Loads returns the load of each slice since the last call.
	Loads(elapsed time.Duration) []*wirepb.SliceLoad
	// Close stops admitting requests to a slice and reports whether none is
	// running.
	Close(pool string, start, last uint64, token assigner.Token) bool
	// HotKeys returns the keys with the highest load since the last call, by
	// their points in the hash space.
	HotKeys(elapsed time.Duration) []*wirepb.SliceLoad
}

// Negotiator is the protocol state of one node.
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

// Holder returns the node's lease and voter state.
func (n *Negotiator) Holder() *holder.Holder { return n.holder }

// Coordinator returns the coordinator's state, or nil if the node is not the
// coordinator.
func (n *Negotiator) Coordinator() *coordinator.Coordinator { return n.coordinator }

// Configuration returns the configuration in force.
func (n *Negotiator) Configuration() *wirepb.Configuration { return n.configuration }

// TakeActions returns the due actions and clears them.
func (n *Negotiator) TakeActions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

func (n *Negotiator) log(text, reason string, epoch assigner.Epoch) {
	n.actions = append(n.actions, LogEntry{text: text, reason: reason, epoch: epoch})
}

// CellCreated makes the node the coordinator of a cell that it has just created.
func (n *Negotiator) CellCreated(t *assigner.Table, now timer.Instant) {
	n.holder.CellCreated(t, now)
	n.coordinator = coordinator.NewCoordinator(n.self, t, now)
	n.coordinator.SetConfiguration(n.configuration)
	n.log("created the cell", "", t.Epoch())
}

// LoadTable takes the table that the node read from the platform at its start.
func (n *Negotiator) LoadTable(t *assigner.Table) { n.holder.LoadTable(t) }

// Receive handles a message from a peer.
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

// followEpoch ends this node's candidacy or coordinator role if the holder has
// joined a newer epoch.
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

// SetConfiguration puts a configuration into force if it is newer, and ignores
// it otherwise.
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

// Stored handles the result of a table write.
func (n *Negotiator) Stored(t *assigner.Table, result coordinator.StoreResult, now timer.Instant) {
	if n.coordinator != nil && n.coordinator.Epoch() == t.Epoch() {
		n.coordinator.Stored(t, result, now)
	}
	n.collectActions(now)
}

// SetServer sets the state of the local backend server.
func (n *Negotiator) SetServer(s assigner.Server, now timer.Instant) {
	n.server = s
	n.sendHeartbeat(now)
	n.collectActions(now)
}

// Leave starts the handover of all slices. A coordinator keeps its role until
// it owns no slices, because a successor could move none until older leases
// have ended.
func (n *Negotiator) Leave(now timer.Instant) {
	n.leaving = true
	n.sendHeartbeat(now)
	n.collectActions(now)
}

// Left reports whether the node is leaving and has handed over its slices and
// role.
func (n *Negotiator) Left() bool {
	return n.leaving && !n.holder.OwnsAny() && n.noRoleToHandOver()
}

// noRoleToHandOver reports whether the node is not the coordinator or is the
// cell's only voter.
func (n *Negotiator) noRoleToHandOver() bool {
	return n.coordinator == nil || len(n.coordinator.Table().Voters()) == 1
}

// stepDownWhenLeaving hands a leaving coordinator's role to the next node in
// the order of succession, once the node owns no slices.
func (n *Negotiator) stepDownWhenLeaving() {
	if n.leaving && !n.noRoleToHandOver() && !n.holder.OwnsAny() {
		n.coordinator.StepDown()
	}
}

// Tick performs everything that has become due. New epochs follow the wall
// clock where possible, so that they increase even if no node or store
// remembers earlier ones.
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

// logLeaseChange logs when the lease starts and when it ends.
func (n *Negotiator) logLeaseChange(now timer.Instant) {
	leased := now.Before(n.holder.LeaseUntil())
	if leased == n.leaseValid {
		return
	}
	n.leaseValid = leased
	if leased {
		n.log("lease started", "", n.holder.Epoch())
		return
	}
	n.log("lease expired", "", n.holder.Epoch())
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

// searchCoordinator asks the other nodes, one per call, for the coordinator.
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

// ReleaseDrained closes the slices that must be released and releases those
// without running requests.
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

// collectCoordinatorActions takes over the actions that the coordinator
// requests.
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

// collectActions takes over the coordinator's actions and handles its messages
// to its own node at once.
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
