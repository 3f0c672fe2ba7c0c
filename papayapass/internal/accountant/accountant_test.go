package accountant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

const testName = "customer"

var siteBounds = Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

func configuration(version uint64, rate, burst float64) *descriptor.Configuration {
	return &descriptor.Configuration{Version: version, Customers: []descriptor.Customer{{Name: testName, Rate: rate, Burst: burst}}}
}

// tableOf returns a table in which a node owns all shards under a token.
func tableOf(owner partitioner.NodeID, token uint64) *partitioner.Table {
	t := &partitioner.Table{}
	for i := range partitioner.QuotaGroups * partitioner.QuotaShardsPerGroup {
		t.QuotaShards = append(t.QuotaShards, partitioner.QuotaShard{
			Group: i / partitioner.QuotaShardsPerGroup, Index: i % partitioner.QuotaShardsPerGroup, Owner: owner, Token: token,
		})
	}
	return t
}

// drain takes all credits of all groups and returns their number.
func drain(a *Accountant, now timer.Instant) int {
	n := 0
	for group := range partitioner.QuotaGroups {
		n += a.Charge(Charge{Customer: testName, Group: group, Count: 1 << 20}, time.Second, now).Count
	}
	return n
}

// Whatever the limit and the bounds are, what all buckets grant for a window, and the second after it
// for a lost owner, stays below the bound.
func TestBoundHolds(t *testing.T) {
	for name, tt := range map[string]struct {
		rate, burst float64
		bounds      Bounds
	}{
		"large":                    {317, 317, siteBounds},
		"small":                    {8, 8, siteBounds},
		"burst below one a group":  {0.5, 0, siteBounds},
		"no slack and small burst": {4, 2, Bounds{Window: 5 * time.Second, Over: 0.1}},
		"wide window":              {100, 10, Bounds{Window: time.Minute, Over: 0.3, Slack: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAccountant("a")
			a.SetTable(tableOf("a", 1), 0)
			a.SetLimits(configuration(1, tt.rate, tt.burst), tt.bounds, 0)
			now := timer.Instant(time.Hour)
			granted, span := drain(a, now), tt.bounds.Window+tt.bounds.CreditLifetime()
			for end := now.Add(span * 102 / 100); now < end; now = now.Add(10 * time.Millisecond) {
				granted += drain(a, now)
			}
			bound := (tt.rate*tt.bounds.Window.Seconds()+tt.burst)*(1+tt.bounds.Over) + tt.bounds.Slack
			require.LessOrEqual(t, float64(granted), bound)
			require.GreaterOrEqual(t, float64(granted), tt.rate*tt.bounds.Window.Seconds()+tt.burst-partitioner.QuotaGroups, "the whole limit can be used")
		})
	}
}

// The owner grants all that it has and is lost; the next one has the shards from then on.
func TestSuccessorStartsEmpty(t *testing.T) {
	const rate, burst = 90.0, 90.0
	for name, start := range map[string]func(*Accountant, timer.Instant) *Accountant{
		"another node": func(_ *Accountant, now timer.Instant) *Accountant {
			b := NewAccountant("b")
			b.SetLimits(configuration(1, rate, burst), siteBounds, 0)
			b.SetTable(tableOf("b", 2), now)
			return b
		},
		"the same node after it has started again": func(_ *Accountant, now timer.Instant) *Accountant {
			b := NewAccountant("a")
			b.SetTable(tableOf("a", 1), now)
			b.SetLimits(configuration(1, rate, burst), siteBounds, now)
			return b
		},
		"the same node under another token": func(a *Accountant, now timer.Instant) *Accountant {
			a.SetTable(tableOf("a", 3), now)
			return a
		},
		"the same node after the configuration had no such customer": func(a *Accountant, now timer.Instant) *Accountant {
			a.SetLimits(&descriptor.Configuration{Version: 2}, siteBounds, now)
			require.Equal(t, UnknownCustomer, a.Charge(Charge{Customer: testName, Count: 1}, time.Second, now).Outcome)
			a.SetLimits(configuration(3, rate, burst), siteBounds, now)
			return a
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, now := NewAccountant("a"), timer.Instant(time.Hour)
			a.SetTable(tableOf("a", 1), 0)
			a.SetLimits(configuration(1, rate, burst), siteBounds, 0)
			require.InDelta(t, burst+10, drain(a, now), partitioner.QuotaGroups)
			b := start(a, now.Add(time.Millisecond))
			granted := 0
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				granted += drain(b, now)
			}
			require.InDelta(t, rate, granted, partitioner.QuotaGroups, "at the rate, without the burst")
		})
	}
}

func TestChargeNeedsLeaseAndShard(t *testing.T) {
	a, now := NewAccountant("a"), timer.Instant(time.Hour)
	a.SetLimits(configuration(1, 90, 90), siteBounds, 0)
	charge := Charge{Customer: testName, Count: 1}
	require.Equal(t, NotOwner, a.Charge(charge, time.Second, now).Outcome)
	a.SetTable(tableOf("a", 1), now)
	now = now.Add(time.Second)
	require.Equal(t, Answer{Outcome: Granted, Count: 1}, a.Charge(charge, time.Second, now))
	require.Equal(t, NotOwner, a.Charge(charge, 0, now).Outcome, "the lease has expired")
	require.Equal(t, NotOwner, a.Charge(Charge{Customer: testName, Group: 9, Count: 1}, time.Second, now).Outcome)
	taken, lost := a.SetTable(tableOf("b", 2), now)
	require.Equal(t, []int{0, partitioner.QuotaGroups * partitioner.QuotaShardsPerGroup}, []int{taken, lost})
	require.Equal(t, NotOwner, a.Charge(charge, time.Second, now).Outcome)
}

func TestLowerLimitHoldsAtOnce(t *testing.T) {
	a, now := NewAccountant("a"), timer.Instant(time.Hour)
	a.SetTable(tableOf("a", 1), 0)
	a.SetLimits(configuration(1, 300, 300), siteBounds, 0)
	require.Equal(t, Granted, a.Charge(Charge{Customer: testName, Count: 1}, time.Second, now).Outcome)
	a.SetLimits(configuration(2, 3, 3), siteBounds, now)
	a.SetLimits(configuration(1, 300, 300), siteBounds, now)
	require.LessOrEqual(t, drain(a, now), 13, "the earlier version is ignored")
	require.InDelta(t, 3, drain(a, now.Add(time.Second)), 1)
}

// Nodes that are denied get turns, so that they do not all ask again when the next credit comes.
func TestDeniedNodesAskInTurn(t *testing.T) {
	a, now := NewAccountant("a"), timer.Instant(time.Hour)
	a.SetTable(tableOf("a", 1), now)
	a.SetLimits(configuration(1, 60, 60), siteBounds, now)
	var last time.Duration
	for i := range 10 {
		r := a.Charge(Charge{Customer: testName, Count: 1}, time.Second, now)
		require.Equal(t, Denied, r.Outcome)
		require.LessOrEqual(t, r.Retry, maxTurn)
		if i < 5 {
			require.InDelta(t, 50*time.Millisecond, r.Retry-last, float64(time.Millisecond))
			last = r.Retry
		}
	}
	require.Equal(t, Granted, a.Charge(Charge{Customer: testName, Count: 1}, time.Second, now.Add(50*time.Millisecond)).Outcome)
}
