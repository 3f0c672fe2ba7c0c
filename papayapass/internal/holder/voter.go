package holder

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Quiet reports whether the node is in its quiet period and may not yet confirm
// a coordinator. The period ends once the node knows the earlier epochs and the
// confirmations that it gave before its start have expired.
func (h *Holder) Quiet(now timer.Instant) bool {
	if mutator.Active(mutator.SkipQuietPeriod) {
		return false
	}
	return !h.epochKnown || now.Sub(h.startedAt) < WithClockMargin(AuthorityDuration)
}

// Redirect returns the reply to a heartbeat that should go to another node, the
// coordinator.
func (h *Holder) Redirect(now timer.Instant) *wirepb.BeatReply {
	return &wirepb.BeatReply{
		Redirect:           true,
		From:               string(h.self.id),
		Quiet:              h.Quiet(now),
		Epoch:              uint64(h.epoch),
		Coordinator:        string(h.coordinator),
		CoordinatorAddress: h.coordinatorAddress,
	}
}

// CoordinatorStopped records that this node's own coordinator role has ended,
// so that it looks for the next coordinator at once.
func (h *Holder) CoordinatorStopped(now timer.Instant) {
	if h.coordinator == h.self.id {
		h.coordinatorAddress = ""
		h.lastContact = min(h.lastContact, now-timer.Instant(StickinessDuration))
	}
}

// HandleRedirect takes the coordinator's name from another node. It does not
// count as contact with the coordinator and renews no lease.
func (h *Holder) HandleRedirect(r *wirepb.BeatReply, now timer.Instant) {
	epoch := assigner.Epoch(r.GetEpoch())
	unknown := h.coordinator == "" || h.coordinatorAddress == ""
	if r.GetCoordinator() != "" && (epoch > h.epoch || epoch == h.epoch && unknown) {
		if epoch > h.epoch {
			h.keepHoldings(now)
			h.joinEpoch(epoch, "", "")
		}
		h.coordinator = assigner.NodeID(r.GetCoordinator())
		h.coordinatorAddress = r.GetCoordinatorAddress()
	}
	h.RecordVoterEpoch(assigner.NodeID(r.GetFrom()), epoch, r.GetQuiet(), now)
}

// HandleClaim returns the reply to a candidate's claim. A probe is answered
// without joining. After joining the claimed epoch, the node rejects
// coordinators of earlier ones; its current lease stays valid until it ends, and
// the reply lists the slices under it.
func (h *Holder) HandleClaim(c *wirepb.Claim, now timer.Instant) *wirepb.ClaimReply {
	r := &wirepb.ClaimReply{
		Epoch:        c.GetEpoch(),
		Node:         string(h.self.id),
		Incarnation:  h.self.incarnation,
		Stamp:        c.GetStamp(),
		HighestEpoch: uint64(h.epoch),
		Quiet:        h.Quiet(now),
		Probe:        c.GetProbe(),
	}
	if c.GetProbe() {
		r.Joined = h.acceptsClaim(c, now)
		return r
	}
	if h.table != nil {
		r.Table = assigner.Encode(h.table)
	}
	if !h.acceptsClaim(c, now) {
		return r
	}
	r.Holdings = h.holdings(now)
	h.keepHoldings(now)
	h.joinEpoch(assigner.Epoch(c.GetEpoch()), assigner.NodeID(c.GetCandidate()), c.GetAddress())
	h.lastContact = now
	r.Joined = true
	return r
}

func (h *Holder) acceptsClaim(c *wirepb.Claim, now timer.Instant) bool {
	epoch := assigner.Epoch(c.GetEpoch())
	candidate := assigner.NodeID(c.GetCandidate())
	if epoch == h.epoch && h.coordinator == candidate {
		return true
	}
	if epoch < h.epoch || epoch == h.epoch && !mutator.Active(mutator.AcceptEqualEpoch) {
		return false
	}
	if h.table != nil && c.GetVotersVersion() < h.table.VotersVersion() {
		return false
	}
	inContact := h.lastStamp != 0 && now.Sub(h.lastContact) < StickinessDuration
	return !inContact || h.coordinator == candidate
}

// NeedsCoordinator reports whether the node has no coordinator that replies, or
// must still learn the earlier epochs from other voters.
func (h *Holder) NeedsCoordinator(now timer.Instant) bool {
	return !h.epochKnown || h.coordinatorAddress == "" || now.Sub(h.lastContact) >= CoordinatorTimeout
}

// ShouldClaim reports whether the coordinator has been silent long enough for
// this node, by its rank in the order of succession, to claim the role.
func (h *Holder) ShouldClaim(now timer.Instant) bool {
	if h.table == nil || h.Quiet(now) || !h.table.IsVoter(h.self.id) {
		return false
	}
	wait := CoordinatorTimeout + time.Duration(h.successionRank())*ClaimStagger
	return now.Sub(h.lastContact) >= wait
}

// successionRank returns the node's rank in the order of succession, counted
// from the voter after the silent coordinator.
func (h *Holder) successionRank() int {
	voters := h.table.Voters()
	self, last := 0, -1
	for i, v := range voters {
		if v == h.self.id {
			self = i
		}
		if v == h.coordinator {
			last = i
		}
	}
	return (self - last - 1 + len(voters)) % len(voters)
}

// Postpone delays the next claim after one that got no majority.
func (h *Holder) Postpone(now timer.Instant) {
	h.lastContact = now - timer.Instant(CoordinatorTimeout-ClaimStagger)
}

// RecordVoterEpoch records a voter's highest epoch. Once more than half of the
// voters have reported theirs, a restarted node knows all earlier epochs.
func (h *Holder) RecordVoterEpoch(id assigner.NodeID, epoch assigner.Epoch, quiet bool, now timer.Instant) {
	if epoch > h.epoch {
		h.keepHoldings(now)
		h.joinEpoch(epoch, "", "")
	}
	if quiet || h.table == nil || !h.table.IsVoter(id) || id == h.self.id {
		return
	}
	h.epochReports[id] = struct{}{}
	if len(h.epochReports) > len(h.table.Voters())/2 {
		h.epochKnown = true
	}
}
