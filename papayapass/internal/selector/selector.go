// Package selector chooses the backend server of a shared pool for a request. It is pure: callers
// pass the time and the random source.
package selector

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// crossZoneShare is the extra cost of a request to another zone, as a fraction of its
	// latency objective: traffic between zones is charged.
	crossZoneShare = 0.25
	// costJitter is the random fraction of a cost, so that nodes with the same loads do not all choose the
	// same server of a small pool.
	costJitter = 0.2
	// draws is the number of servers of a zone that are drawn and compared. With more of them, nodes
	// with the same reports choose the same server.
	draws = 2
	// retryDraws is the number after a server had no free slot: speed counts less than a free slot.
	retryDraws = 1
	// minFree is the least fraction of a server's slots that counts as free. Old reports say that
	// servers are full that are not.
	minFree = 0.01
)

// Random returns random numbers from 0 up to 1.
type Random func() float64

// Candidate is a backend server that may be chosen.
type Candidate struct {
	Load  Load
	Slots int
	// InFlight is the number of requests of this node in flight there.
	InFlight int
	// IsRemote means that the server is in another zone.
	IsRemote bool
	// IsOwn means that it is this node's own, whose load is known exactly.
	IsOwn bool
}

// Request is what the choice depends on besides the pool.
type Request struct {
	// Objective is its latency objective.
	Objective time.Duration
	// IsRetry means that a server has been tried.
	IsRetry bool
}

// Decision is a choice and what it was based on.
type Decision struct {
	// Index is that of the chosen candidate.
	Index int
	// ReportAge is the age of the chosen candidate's load, or zero if no current one is known.
	ReportAge time.Duration
	// KnowsFree means that a server of the pool has a free slot according to a current load.
	KnowsFree bool
}

// choice is a choice in progress.
type choice struct {
	pool   []Candidate
	costs  []float64
	shares []float64 // with which a candidate is drawn; zero once it was
	best   int
}

// Choose chooses the backend server for a request. The pool must not be empty. The loads are
// old, and other nodes choose by the same ones. So candidates are drawn at random, in proportion to what
// they are expected to have free, and only the drawn ones are compared by cost.
func Choose(pool []Candidate, r Request, random Random, now timer.Instant) Decision {
	c := choice{pool: pool, costs: make([]float64, len(pool)), shares: make([]float64, len(pool)), best: -1}
	lowest, knowsFree := lowestMean(pool), false
	for i := range pool {
		m := &pool[i]
		e := m.Load.estimate(m.InFlight, m.Slots, lowest, now)
		knowsFree = knowsFree || m.Load.isCurrent(now) && e.isFree()
		c.costs[i], c.shares[i] = e.duration()*(1+costJitter*random()), e.free()
		if !r.IsRetry {
			c.shares[i] *= float64(lowest) / e.mean
		}
		if m.IsRemote {
			c.costs[i] += crossZoneShare * float64(r.Objective)
		}
		if m.IsOwn {
			c.take(i)
		}
	}
	n := draws
	if r.IsRetry {
		n = retryDraws
	}
	for range n {
		c.draw(false, random())
	}
	for range draws {
		c.draw(true, random())
	}
	d := Decision{Index: max(c.best, 0), KnowsFree: knowsFree} // no server can be drawn if limits leave no slots
	if l := pool[d.Index].Load; l.isCurrent(now) {
		d.ReportAge = now.Sub(l.ReportedAt)
	}
	return d
}

// take compares a candidate with the best one so far.
func (c *choice) take(i int) {
	c.shares[i] = 0
	if c.best < 0 || c.costs[i] < c.costs[c.best] {
		c.best = i
	}
}

// draw takes one of the candidates of this or of the other zones, if any is left. A random number selects it.
func (c *choice) draw(remote bool, random float64) {
	all := 0.0
	for i := range c.pool {
		if c.pool[i].IsRemote == remote {
			all += c.shares[i]
		}
	}
	drawn, left := -1, random*all
	for i := range c.pool {
		if c.pool[i].IsRemote != remote || c.shares[i] == 0 {
			continue
		}
		drawn = i
		if left -= c.shares[i]; left < 0 {
			break
		}
	}
	if drawn >= 0 {
		c.take(drawn)
	}
}
