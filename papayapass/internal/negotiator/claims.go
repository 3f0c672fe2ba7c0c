package negotiator

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/coordinator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

func (n *Negotiator) handleClaim(m *wirepb.Claim, now timer.Instant) {
	r := n.holder.HandleClaim(m, now)
	if r.GetJoined() {
		n.yieldCandidacy(m, now)
	}
	if r.GetJoined() && !m.GetProbe() && assigner.NodeID(m.GetCandidate()) != n.self.ID() {
		n.stepDown(now, "joined a newer epoch")
	}
	n.actions = append(n.actions, Reply{message: r})
}

// yieldCandidacy drops this node's candidacy in favour of another candidate that
// it has joined or would join. Of two probing candidates the one with the lower
// name continues, so that they do not both drop out.
func (n *Negotiator) yieldCandidacy(m *wirepb.Claim, now timer.Instant) {
	candidate := assigner.NodeID(m.GetCandidate())
	if candidate == n.self.ID() || m.GetProbe() && n.candidacy != nil && n.self.ID() < candidate {
		return
	}
	n.noClaimBefore = now.Add(coordinator.ClaimTimeout)
	n.candidacy = nil
}

func (n *Negotiator) handleClaimReply(m *wirepb.ClaimReply, now timer.Instant) {
	n.holder.RecordVoterEpoch(assigner.NodeID(m.GetNode()), assigner.Epoch(m.GetHighestEpoch()), m.GetQuiet(), now)
	n.followEpoch(now)
	if n.candidacy == nil || !n.candidacy.HandleReply(m) {
		return
	}
	won := n.candidacy
	n.candidacy = nil
	if won.Probe() {
		n.claim(won.Epoch(), now)
		return
	}
	if n.holder.Epoch() != won.Epoch() {
		return
	}
	n.coordinator = coordinator.NewSuccessor(won, now)
	n.coordinator.SetConfiguration(n.configuration)
	n.log("took the coordinator's role", "", won.Epoch())
}

func (n *Negotiator) tickCandidacy(now timer.Instant) {
	switch {
	case n.candidacy == nil:
	case n.candidacy.Expired(now):
		n.candidacy = nil
		n.holder.Postpone(now)
	case n.candidacy.ResendDue(now):
		n.sendClaim()
	}
}

// mayClaim reports whether the node may claim the coordinator's role: it is not
// already a candidate or coordinator, is not leaving, and has not just agreed
// to join another candidate.
func (n *Negotiator) mayClaim(now timer.Instant) bool {
	return n.candidacy == nil && n.coordinator == nil && !n.leaving && !now.Before(n.noClaimBefore)
}

// probe asks the voters whether they would join an epoch of this node.
func (n *Negotiator) probe(now timer.Instant, wall time.Time) {
	epoch := max(n.holder.Epoch()+1, assigner.Epoch(wall.Unix()))
	n.startCandidacy(coordinator.NewProbe(n.self, epoch, n.holder.Table(), now), now)
}

// claim claims the coordinator's role in a new epoch.
func (n *Negotiator) claim(epoch assigner.Epoch, now timer.Instant) {
	n.log("claiming the coordinator's role", "", epoch)
	n.startCandidacy(coordinator.NewCandidacy(n.self, epoch, n.holder.Table(), now), now)
}

// startCandidacy sends a candidacy's claim to all voters, including this node.
func (n *Negotiator) startCandidacy(c *coordinator.Candidacy, now timer.Instant) {
	n.candidacy = c
	own := n.holder.HandleClaim(c.Claim(), now)
	n.sendClaim()
	n.handleClaimReply(own, now)
}

// sendClaim sends the claim to the voters that have not joined yet.
func (n *Negotiator) sendClaim() {
	m := n.candidacy.Claim()
	for _, v := range n.candidacy.PendingVoters() {
		if member, ok := n.holder.Table().Member(v); ok && v != n.self.ID() {
			n.actions = append(n.actions, SendAddress{address: member.Address(), message: m})
		}
	}
}
