package coordinator

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// peer is the coordinator's state of a node of its cell.
type peer struct {
	incarnation          uint64
	confirmedAt          timer.Instant
	leaseEnd             timer.Instant
	lastContact          timer.Instant
	tableVersion         uint64
	sentVersion          uint64
	votersVersion        uint64
	configurationVersion uint64
	leaving              bool
	restartHeartbeat     *wirepb.Beat
}

// confirm records that a voter echoed a stamp of this coordinator.
func (p *peer) confirm(stamp timer.Instant) { p.confirmedAt = max(p.confirmedAt, stamp) }

// extendLease records that the node may have a lease until an instant.
func (p *peer) extendLease(until timer.Instant) { p.leaseEnd = max(p.leaseEnd, until) }

type loadKey struct {
	pool  string
	start uint64
}

// loadTable holds the reported load of slices, in requests per second.
type loadTable map[loadKey]float64

// Load returns the load of a slice.
func (t loadTable) Load(pool string, start uint64) float64 {
	return t[loadKey{pool: pool, start: start}]
}

const milli = 1000.0

// update records a node's reported loads of the slices that it owns. It ignores
// a former owner, whose report of an idle slice no longer applies.
func (t loadTable) update(table *assigner.Table, id assigner.NodeID, reports []*wirepb.SliceLoad) {
	for _, r := range reports {
		s, ok := table.Lookup(r.GetPool(), r.GetStart())
		if !ok || s.Owner() != id || s.Start() != r.GetStart() {
			continue
		}
		t[loadKey{pool: r.GetPool(), start: r.GetStart()}] = float64(r.GetRateMilli()) / milli
	}
}

// moveBudget limits the moves that only balance load, to avoid ownership churn.
type moveBudget struct {
	left float64
	last timer.Instant
}

// Limits of moves.
const (
	balanceMovesPerMinute = 24
	balanceMovesBurst     = 16
	movesPerTarget        = 8
)

func (b *moveBudget) refill(now timer.Instant) int {
	elapsed := now.Sub(b.last)
	b.last = now
	b.left = min(balanceMovesBurst, b.left+float64(elapsed)*balanceMovesPerMinute/float64(time.Minute))
	return int(b.left)
}

func (b *moveBudget) spend(moves int) { b.left -= float64(moves) }

// PeerStatus is the state of a node for the status page.
type PeerStatus struct {
	id            assigner.NodeID
	configuration uint64
	tableVersion  uint64
	silence       time.Duration
}

// ID returns the node's name.
func (s PeerStatus) ID() assigner.NodeID { return s.id }

// Configuration returns the version of the configuration in force at the node.
func (s PeerStatus) Configuration() uint64 { return s.configuration }

// TableVersion returns the version of the table in force at the node.
func (s PeerStatus) TableVersion() uint64 { return s.tableVersion }

// Silence returns the time since the node's last heartbeat.
func (s PeerStatus) Silence() time.Duration { return s.silence }
