package accountant

import (
	"time"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

const (
	// maxCreditLifetime limits how long a node may keep a credit before it uses it.
	maxCreditLifetime = 500 * time.Millisecond
	// lifetimeShare is the fraction of the tolerated excess that the lifetime of credits may use. The
	// rest covers clocks of different rates.
	lifetimeShare = 0.6
	// capacitySlackShare is the fraction of the tolerated slack that is added to the burst, since a burst
	// that is divided among groups holds less of uneven demand.
	capacitySlackShare = 0.5
)

// Bounds say how far the requests of a customer in a window may exceed its rate and burst: by the
// fraction Over and by Slack requests. Without a window, credits are for waiting requests only.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// CreditLifetime returns how long after it was asked for a credit may be used for requests that came
// later. With a rate r, a capacity C and the window W, the buckets of a customer give at most
// C + r(W + lifetime) credits for a window, which must be less than (rW + burst)(1 + Over) + Slack.
func (b Bounds) CreditLifetime() time.Duration {
	return min(time.Duration(lifetimeShare*b.Over*float64(b.Window)), maxCreditLifetime)
}

// capacity returns how many credits all buckets of a customer hold.
func (b Bounds) capacity(c *descriptor.Customer) float64 {
	return max(1, c.Burst+capacitySlackShare*b.Slack)
}

// GroupsOf returns the number of groups among which the limit of a customer is divided. Each needs room
// for a whole request.
func (b Bounds) GroupsOf(c *descriptor.Customer) int {
	if b.capacity(c) < partitioner.QuotaGroups {
		return 1
	}
	return partitioner.QuotaGroups
}

// limit is the limit of a customer in one group.
type limit struct {
	rate, capacity float64
	groups         int
}

func (b Bounds) limitOf(c *descriptor.Customer) limit {
	n := b.GroupsOf(c)
	return limit{rate: c.Rate / float64(n), capacity: b.capacity(c) / float64(n), groups: n}
}
