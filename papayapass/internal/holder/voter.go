package holder

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Quiet reports whether the node may not yet confirm a coordinator. What it
// confirmed before its start has run out by the time that it speaks.
func (h *Holder) Quiet(now timer.Instant) bool {
	if mutator.Active(mutator.SkipQuietPeriod) {
		return false
	}
	return !h.epochKnown || now.Sub(h.startedAt) < WithClockMargin(AuthorityDuration)
}

// Redirect returns the answer to a heartbeat that another coordinator should
// get.
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

// CoordinatorStopped notes that the node's own coordinator's role has ended, so that it
// looks for the next coordinator at once.
func (h *Holder) CoordinatorStopped(now timer.Instant) {
	if h.coordinator == h.self.id {
		h.coordinatorAddress = ""
		h.lastContact = min(h.lastContact, now-timer.Instant(StickinessDuration))
	}
}

// HandleRedirect takes another node's word for who the coordinator is. It renews
// nothing.
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

// HandleClaim answers a candidate. A probe is answered without joining. Joining its epoch ends obedience to all earlier
// ones; the lease in hand stays valid until it runs out, and is reported.
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
	loyal := h.lastStamp != 0 && now.Sub(h.lastContact) < StickinessDuration
	return !loyal || h.coordinator == candidate
}

// NeedsCoordinator reports whether the node lacks a coordinator that answers, or still
// has to learn from other voters what it forgot.
func (h *Holder) NeedsCoordinator(now timer.Instant) bool {
	return !h.epochKnown || h.coordinatorAddress == "" || now.Sub(h.lastContact) >= CoordinatorTimeout
}

// ShouldClaim reports whether the coordinator has been silent for so long that
// this node, by its place in the order of succession, claims the role.
func (h *Holder) ShouldClaim(now timer.Instant) bool {
	if h.table == nil || h.Quiet(now) || !h.table.IsVoter(h.self.id) {
		return false
	}
	wait := CoordinatorTimeout + time.Duration(h.successionRank())*ClaimStagger
	return now.Sub(h.lastContact) >= wait
}

// successionRank returns the node's successionRank in the order of succession, counted from the
// voter after the silent coordinator.
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

// Postpone puts the next claim off, after one that got no majority.
func (h *Holder) Postpone(now timer.Instant) {
	h.lastContact = now - timer.Instant(CoordinatorTimeout-ClaimStagger)
}

// RecordVoterEpoch notes that a voter told the node its highest epoch. When most of
// the other voters have, a restarted node knows what it forgot.
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
