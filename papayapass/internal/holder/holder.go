// Package holder decides, for one node, what it may serve and whom it obeys. It
// holds the lease of the backend server beside the node, and is a voter: it
// confirms to one coordinator at a time that it knows of no newer one. It is
// pure: messages and instants go in, messages come out.
package holder

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Times of the lease protocol, as docs/design/ownership.md derives them.
const (
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval = 400 * time.Millisecond
	// AuthorityDuration is how long a voter's confirmation counts, from when the
	// coordinator sent the stamp that it echoes. No lease outlives it. It is
	// above ClaimAfter plus two BeatInterval, so that leases last until a lost
	// coordinator's successor renews them.
	AuthorityDuration = 2 * time.Second
	// CoordinatorTimeout is the silence of a coordinator after which the first in the
	// order of succession claims its role.
	CoordinatorTimeout = 850 * time.Millisecond
	// ClaimStagger is added for each place further down that order.
	ClaimStagger = 150 * time.Millisecond
	// StickinessDuration is how long after hearing its coordinator a voter refuses
	// other candidates, so that one that is cut off cannot disturb the rest. It
	// is below ClaimAfter less BeatInterval, else voters that were answered last
	// would refuse the first candidate.
	StickinessDuration = 450 * time.Millisecond
)

// clockRateDivisor is how much faster one clock may run than another, as a divisor.
const clockRateDivisor = 50

// WithClockMargin lengthens a duration by the largest difference of clock rates. The
// giver of a lease waits this much longer than its holder.
func WithClockMargin(d time.Duration) time.Duration { return d + d/clockRateDivisor }

// maxUnansweredHeartbeats is how many heartbeats may wait for their replies at once.
const maxUnansweredHeartbeats = 32

// Identity is who a node is.
type Identity struct {
	cell          string
	id            assigner.NodeID
	address       string
	statusAddress string
	zone          string
	incarnation   uint64
}

// NewIdentity returns the identity of a node's start.
func NewIdentity(cell string, id assigner.NodeID, address, statusAddress, zone string, incarnation uint64) Identity {
	return Identity{cell: cell, id: id, address: address, statusAddress: statusAddress, zone: zone, incarnation: incarnation}
}

// ID returns the node's name.
func (i Identity) ID() assigner.NodeID { return i.id }

// Cell returns the name of the node's cell.
func (i Identity) Cell() string { return i.cell }

// Address returns the IP address and port for peers.
func (i Identity) Address() string { return i.address }

// Zone returns the availability zone.
func (i Identity) Zone() string { return i.zone }

// Incarnation returns the number of the node's start.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Member returns the node as a member of its cell.
func (i Identity) Member() assigner.Member {
	return assigner.NewMember(i.id, i.address, i.statusAddress, i.zone, i.incarnation)
}

// sliceKey names a slice.
type sliceKey struct {
	pool  string
	start uint64
}

// Holder is the state of one node.
type Holder struct {
	self               Identity
	startedAt          timer.Instant
	epochKnown         bool
	epochReports       map[assigner.NodeID]struct{}
	epoch              assigner.Epoch
	coordinator        assigner.NodeID
	coordinatorAddress string
	lastContact        timer.Instant
	lastStamp          uint64
	table              *assigner.Table
	leaseUntil         timer.Instant
	sequence           uint64
	renewedSequence    uint64
	sentAt             [maxUnansweredHeartbeats]timer.Instant
	released           map[sliceKey]assigner.Token
	olderHoldings      []*wirepb.Holding
	olderLeaseUntil    timer.Instant
	revision           uint64
}

// NewHolder returns a node that has just started: it holds nothing, remembers
// nothing and confirms nobody until it is past its quiet time.
func NewHolder(self Identity, now timer.Instant) *Holder {
	return &Holder{
		self:         self,
		startedAt:    now,
		lastContact:  now,
		epochReports: make(map[assigner.NodeID]struct{}),
		released:     make(map[sliceKey]assigner.Token),
	}
}

// Epoch returns the highest epoch that the node has joined.
func (h *Holder) Epoch() assigner.Epoch { return h.epoch }

// Coordinator returns the node that it obeys, and its address.
func (h *Holder) Coordinator() (assigner.NodeID, string) { return h.coordinator, h.coordinatorAddress }

// Table returns the newest table that the node knows, or nil.
func (h *Holder) Table() *assigner.Table { return h.table }

// Revision returns a number that changes with the table and the releases.
func (h *Holder) Revision() uint64 { return h.revision }

// LeaseUntil returns the instant at which the lease ends.
func (h *Holder) LeaseUntil() timer.Instant { return h.leaseUntil }

// LoadTable gives the node a table read from the platform. A node that knows it,
// or has heard from most voters, knows the epochs that went before.
func (h *Holder) LoadTable(t *assigner.Table) {
	h.epochKnown = true
	if t != nil && (h.table == nil || t.Newer(h.table)) && t.Epoch() >= h.epoch {
		h.epoch = t.Epoch()
		h.setTable(t)
		h.follow(t.Coordinator())
	}
}

// CellCreated tells the node that it created the cell, so nobody came before it.
func (h *Holder) CellCreated(t *assigner.Table, now timer.Instant) {
	h.epochKnown = true
	h.startedAt = now - timer.Instant(WithClockMargin(AuthorityDuration))
	h.epoch = t.Epoch()
	h.setTable(t)
	h.follow(h.self.id)
}

func (h *Holder) follow(coordinator assigner.NodeID) {
	if h.coordinator == coordinator && h.coordinatorAddress != "" {
		return
	}
	if h.coordinator != coordinator {
		h.lastStamp = 0
	}
	h.coordinator = coordinator
	h.coordinatorAddress = ""
	if h.table == nil {
		return
	}
	if m, ok := h.table.Member(coordinator); ok {
		h.coordinatorAddress = m.Address()
	}
}

func (h *Holder) setTable(t *assigner.Table) {
	h.table = t
	h.revision++
	h.dropAssignedHoldings(t)
	for key, token := range h.released {
		s, ok := t.Lookup(key.pool, key.start)
		if !ok || s.Owner() != h.self.id || s.Token() > token {
			delete(h.released, key)
		}
	}
}

// NewHeartbeat returns the next heartbeat of a node in a state. The lease that its reply may bring counts
// from now, before the question is sent.
func (h *Holder) NewHeartbeat(self assigner.Member, leaving bool, now timer.Instant) *wirepb.Beat {
	h.sequence++
	h.sentAt[h.sequence%maxUnansweredHeartbeats] = now
	b := &wirepb.Beat{
		Node:        string(h.self.id),
		Incarnation: h.self.incarnation,
		Epoch:       uint64(h.epoch),
		Sequence:    h.sequence,
		Echo:        h.lastStamp,
		Quiet:       h.Quiet(now),
		Released:    h.releasedHoldings(),
		Holdings:    h.validOlderHoldings(now),
	}
	if h.table != nil && h.table.Epoch() == h.epoch {
		b.TableVersion = h.table.Version()
		b.VotersVersion = h.table.VotersVersion()
	}
	if !h.profileKnown(self) || leaving {
		b.Profile = assigner.EncodeProfile(self, leaving)
	}
	return b
}

// profileKnown reports whether the coordinator's table has a member in the same state.
func (h *Holder) profileKnown(self assigner.Member) bool {
	if h.table == nil || h.table.Epoch() != h.epoch {
		return false
	}
	m, ok := h.table.Member(self.ID())
	return ok && m == self
}

// HandleReply takes a coordinator's reply or push and reports whether the table changed.
// Only the candidate that won an epoch sends any, so a voter that had joined
// another candidate of the epoch follows the winner.
func (h *Holder) HandleReply(r *wirepb.BeatReply, now timer.Instant) bool {
	epoch := assigner.Epoch(r.GetEpoch())
	if epoch < h.epoch || r.GetCoordinator() == "" {
		return false
	}
	if epoch > h.epoch {
		h.keepHoldings(now)
		h.joinEpoch(epoch, assigner.NodeID(r.GetCoordinator()), r.GetCoordinatorAddress())
	}
	h.follow(assigner.NodeID(r.GetCoordinator()))
	if r.GetCoordinatorAddress() != "" {
		h.coordinatorAddress = r.GetCoordinatorAddress()
	}
	h.lastContact = now
	if r.GetResigned() {
		h.lastContact = now - timer.Instant(CoordinatorTimeout)
	}
	h.lastStamp = max(h.lastStamp, r.GetStamp())
	changed := h.updateTable(r)
	h.renewLease(r, now)
	return changed
}

func (h *Holder) joinEpoch(epoch assigner.Epoch, coordinator assigner.NodeID, address string) {
	h.epoch = epoch
	h.coordinator = coordinator
	h.coordinatorAddress = address
	h.lastStamp = 0
}

func (h *Holder) updateTable(r *wirepb.BeatReply) bool {
	t := h.receivedTable(r)
	if t == nil {
		return false
	}
	if h.table != nil && !t.Newer(h.table) {
		return false
	}
	h.setTable(t)
	return true
}

// receivedTable returns the table that a message brings, or nil. A change that does
// not fit the table in hand is dropped; the next heartbeat tells the coordinator.
func (h *Holder) receivedTable(r *wirepb.BeatReply) *assigner.Table {
	if r.GetTable() != nil {
		return assigner.Decode(r.GetTable())
	}
	if r.GetDelta() == nil || h.table == nil {
		return nil
	}
	t, ok := h.table.Apply(r.GetDelta())
	if !ok {
		return nil
	}
	return t
}

// renewLease renews the lease when the reply belongs to a heartbeat of this
// start, and the table is the one that the lease was given for.
func (h *Holder) renewLease(r *wirepb.BeatReply, now timer.Instant) {
	sequence := r.GetSequence()
	if r.GetLeaseMillis() == 0 || r.GetIncarnation() != h.self.incarnation {
		return
	}
	if sequence <= h.renewedSequence || sequence > h.sequence || h.sequence-sequence >= maxUnansweredHeartbeats {
		return
	}
	if h.table == nil || h.table.Epoch() != h.epoch || h.table.Version() < r.GetTableVersion() {
		return
	}
	h.renewedSequence = sequence
	from := h.sentAt[sequence%maxUnansweredHeartbeats]
	if mutator.Active(mutator.LeaseFromReply) {
		from = now
	}
	until := from.Add(time.Duration(r.GetLeaseMillis()) * time.Millisecond)
	h.leaseUntil = max(h.leaseUntil, until)
}

// LastContact returns when the coordinator was last heard.
func (h *Holder) LastContact() timer.Instant { return h.lastContact }
