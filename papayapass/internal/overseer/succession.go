package overseer

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
)

// isolationTimeout is the silence after which a node that reaches nobody takes the role:
// longer than processes take to come back that were all killed at once.
const isolationTimeout = 3 * time.Second

// ElectionView is what a node that misses its coordinator has read and been told.
type ElectionView struct {
	Self        partitioner.NodeID
	Incarnation uint64
	// Stored is the table in the store, and Known the one that the node had before.
	Stored, Known *partitioner.Table
	// CannotWrite says that the coordinator itself told that its store is away.
	CannotWrite bool
	// Silent is the time since the coordinator was heard.
	Silent time.Duration
	// Others, Answered and Hear count the other members but the coordinator: all,
	// those that answered, and those of them that hear it. Probed is false while
	// they have not been asked.
	Probed                      bool
	Others, Answered, InContact int
}

// Step is what the node does next.
type Step string

// Steps.
const (
	// StepFollow means that the stored table's coordinator is followed.
	StepFollow Step = "follow"
	// StepAdopt means that this node's own write took effect: its term begins.
	StepAdopt Step = "adopt"
	// StepClaim means that the node tries to take the role by a conditional write.
	StepClaim Step = "claim"
	// StepProbe means that the other members are asked whether they hear the coordinator.
	StepProbe Step = "ask"
)

// NextStep returns what a node does that has looked into the store. Taking the role is
// always safe, as leases of earlier terms are honoured; but nodes that only lost
// their own way to the coordinator must not take it from each other in turns.
func (s ElectionView) NextStep() Step {
	switch {
	case s.Stored.Coordinator == s.Self && s.Stored.Incarnation == s.Incarnation:
		return StepAdopt
	case s.Stored.Coordinator == s.Self:
		return StepClaim
	case s.Known == nil || s.Stored.Epoch > s.Known.Epoch:
		return StepFollow
	case s.CannotWrite:
		return StepClaim
	case !s.Probed:
		return StepProbe
	case s.Answered == 0 && s.Others > 0:
		if s.Silent > isolationTimeout {
			return StepClaim
		}
		return StepFollow
	case 2*s.InContact <= s.Answered:
		return StepClaim
	default:
		return StepFollow
	}
}

// ClaimTable returns the table with which a node takes the coordinator's role.
func ClaimTable(t *partitioner.Table, self partitioner.Member, incarnation uint64) *partitioner.Table {
	next := t.Clone()
	next.Epoch, next.Version, next.Coordinator, next.Incarnation = t.Epoch+1, 1, self.ID, incarnation
	if _, ok := next.Member(self.ID); !ok {
		next.SetMember(self)
	}
	return next
}
