// Package holder decides for one node which slices it may serve and which
// coordinator it follows. It manages the lease of the local backend server. As
// a voter, it confirms to one coordinator at a time that it knows of no newer
// one. It does no I/O: messages and times go in, messages come out.
package holder

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Times of the lease protocol; docs/design/ownership.md derives them.
const (
	// HeartbeatInterval is the time between two heartbeats of a node.
	HeartbeatInterval = 400 * time.Millisecond
	// AuthorityDuration is how long a voter's confirmation is valid, counted
	// from when the coordinator sent the stamp that the voter echoes. No lease
	// outlives it. It exceeds CoordinatorTimeout plus two HeartbeatInterval, so
	// that leases last until the successor of a failed coordinator renews them.
	AuthorityDuration = 2 * time.Second
	// CoordinatorTimeout is the silence of a coordinator after which the first
	// node in the order of succession claims the role.
	CoordinatorTimeout = 850 * time.Millisecond
	// ClaimStagger is added for each further place in the order of succession.
	ClaimStagger = 150 * time.Millisecond
	// StickinessDuration is how long after its last contact with the
	// coordinator a voter rejects other candidates, so that a partitioned
	// candidate cannot disrupt the cell. It is at most CoordinatorTimeout
	// minus HeartbeatInterval; otherwise the voters that got the last replies
	// would reject the first candidate.
	StickinessDuration = 450 * time.Millisecond
)

// clockRateDivisor is the inverse of the maximum difference between two clock
// rates: one clock may run up to 1/50 faster than another.
const clockRateDivisor = 50

// WithClockMargin extends a duration by the maximum difference between clock
// rates. The coordinator waits this long for a lease that it gave to end.
func WithClockMargin(d time.Duration) time.Duration { return d + d/clockRateDivisor }

// maxUnansweredHeartbeats is how many heartbeats may wait for a reply at once.
const maxUnansweredHeartbeats = 32

// Identity identifies one start of a node.
type Identity struct {
	cell          string
	id            assigner.NodeID
	address       string
	statusAddress string
	zone          string
	incarnation   uint64
}

// NewIdentity returns the identity of one start of a node.
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

// Incarnation returns the number of the node's current start.
func (i Identity) Incarnation() uint64 { return i.incarnation }

// Member returns the node as a member of its cell.
func (i Identity) Member() assigner.Member {
	return assigner.NewMember(i.id, i.address, i.statusAddress, i.zone, i.incarnation)
}

// sliceKey identifies a slice.
type sliceKey struct {
	pool  string
	start uint64
}

// Holder is the lease and voter state of one node.
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

// NewHolder returns the state of a node that has just started. It has no lease
// and no memory of earlier starts, and confirms no coordinator until its quiet
// period has ended.
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

// Coordinator returns the coordinator that the node follows, and its address.
func (h *Holder) Coordinator() (assigner.NodeID, string) { return h.coordinator, h.coordinatorAddress }

// Table returns the newest table known to the node, or nil.
func (h *Holder) Table() *assigner.Table { return h.table }

// Revision returns a number that changes whenever the table or the releases
// change.
func (h *Holder) Revision() uint64 { return h.revision }

// LeaseUntil returns the instant at which the lease ends.
func (h *Holder) LeaseUntil() timer.Instant { return h.leaseUntil }

// LoadTable takes the result of reading the table from the platform. After
// that, or once a majority of the voters have reported their epochs, the node
// knows all earlier epochs.
func (h *Holder) LoadTable(t *assigner.Table) {
	h.epochKnown = true
	if t != nil && (h.table == nil || t.Newer(h.table)) && t.Epoch() >= h.epoch {
		h.epoch = t.Epoch()
		h.setTable(t)
		h.follow(t.Coordinator())
	}
}

// CellCreated records that the node has created the cell, so there are no
// earlier epochs or leases.
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

// NewHeartbeat returns the next heartbeat. A lease in its reply counts from
// now, before the heartbeat is sent.
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

// profileKnown reports whether the table already describes the node as it is
// now.
func (h *Holder) profileKnown(self assigner.Member) bool {
	if h.table == nil || h.table.Epoch() != h.epoch {
		return false
	}
	m, ok := h.table.Member(self.ID())
	return ok && m == self
}

// HandleReply handles a coordinator's heartbeat reply or push and reports
// whether the table changed. Only the candidate that won an epoch sends these,
// so a voter that joined another candidate of the same epoch follows the
// winner.
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

// receivedTable returns the table from a message, or nil. A delta that does not
// apply to the current table is dropped; the next heartbeat reports the table
// version to the coordinator.
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

// renewLease renews the lease if the reply belongs to a heartbeat of this
// incarnation and the node's table is at least as new as the one for which the
// lease was given.
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

// LastContact returns the time of the last message from the coordinator.
func (h *Holder) LastContact() timer.Instant { return h.lastContact }
