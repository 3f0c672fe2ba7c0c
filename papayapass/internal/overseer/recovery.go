package overseer

import (
	"slices"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// A store that is restored from an older copy loses the last seconds of epochs and tokens.
// The first table of a new era skips more of both than can be used in that time.
const (
	epochsPerEra = 1 << 16
	tokensPerEra = 1 << 20
)

// Recovery collects what the members know after the store was restored from an older copy.
// Changes that were acknowledged and lost are still acted on, so the first table of the new
// era is based on the newest one that any member knows.
type Recovery struct {
	newest *partitioner.Table
	heard  map[partitioner.NodeID]bool
}

// NewRecovery returns a recovery that starts with the stored table and the one that this
// node knows, or nil; hasLease is set if this node's lease is valid.
func NewRecovery(self partitioner.NodeID, hasLease bool, stored, known *partitioner.Table) *Recovery {
	r := &Recovery{newest: stored, heard: map[partitioner.NodeID]bool{self: hasLease}}
	if known != nil && known.Newer(stored) && !mutator.Active(mutator.RecoverStoredTable) {
		r.newest = known
	}
	return r
}

// Newest returns the newest table found so far.
func (r *Recovery) Newest() *partitioner.Table { return r.newest }

// Missing returns the members of the newest table that are still to be asked.
func (r *Recovery) Missing() []partitioner.Member {
	return slices.DeleteFunc(slices.Clone(r.newest.Members), func(m partitioner.Member) bool {
		_, asked := r.heard[m.ID]
		return asked
	})
}

// Add adds a member's reply to a probe. A member without a lease, since it has restarted or
// was cut off, cannot tell what became of its keys.
func (r *Recovery) Add(id partitioner.NodeID, reply ProbeReply) {
	r.heard[id] = reply.HasLease
	if reply.Table != nil && reply.Table.Newer(r.newest) && !mutator.Active(mutator.RecoverStoredTable) {
		r.newest = reply.Table
	}
}

// Table returns the table with which a node takes the coordinator's role in a new era, or in
// place of one that is lost. Then minEras is not zero, and the epoch and tokens are at least
// those of that many eras.
func (r *Recovery) Table(self partitioner.Member, incarnation, era, minEras uint64) *partitioner.Table {
	next := ClaimTable(r.newest, self, incarnation)
	lost := era - r.newest.Era
	if minEras > 0 {
		lost++
	}
	next.Era = era
	next.Epoch = max(next.Epoch+lost*epochsPerEra, minEras*epochsPerEra+1)
	next.LastToken = max(next.LastToken+lost*tokensPerEra, minEras*tokensPerEra)
	next.FormerCoordinator = ""
	for _, m := range next.Members {
		if !r.heard[m.ID] && !mutator.Active(mutator.ForgetUnheard) && !slices.Contains(next.Unheard, m.ID) {
			next.Unheard = append(next.Unheard, m.ID)
		}
	}
	return next
}

// isRecovering reports whether members that were not heard after a restore of the store may
// still hold keys by a table that was lost.
func (o *Overseer) isRecovering(now timer.Instant) bool {
	return slices.ContainsFunc(o.table.Unheard, func(id partitioner.NodeID) bool {
		return !o.earlierLeaseEnd(id).Before(now)
	})
}
