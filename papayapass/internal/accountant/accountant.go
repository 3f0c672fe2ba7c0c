// Package accountant charges requests to customers' quotas at the owner of a quota shard. It is pure:
// no clock, no sockets.
package accountant

import (
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/mutator"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// Charge asks for credits of a customer in a quota group.
type Charge struct {
	Customer string `json:"customer"`
	Group    int    `json:"group,omitempty"`
	Count    int    `json:"count"`
}

// Outcome is the outcome of a charge.
type Outcome string

// Outcomes of charges.
const (
	Granted Outcome = "granted"
	// Denied means that the share of the group is used up.
	Denied Outcome = "denied"
	// NotOwner means that the node does not own the shard, or that its lease has expired.
	NotOwner Outcome = "not-owner"
	// UnknownCustomer means that the configuration in force at the owner has no such limit.
	UnknownCustomer Outcome = "unknown"
)

// Answer is the answer to a charge.
type Answer struct {
	Outcome Outcome `json:"outcome"`
	// Count is the number of credits granted, at most as many as asked for.
	Count int `json:"count,omitempty"`
	// Retry is when to ask again after Denied.
	Retry time.Duration `json:"retry,omitempty"`
}

// shardID identifies a quota shard.
type shardID struct{ group, index int }

// shard is a quota shard that the node owns.
type shard struct {
	token uint64
	// since is when the node learned that it owns the shard. Buckets are empty then, since the owner
	// before may have granted all that they held.
	since   timer.Instant
	buckets map[string]*bucket
}

// customerLimit is the limit of a customer and when the node first knew the customer.
type customerLimit struct {
	limit
	since timer.Instant
}

// Accountant answers charges for the quota shards that the node owns.
type Accountant struct {
	self partitioner.NodeID

	mu      sync.Mutex
	shards  map[shardID]*shard
	limits  map[string]customerLimit
	version uint64
}

// NewAccountant returns an accountant that owns no shards and knows no limits.
func NewAccountant(self partitioner.NodeID) *Accountant {
	return &Accountant{self: self, shards: make(map[shardID]*shard), limits: make(map[string]customerLimit)}
}

// SetTable sets the shards that the node owns, and returns how many it has taken and lost. A shard under
// the same token keeps its buckets: no other node has owned it in between.
func (a *Accountant) SetTable(t *partitioner.Table, now timer.Instant) (taken, lost int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := make(map[shardID]*shard)
	for _, s := range t.QuotaShards {
		if s.Owner != a.self {
			continue
		}
		id := shardID{s.Group, s.Index}
		if kept, ok := a.shards[id]; ok && kept.token == s.Token {
			next[id] = kept
			continue
		}
		next[id] = &shard{token: s.Token, since: now, buckets: make(map[string]*bucket)}
		taken++
	}
	lost = len(a.shards) + taken - len(next)
	a.shards = next
	return taken, lost
}

// SetLimits sets the limits of a configuration, unless a later one is known.
func (a *Accountant) SetLimits(cfg *descriptor.Configuration, bounds Bounds, now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cfg.Version < a.version {
		return
	}
	a.version = cfg.Version
	next := make(map[string]customerLimit)
	for i := range cfg.Customers {
		c := &cfg.Customers[i]
		if c.Rate <= 0 {
			continue
		}
		l := customerLimit{limit: bounds.limitOf(c), since: now}
		if known, ok := a.limits[c.Name]; ok {
			l.since = known.since
		}
		next[c.Name] = l
	}
	a.limits = next
	for _, s := range a.shards {
		for name, b := range s.buckets {
			if l, ok := next[name]; ok {
				b.setLimit(l.limit, now)
			} else {
				delete(s.buckets, name)
			}
		}
	}
}

// Owned returns the number of shards that the node owns.
func (a *Accountant) Owned() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.shards)
}

// Charge answers a charge; leaseLeft is the rest of the node's lease.
func (a *Accountant) Charge(c Charge, leaseLeft time.Duration, now timer.Instant) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.shards[shardID{c.Group, partitioner.QuotaShardOf(c.Customer)}]
	if !ok || leaseLeft <= 0 {
		return Answer{Outcome: NotOwner}
	}
	l, ok := a.limits[c.Customer]
	if !ok || c.Group >= l.groups {
		return Answer{Outcome: UnknownCustomer}
	}
	b, ok := s.buckets[c.Customer]
	if !ok {
		b = &bucket{limit: l.limit, filled: max(s.since, l.since)}
		if mutator.Active(mutator.StartWithFullBuckets) {
			b.level = l.capacity
		}
		s.buckets[c.Customer] = b
	}
	granted, retry := b.charge(c.Count, now)
	if granted == 0 {
		return Answer{Outcome: Denied, Retry: retry}
	}
	return Answer{Outcome: Granted, Count: granted}
}
