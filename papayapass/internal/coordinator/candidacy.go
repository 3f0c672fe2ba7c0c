package coordinator

import (
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// ClaimTimeout is how long a candidate waits for a majority.
const ClaimTimeout = 400 * time.Millisecond

// claimInterval is the time after which a claim is resent to voters that have
// not joined.
const claimInterval = 80 * time.Millisecond

// Candidacy collects the replies to a claim.
type Candidacy struct {
	self      holder.Identity
	epoch     assigner.Epoch
	table     *assigner.Table
	startedAt timer.Instant
	lastSent  timer.Instant
	probe     bool
	replies   map[assigner.NodeID]*wirepb.ClaimReply
}

// NewCandidacy returns a claim to an epoch, based on the newest known table.
func NewCandidacy(self holder.Identity, epoch assigner.Epoch, table *assigner.Table, now timer.Instant) *Candidacy {
	return &Candidacy{
		self: self, epoch: epoch, table: table, startedAt: now, lastSent: now,
		replies: make(map[assigner.NodeID]*wirepb.ClaimReply),
	}
}

// NewProbe returns a claim that only asks whether a majority would join.
func NewProbe(self holder.Identity, epoch assigner.Epoch, table *assigner.Table, now timer.Instant) *Candidacy {
	c := NewCandidacy(self, epoch, table, now)
	c.probe = true
	return c
}

// Probe reports whether the claim is only a probe.
func (c *Candidacy) Probe() bool { return c.probe }

// Claim returns the message to the voters.
func (c *Candidacy) Claim() *wirepb.Claim {
	return &wirepb.Claim{
		Epoch:         uint64(c.epoch),
		Candidate:     string(c.self.ID()),
		Address:       c.self.Address(),
		Stamp:         uint64(c.startedAt),
		VotersVersion: c.table.VotersVersion(),
		Cell:          c.self.Cell(),
		Probe:         c.probe,
	}
}

// Epoch returns the claimed epoch.
func (c *Candidacy) Epoch() assigner.Epoch { return c.epoch }

// Expired reports whether the claim has timed out.
func (c *Candidacy) Expired(now timer.Instant) bool { return now.Sub(c.startedAt) >= ClaimTimeout }

// ResendDue reports whether the claim is due to be resent, and if so restarts
// the interval.
func (c *Candidacy) ResendDue(now timer.Instant) bool {
	if now.Sub(c.lastSent) < claimInterval {
		return false
	}
	c.lastSent = now
	return true
}

// PendingVoters returns the voters that have not joined yet.
func (c *Candidacy) PendingVoters() []assigner.NodeID {
	var out []assigner.NodeID
	for _, v := range c.table.Voters() {
		if _, ok := c.replies[v]; !ok {
			out = append(out, v)
		}
	}
	return out
}

// HandleReply records the reply of a voter that has joined and reports whether a
// majority has. Voters in their quiet period do not count.
func (c *Candidacy) HandleReply(r *wirepb.ClaimReply) bool {
	if assigner.Epoch(r.GetEpoch()) != c.epoch || r.GetProbe() != c.probe || !r.GetJoined() {
		return false
	}
	c.replies[assigner.NodeID(r.GetNode())] = r
	joined := 0
	for _, v := range c.table.Voters() {
		if reply, ok := c.replies[v]; ok && !reply.GetQuiet() {
			joined++
		}
	}
	return joined > len(c.table.Voters())/2
}

// newestTable returns the newest of the candidate's own table and those in the
// voters' replies.
func (c *Candidacy) newestTable() *assigner.Table {
	newest := c.table
	for _, r := range c.replies {
		if r.GetTable() == nil {
			continue
		}
		if t := assigner.Decode(r.GetTable()); t.Newer(newest) {
			newest = t
		}
	}
	return newest
}
