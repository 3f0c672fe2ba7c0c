// Package charger keeps the credits that a node has got from accountants and decides which of them it
// asks for more. It is pure: no clock, no sockets.
package charger

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const (
	// Timeout limits the wait of a request for a credit. Credits that come later are lost.
	Timeout = 150 * time.Millisecond
	// unreachablePause is how long the accountants of other groups are asked instead after a call that
	// failed.
	unreachablePause = 300 * time.Millisecond
	// noAnswerPause is how long a group is not asked whose accountant does not own the shard or does
	// not know the customer.
	noAnswerPause = 100 * time.Millisecond
	// maxRetry limits the time after which a customer is to retry: what one group has denied, another
	// may have by then.
	maxRetry = time.Second
	// batchShare is the fraction of the demand of a credit's lifetime that a node asks for at once. Few
	// credits expire unused.
	batchShare = 0.5
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 2 * time.Second
	// reportInterval is the shortest time between two reports of rejected requests of a customer.
	reportInterval = 5 * time.Second
)

// Target is an accountant to ask.
type Target struct {
	Group int
	Owner partitioner.Member
}

// batch is credits that were asked for at one instant.
type batch struct {
	left  int
	asked timer.Instant
}

// pause is a time in which a group is not asked.
type pause struct {
	until    timer.Instant
	isDenied bool
}

// account is what the node knows of a customer.
type account struct {
	// batches are ordered by when they were asked for, so that the oldest are used first.
	batches []batch
	pauses  [partitioner.QuotaGroups]pause
	waiting int
	// demand is the smoothed number of requests in demandTimeConstant.
	demand   float64
	demandAt timer.Instant
	// rejected counts the requests that were rejected since the last report.
	rejected   int
	reportedAt timer.Instant
}

// Charger holds the credits of a node.
type Charger struct {
	self partitioner.Member
	// rotation spreads the nodes without an accountant in their zone over the others.
	rotation int

	mu       sync.Mutex
	bounds   accountant.Bounds
	accounts map[string]*account
	// unreachable has when the last call to an accountant failed, until its next answer.
	unreachable map[partitioner.NodeID]timer.Instant
}

// NewCharger returns a charger of a node without credits.
func NewCharger(self partitioner.Member, bounds accountant.Bounds) *Charger {
	h := fnv.New32a()
	_, _ = h.Write([]byte(self.ID)) // never fails
	return &Charger{
		self: self, rotation: int(h.Sum32() % partitioner.QuotaGroups), bounds: bounds,
		accounts: make(map[string]*account), unreachable: make(map[partitioner.NodeID]timer.Instant),
	}
}

// SetBounds applies changed bounds.
func (c *Charger) SetBounds(b accountant.Bounds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bounds = b
}

// Retain forgets the customers that a configuration does not limit.
func (c *Charger) Retain(cfg *descriptor.Configuration) {
	limited := make(map[string]bool, len(cfg.Customers))
	for i := range cfg.Customers {
		limited[cfg.Customers[i].Name] = cfg.Customers[i].Rate > 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, a := range c.accounts {
		if !limited[name] && a.waiting == 0 {
			delete(c.accounts, name)
		}
	}
}

func (c *Charger) account(customer string) *account {
	a, ok := c.accounts[customer]
	if !ok {
		a = &account{}
		c.accounts[customer] = a
	}
	return a
}

// Arrive counts a request of a customer that needs a credit, until Leave.
func (c *Charger) Arrive(customer string, now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(customer)
	a.waiting++
	a.demand = a.demand*math.Exp(-now.Sub(a.demandAt).Seconds()/demandTimeConstant.Seconds()) + 1
	a.demandAt = now
}

// Leave counts a request as one that does not wait any more.
func (c *Charger) Leave(customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(customer).waiting--
}

// Take takes a credit for a request that arrived at the given instant. A credit that was asked for after
// that counts within the window of the request in any case; others are used only in their lifetime. It
// returns when the credit was asked for.
func (c *Charger) Take(customer string, arrived, now timer.Instant) (asked timer.Instant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, lifetime := c.account(customer), c.bounds.CreditLifetime()
	a.batches = slices.DeleteFunc(a.batches, func(b batch) bool { return b.left == 0 || now.Sub(b.asked) > max(lifetime, Timeout) })
	for i := range a.batches {
		if b := &a.batches[i]; b.asked >= arrived || now.Sub(b.asked) <= lifetime {
			b.left--
			return b.asked, true
		}
	}
	return 0, false
}

// Refund gives back a credit that was asked for at the given instant and whose request has not run. It is
// as old as before, so that it lives no longer than one that was never taken.
func (c *Charger) Refund(customer string, asked, now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.accounts[customer]
	if !ok || now.Sub(asked) > max(c.bounds.CreditLifetime(), Timeout) {
		return
	}
	i, found := slices.BinarySearchFunc(a.batches, asked, func(b batch, at timer.Instant) int { return cmp.Compare(b.asked, at) })
	if !found {
		a.batches = slices.Insert(a.batches, i, batch{asked: asked})
	}
	a.batches[i].left++
}

// Reject counts a request that is rejected since the limit of its customer is used up. From time to time,
// it returns how many there were.
func (c *Charger) Reject(customer string, now timer.Instant) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(customer)
	a.rejected++
	if a.reportedAt > 0 && now.Sub(a.reportedAt) < reportInterval {
		return 0
	}
	n := a.rejected
	a.rejected, a.reportedAt = 0, now
	return n
}

// BatchSize returns how many credits to ask for: one for each waiting request, or those for a part of
// the time in which they can be used.
func (c *Charger) BatchSize(customer string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(customer)
	perSecond := a.demand / demandTimeConstant.Seconds()
	return max(1, a.waiting, int(batchShare*perSecond*c.bounds.CreditLifetime().Seconds()))
}

// Targets returns the accountants to ask for credits of a customer, those in the node's zone first, for a
// request that arrived at the given instant. If there are none, it returns why and when to try again.
func (c *Charger) Targets(customer *descriptor.Customer, t *partitioner.Table, arrived, now timer.Instant) (list []Target, denied bool, retry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, groups := c.account(customer.Name), c.bounds.GroupsOf(customer)
	next := now.Add(maxRetry)
	var unreachable []Target
	for i := range groups {
		group := (i + c.rotation) % groups
		m, ok := ownerOf(t, customer.Name, group)
		if !ok {
			continue
		}
		failedAt, hasFailed := c.unreachable[m.ID]
		switch {
		case now < a.pauses[group].until:
			denied, next = denied || a.pauses[group].isDenied, min(next, a.pauses[group].until)
		case hasFailed && failedAt >= arrived: // each request tries it once
		case hasFailed && now.Sub(failedAt) < unreachablePause:
			unreachable = append(unreachable, Target{Group: group, Owner: m})
		default:
			list = append(list, Target{Group: group, Owner: m})
		}
	}
	if len(list) == 0 && !denied {
		list = unreachable // perhaps it was this node that stalled
	}
	slices.SortStableFunc(list, func(a, b Target) int { return cmp.Compare(c.distance(a.Owner), c.distance(b.Owner)) })
	return list, denied, next.Sub(now)
}

func ownerOf(t *partitioner.Table, customer string, group int) (partitioner.Member, bool) {
	if t == nil {
		return partitioner.Member{}, false
	}
	s, ok := t.QuotaShard(group, partitioner.QuotaShardOf(customer))
	if !ok || s.Owner == "" {
		return partitioner.Member{}, false
	}
	return t.Member(s.Owner)
}

func (c *Charger) distance(m partitioner.Member) int {
	switch {
	case m.ID == c.self.ID:
		return 0
	case m.Zone == c.self.Zone:
		return 1
	default:
		return 2
	}
}

// HandleAnswer records the answer of an accountant to a charge that was sent at the given instant.
func (c *Charger) HandleAnswer(customer string, target Target, r accountant.Answer, asked, now timer.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(customer)
	delete(c.unreachable, target.Owner.ID)
	switch r.Outcome {
	case accountant.Granted:
		if r.Count > 0 && now.Sub(asked) <= Timeout {
			i, _ := slices.BinarySearchFunc(a.batches, asked, func(b batch, at timer.Instant) int { return cmp.Compare(b.asked, at) })
			a.batches = slices.Insert(a.batches, i, batch{left: r.Count, asked: asked})
		}
	case accountant.Denied:
		a.pauses[target.Group] = pause{until: now.Add(r.Retry), isDenied: true}
	default:
		a.pauses[target.Group] = pause{until: now.Add(noAnswerPause)}
	}
}

// HandleFailure records that a call to an accountant failed, and reports whether it is the first one
// since its last answer.
func (c *Charger) HandleFailure(id partitioner.NodeID, now timer.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.unreachable[id]
	c.unreachable[id] = now
	return !known
}
