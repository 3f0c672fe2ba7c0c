package coordinator

import (
	"sort"
	"time"

	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
)

// confirmedAt returns the latest instant as of which a majority of the voters
// has confirmed that it knows of no newer coordinator.
func (c *Coordinator) confirmedAt(now timer.Instant) timer.Instant {
	voters := c.table.Voters()
	echoes := make([]timer.Instant, 0, len(voters))
	for _, v := range voters {
		if v == c.self.ID() {
			echoes = append(echoes, now)
			continue
		}
		echoes = append(echoes, c.peer(v).confirmedAt)
	}
	sort.Slice(echoes, func(i, j int) bool { return echoes[i] > echoes[j] })
	return echoes[len(voters)/2]
}

// authorityEnd returns the instant at which the coordinator's authority ends.
func (c *Coordinator) authorityEnd(now timer.Instant) timer.Instant {
	return c.confirmedAt(now).Add(holder.AuthorityDuration)
}

// leaseEnded reports whether a node's lease has ended and no newer coordinator
// can have renewed it, because a majority has confirmed this one after the end.
// Without the confirmation, a partitioned coordinator could reassign slices
// whose owners got a new lease from its successor.
func (c *Coordinator) leaseEnded(p *peer, now timer.Instant) bool {
	if mutator.Active(mutator.StaleConfirmation) {
		return !now.Before(p.leaseEnd)
	}
	return !c.confirmedAt(now).Before(p.leaseEnd)
}

// leaseDuration returns the duration of a lease given now, or zero if none can
// be given.
func (c *Coordinator) leaseDuration(now timer.Instant) time.Duration {
	left := min(holder.AuthorityDuration, c.authorityEnd(now).Sub(now))
	return max(0, left).Truncate(time.Millisecond)
}

// mayBeLeased reports whether a lease from an older epoch may still be valid. It
// does not distinguish slices.
func (c *Coordinator) mayBeLeased(string, uint64) bool { return c.resigned || !c.ready }

// requestHeartbeats requests heartbeats when a lease or the wait after a
// takeover has ended and only a confirmation from after that end is missing, so
// that the coordinator need not wait for the next regular heartbeats.
func (c *Coordinator) requestHeartbeats(now timer.Instant) {
	latest := c.readyAt
	for _, m := range c.table.Members() {
		if end := c.peer(m.ID()).leaseEnd; !m.Lost() && end <= now {
			latest = max(latest, end)
		}
	}
	if now.Before(latest) || !c.confirmedAt(now).Before(latest) || now.Sub(c.heartbeatsRequested) < heartbeatRequestInterval {
		return
	}
	c.requestAllHeartbeats(now)
}

// requestAllHeartbeats requests a heartbeat from each node.
func (c *Coordinator) requestAllHeartbeats(now timer.Instant) {
	c.heartbeatsRequested = now
	for _, m := range c.table.Members() {
		if m.Lost() || m.ID() == c.self.ID() {
			continue
		}
		r := c.reply(now)
		r.Ask = true
		c.send(m.ID(), r)
	}
}
