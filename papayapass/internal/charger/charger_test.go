package charger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/accountant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// A node is cut off right after a grant of two credits. It uses them in their lifetime only, unless
// they were asked for after the request had come.
func TestCreditsExpire(t *testing.T) {
	lifetime := replayBounds.CreditLifetime()
	for name, tt := range map[string]struct {
		bounds         accountant.Bounds
		arrived, taken time.Duration // from when the credits were asked for
		usable         bool
	}{
		"in their lifetime":                      {replayBounds, lifetime, lifetime, true},
		"after it":                               {replayBounds, lifetime, lifetime + 1, false},
		"no credits in advance":                  {accountant.Bounds{}, 1, 1, false},
		"for a request that waited":              {accountant.Bounds{}, 0, Timeout, true},
		"for a request that waited for too long": {accountant.Bounds{}, 0, Timeout + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			asked := timer.Instant(time.Hour)
			c := NewCharger(partitioner.Member{ID: "a"}, tt.bounds)
			c.HandleAnswer("customer", Target{}, accountant.Answer{Outcome: accountant.Granted, Count: 2}, asked, asked)
			for _, want := range []bool{tt.usable, tt.usable, false} {
				_, ok := c.Take("customer", asked.Add(tt.arrived), asked.Add(tt.taken))
				require.Equal(t, want, ok)
			}
		})
	}
}

// The credit of a request that has not run serves the next one, while it lives.
func TestRefundedCreditsExpire(t *testing.T) {
	lifetime, asked := replayBounds.CreditLifetime(), timer.Instant(time.Hour)
	for name, tt := range map[string]struct {
		refunded, taken time.Duration // from when the credit was asked for
		usable          bool
	}{
		"at once":                {0, 0, true},
		"at the end of its life": {lifetime, lifetime, true},
		"after its life":         {lifetime, lifetime + 1, false},
		"refunded too late":      {lifetime + 1, lifetime + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewCharger(partitioner.Member{ID: "a"}, replayBounds)
			c.HandleAnswer("customer", Target{}, accountant.Answer{Outcome: accountant.Granted, Count: 1}, asked, asked)
			got, ok := c.Take("customer", asked, asked)
			require.True(t, ok)
			c.Refund("customer", got, asked.Add(tt.refunded))
			for _, want := range []bool{tt.usable, false} {
				_, ok = c.Take("customer", asked.Add(tt.taken), asked.Add(tt.taken))
				require.Equal(t, want, ok)
			}
		})
	}
}

func TestTargetsInTheOwnZoneComeFirst(t *testing.T) {
	s, now := newReplaySite(), timer.Instant(time.Hour)
	customer := &descriptor.Customer{Name: "customer", Rate: 10, Burst: 10}
	for _, id := range s.ids {
		m, _ := s.table.Member(id)
		c := NewCharger(m, replayBounds)
		targets, _, _ := c.Targets(customer, s.table, now.Add(1), now.Add(1))
		require.Len(t, targets, partitioner.QuotaGroups)
		require.Equal(t, m.Zone, targets[0].Owner.Zone)
		require.True(t, c.HandleFailure(targets[0].Owner.ID, now))
		require.False(t, c.HandleFailure(targets[0].Owner.ID, now), "one log line")
		left, _, _ := c.Targets(customer, s.table, now.Add(1), now.Add(1))
		require.Equal(t, targets[1:], left)
		for _, target := range left {
			c.HandleFailure(target.Owner.ID, now)
		}
		again, _, _ := c.Targets(customer, s.table, now.Add(1), now.Add(1))
		require.Len(t, again, partitioner.QuotaGroups, "perhaps this node stalled")
		again, _, _ = c.Targets(customer, s.table, now, now.Add(1))
		require.Empty(t, again, "a request that came before does not try them again")
	}
}
