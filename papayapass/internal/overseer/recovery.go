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
	// replaced is the blank table that the recovered one replaces, or nil.
	replaced *partitioner.Table
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

// Replace sets the blank table that the recovered one replaces.
func (r *Recovery) Replace(blank *partitioner.Table) { r.replaced = blank }

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
	if r.replaced != nil {
		next.Epoch, next.LastToken = max(next.Epoch, r.replaced.Epoch+1), max(next.LastToken, r.replaced.LastToken)
	}
	next.FormerCoordinator = ""
	if next.Founding == partitioner.FoundedFirst && !r.isInformed() {
		next.Founding = partitioner.FoundedUncertain
	}
	for _, m := range next.Members {
		if !r.heard[m.ID] && !mutator.Active(mutator.ForgetUnheard) && !slices.Contains(next.Unheard, m.ID) {
			next.Unheard = append(next.Unheard, m.ID)
		}
	}
	return next
}

// isInformed reports whether a member with a lease has answered. It knows all members that may
// hold keys, or those that do.
func (r *Recovery) isInformed() bool {
	for _, hasLease := range r.heard {
		if hasLease {
			return true
		}
	}
	return false
}

// FirstTable returns the table that a node creates if the store has none and it knows none; isFirst
// is set if nobody can hold keys by a table that the store has lost. The epoch and tokens are above
// those of earlier eras.
func FirstTable(self partitioner.Member, incarnation, era, minEras uint64, isFirst bool) *partitioner.Table {
	first := &partitioner.Table{Coordinator: self.ID, Founding: partitioner.FoundedBlank}
	if isFirst || mutator.Active(mutator.FoundAtOnce) {
		first.Founding = partitioner.FoundedFirst
	}
	first.SetMember(self)
	return NewRecovery(self.ID, true, first, nil).Table(self, incarnation, era, minEras)
}

// founding returns how the table counts as created from now on. After a lease, all members of a
// first one have been heard, and holds of members that another does not name have ended: their
// coordinator cannot have written since, and echoes of a majority cannot have extended its authority
// unless that majority reaches neither the store nor any member of this term.
func (o *Overseer) founding(now timer.Instant) partitioner.Founding {
	if o.termStart.Add(AuthorityDuration + leaseDrift).Before(now) {
		return ""
	}
	return o.table.Founding
}

// isRecovering reports whether members that were not heard after a restore of the store may
// still hold keys by a table that was lost.
func (o *Overseer) isRecovering(now timer.Instant) bool {
	return slices.ContainsFunc(o.table.Unheard, func(id partitioner.NodeID) bool {
		return !o.earlierLeaseEnd(id).Before(now)
	})
}
