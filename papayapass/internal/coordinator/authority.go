package coordinator

import (
	"sort"
	"time"

	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/timer"
)

// confirmedAt returns the newest instant as of which a majority of the voters has
// confirmedAt that it knows of no newer coordinator.
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

// leaseEnded says whether a node's lease has certainly run out, and no newer
// coordinator can have renewed it: a majority has confirmed this one since.
// Without the second part a coordinator that is cut off could give slices away
// that its successor has left with their owners.
func (c *Coordinator) leaseEnded(p *peer, now timer.Instant) bool {
	if mutator.Active(mutator.StaleConfirmation) {
		return !now.Before(p.leaseEnd)
	}
	return !c.confirmedAt(now).Before(p.leaseEnd)
}

// leaseDuration returns how long a leaseDuration given now may last; zero is none.
func (c *Coordinator) leaseDuration(now timer.Instant) time.Duration {
	left := min(holder.AuthorityDuration, c.authorityEnd(now).Sub(now))
	return max(0, left).Truncate(time.Millisecond)
}

// mayBeLeased says whether someone may still hold a slice under an older epoch's
// lease.
func (c *Coordinator) mayBeLeased(string, uint64) bool { return c.resigned || !c.ready }

// requestHeartbeats calls for heartbeats when a lease has run out and only a confirmation from
// after its end is missing, so that the loss need not wait for the next regular
// ones.
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

// requestAllHeartbeats calls for a heartbeat of each node.
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
