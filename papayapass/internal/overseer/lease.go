package overseer

import (
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// leaseExpired reports whether no lease of a member can be valid any more, neither of this
// term nor of an earlier one.
func (o *Overseer) leaseExpired(id partitioner.NodeID, now timer.Instant) bool {
	if id == o.self {
		return false
	}
	n, known := o.nodes[id]
	if known && (now.Sub(n.lastHeartbeatAt) <= heartbeatTimeout || now <= n.leaseUntil.Add(leaseDrift)) {
		return false
	}
	if known && mutator.Active(mutator.ForgetEarlierLease) {
		return true
	}
	return o.earlierLeaseEnd(id).Before(now)
}

// earlierLeaseEnd returns when the leases of earlier terms of a member have ended: a lease
// after a majority has joined this term, or a lease and MaxStoreOutage after its start. That the
// member itself has joined proves nothing, since it may have restarted and followed the former
// coordinator again.
func (o *Overseer) earlierLeaseEnd(id partitioner.NodeID) timer.Instant {
	lease := AuthorityDuration + leaseDrift
	if id == o.table.FormerCoordinator {
		lease = OwnLeaseDuration + leaseDrift
	}
	end := o.termStart.Add(MaxStoreOutage + lease)
	if o.majorityJoinedAt > 0 {
		end = min(end, o.majorityJoinedAt.Add(lease))
	}
	return end
}

// formerLeaseEnd returns when the leases of the processes before the present one of a member
// have ended.
func (o *Overseer) formerLeaseEnd(id partitioner.NodeID, n *node) timer.Instant {
	end := n.startedAt.Add(AuthorityDuration + leaseDrift)
	if n.formerLeaseUntil > 0 {
		end = min(end, max(n.formerLeaseUntil.Add(leaseDrift), o.earlierLeaseEnd(id)))
	}
	return end
}
