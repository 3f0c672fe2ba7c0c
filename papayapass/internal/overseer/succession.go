package overseer

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
)

// isolationTimeout is the time without a coordinator after which a node that reaches no
// other member takes the role. It is longer than the restart of processes that were all
// killed at once.
const isolationTimeout = 3 * time.Second

// ElectionView is what a node knows when it has lost contact with the coordinator.
type ElectionView struct {
	Self        partitioner.NodeID
	Incarnation uint64
	// Stored is the table in the store; Known is the table that the node had before.
	Stored, Known *partitioner.Table
	// StoredIsBlank is set if the table in the store knows no owners, while this node does.
	StoredIsBlank bool
	// CannotWrite is set when the coordinator reported an outage of its store.
	CannotWrite bool
	// Silent is the time since the coordinator's last reply.
	Silent time.Duration
	// Others, Answered and InContact count members other than this node and the
	// coordinator: all, those that answered the probe, and those of them in contact with
	// the coordinator. Probed is set once they have been asked.
	Probed                      bool
	Others, Answered, InContact int
}

// Step is the next step of a node that has lost contact with the coordinator.
type Step string

// Steps that NextStep returns.
const (
	// StepFollow means that the node follows the coordinator of the stored table.
	StepFollow Step = "follow"
	// StepAdopt means that this node's own write took effect and its term starts.
	StepAdopt Step = "adopt"
	// StepClaim means that the node tries to take the role by a conditional write.
	StepClaim Step = "claim"
	// StepProbe means that the node asks the other members whether they are in contact
	// with the coordinator.
	StepProbe Step = "ask"
)

// NextStep returns the next step of a node that has read the store. Taking the role is
// always safe, since leases of earlier terms are honoured. But nodes that have only lost
// their own connection to the coordinator must not take the role from each other
// repeatedly.
func (v ElectionView) NextStep() Step {
	switch {
	case v.Stored.Coordinator == v.Self && v.Stored.Incarnation == v.Incarnation:
		return StepAdopt
	case v.Stored.Coordinator == v.Self:
		return StepClaim
	case v.Known == nil || v.Stored.Epoch > v.Known.Epoch:
		return StepFollow
	case v.CannotWrite || v.StoredIsBlank:
		return StepClaim
	case !v.Probed:
		return StepProbe
	case v.Answered == 0 && v.Others > 0:
		if v.Silent > isolationTimeout {
			return StepClaim
		}
		return StepFollow
	case 2*v.InContact <= v.Answered:
		return StepClaim
	default:
		return StepFollow
	}
}

// ClaimTable returns the table with which a node claims the coordinator's role.
func ClaimTable(t *partitioner.Table, self partitioner.Member, incarnation uint64) *partitioner.Table {
	next := t.Clone()
	next.Epoch, next.Version, next.Coordinator, next.Incarnation = t.Epoch+1, 1, self.ID, incarnation
	next.FormerCoordinator, next.HasOwnLease = "", false
	if t.HasOwnLease {
		next.FormerCoordinator = t.Coordinator
	}
	if _, ok := next.Member(self.ID); !ok {
		next.SetMember(self)
	}
	return next
}
