package coordinator

import (
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
)

// earlyLossSilence is the time without contact after which the injected fault
// ReassignBeforeLeaseEnd marks a node as lost.
const earlyLossSilence = 300 * time.Millisecond

// markLostMembers marks nodes whose lease has ended as lost and gives their
// slices to the standbys. It publishes the table without waiting for a write,
// because the table in force already names the standbys.
func (c *Coordinator) markLostMembers(now timer.Instant) {
	var lost []assigner.Member
	for _, m := range c.table.Members() {
		if !m.Lost() && m.ID() != c.self.ID() && c.isLost(m.ID(), now) {
			lost = append(lost, m)
		}
	}
	if len(lost) == 0 || !c.ready {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	for _, m := range lost {
		t.SetMember(m.WithLost(true))
		planner.Unassign(m.ID())
	}
	planner.Assign(c.mayBeLeased)
	planner.SetStandbys()
	c.publish(t)
}

func (c *Coordinator) isLost(id assigner.NodeID, now timer.Instant) bool {
	p := c.peer(id)
	if mutator.Active(mutator.ReassignBeforeLeaseEnd) && now.Sub(p.lastContact) > earlyLossSilence {
		return true
	}
	return c.leaseEnded(p, now)
}

// plan assigns slices without an owner, moves slices off ineligible servers,
// and balances load within the move budget.
func (c *Coordinator) plan(now timer.Instant) {
	if c.draft != nil || !c.ready || !c.planDue(now) {
		return
	}
	t := c.table.Clone()
	planner := c.planner(t)
	settled := !now.Before(c.settledAt)
	if settled {
		planner.AddPools()
	}
	planner.Assign(c.mayBeLeased)
	planner.Evacuate(movesPerTarget)
	urgent := planner.Changed()
	if settled && !c.storeDown {
		planner.Merge(c.mayMerge(planner, now))
		planner.Fill(movesPerTarget)
		c.budget.spend(planner.Balance(c.budget.refill(now)))
	}
	planner.SetStandbys()
	if !planner.Changed() {
		return
	}
	if c.storeDown {
		if urgent {
			c.publish(t)
		}
		return
	}
	c.propose(t)
}

// planDue reports whether the table has changed since it was last planned, or
// planInterval has passed, so that loads and budget may have changed.
func (c *Coordinator) planDue(now timer.Instant) bool {
	if c.plannedTable == c.table && now.Sub(c.plannedAt) < planInterval {
		return false
	}
	c.plannedTable, c.plannedAt = c.table, now
	return true
}

// propose schedules a changed table to be written; it comes into force after
// the write succeeds.
func (c *Coordinator) propose(t *assigner.Table) {
	c.assignVersion(t)
	c.draft = t
}

// changeVoters adds or removes one voter at a time, after a majority has
// acknowledged the current voters, and then removes departed members other than
// voters. Majorities of consecutive voter sets always share a voter.
func (c *Coordinator) changeVoters(now timer.Instant) {
	if c.draft != nil || c.storeDown || !c.votersSettled() {
		return
	}
	voters := c.nextVoters(now)
	if voters == nil {
		return
	}
	t := c.table.Clone()
	t.SetVoters(c.epoch, voters)
	for _, m := range c.table.Members() {
		if c.removable(m, now) && !slices.Contains(voters, m.ID()) {
			t.RemoveMember(m.ID())
			delete(c.peers, m.ID())
		}
	}
	c.propose(t)
}

func (c *Coordinator) votersSettled() bool {
	acknowledged := 0
	for _, v := range c.table.Voters() {
		if v == c.self.ID() || c.peer(v).votersVersion == c.table.VotersVersion() {
			acknowledged++
		}
	}
	return acknowledged > len(c.table.Voters())/2
}

// nextVoters returns the voters after the next change, or nil if there is none.
func (c *Coordinator) nextVoters(now timer.Instant) []assigner.NodeID {
	voters := c.table.Voters()
	for _, m := range c.table.Members() {
		if c.table.IsVoter(m.ID()) && c.removable(m, now) {
			return slices.DeleteFunc(slices.Clone(voters), func(id assigner.NodeID) bool { return id == m.ID() })
		}
	}
	if len(voters) >= MaxVoters {
		return nil
	}
	for _, m := range c.table.Members() {
		if !c.table.IsVoter(m.ID()) && !m.Lost() && c.confirms(m.ID(), now) {
			return append(slices.Clone(voters), m.ID())
		}
	}
	return nil
}

// confirms reports whether a node currently confirms this coordinator. One that
// does not must not become a voter, because the majority might depend on it.
func (c *Coordinator) confirms(id assigner.NodeID, now timer.Instant) bool {
	return id == c.self.ID() || now.Sub(c.peer(id).confirmedAt) < contactFreshness
}

func (c *Coordinator) removable(m assigner.Member, now timer.Instant) bool {
	p := c.peer(m.ID())
	if p.leaving && m.Lost() {
		return true
	}
	return m.Lost() && now.Sub(p.lastContact) >= VoterRetention
}

// requestWrite requests a write when the stored table is out of date.
func (c *Coordinator) requestWrite(now timer.Instant) {
	if c.writing || now.Before(c.nextWrite) {
		return
	}
	t := c.table
	if c.draft != nil {
		t = c.draft
	}
	if t.Version() <= c.storedVersion {
		return
	}
	c.writing = true
	c.actions = append(c.actions, Store{table: t})
}

// StoreResult is the result of a write to the platform.
type StoreResult int

// Results of a write.
const (
	// StoreDone means that the table is stored.
	StoreDone StoreResult = iota
	// StoreUnknown means that the write failed or is in doubt, for example
	// because the platform responded neither to it nor to reading the table back.
	StoreUnknown
	// StoreSuperseded means that another coordinator's table, usually of a
	// later epoch, is stored.
	StoreSuperseded
)

// Stored handles the result of a table write.
func (c *Coordinator) Stored(t *assigner.Table, result StoreResult, now timer.Instant) {
	c.writing = false
	switch result {
	case StoreDone:
		c.storeDown = false
		c.storedVersion = max(c.storedVersion, t.Version())
		c.installDraft(t)
	case StoreUnknown:
		c.storeDown = true
		c.draft = nil
		c.nextWrite = now.Add(storeRetryInterval)
	case StoreSuperseded:
		c.resign("another coordinator's table is stored")
	}
}

// installDraft puts a stored draft into force unless the table has changed
// since.
func (c *Coordinator) installDraft(t *assigner.Table) {
	if c.draft == t {
		c.install(t)
	}
}
