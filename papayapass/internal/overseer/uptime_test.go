package overseer_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// uptimeTest is a coordinator whose only other member, node-2, owns all keys.
type uptimeTest struct {
	*overseer.Overseer

	table *partitioner.Table
}

func newUptimeTest() uptimeTest {
	t := leaseTestTable()
	return uptimeTest{overseer.NewOverseer("node-1", t, time.Second, leaseTestStart, leaseTestStart), t}
}

// beat returns a heartbeat of a process of node-2.
func (u uptimeTest) beat(incarnation uint64, uptime time.Duration) overseer.Heartbeat {
	m, _ := u.table.Member("node-2")
	return overseer.Heartbeat{Member: m, Incarnation: incarnation, Uptime: uptime, Epoch: u.table.Epoch, Version: u.table.Version}
}

// afterStart returns the instant so long after the start of the term.
func afterStart(d time.Duration) timer.Instant { return leaseTestStart.Add(d) }

// A process cannot have started before its predecessor was heard last, whatever uptime it names.
func TestTooLongUptimeGivesNoLease(t *testing.T) {
	u := newUptimeTest()
	u.WriteConfirmed(nil, afterStart(time.Second))
	require.Positive(t, u.HandleHeartbeat(u.beat(7, time.Minute), afterStart(1100*time.Millisecond)).Lease)
	for _, d := range []time.Duration{1500 * time.Millisecond, 2100 * time.Millisecond, 2300 * time.Millisecond} {
		b := u.beat(8, time.Hour)
		b.Echo = afterStart(d - 100*time.Millisecond)
		require.Zero(t, u.HandleHeartbeat(b, afterStart(d)).Lease, "at %s", d)
		require.Equal(t, afterStart(time.Second+overseer.AuthorityDuration), u.AuthorityUntil(), "at %s", d)
	}
	require.True(t, u.RenewalDue(afterStart(2300*time.Millisecond)))
	u.WriteConfirmed(nil, afterStart(2400*time.Millisecond))
	require.Positive(t, u.HandleHeartbeat(u.beat(8, time.Hour), afterStart(2500*time.Millisecond)).Lease)
}

// Uptimes that cannot be are not taken for a start in the past or in the future.
func TestAbsurdUptimes(t *testing.T) {
	for name, tt := range map[string]struct {
		uptime    time.Duration
		isCurrent bool
	}{
		"negative":            {-time.Hour, false},
		"smallest number":     {math.MinInt64, false},
		"negative, 100 years": {-100 * 365 * 24 * time.Hour, false},
		"four years":          {4 * 365 * 24 * time.Hour, true},
		"largest number":      {math.MaxInt64, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUptimeTest()
			u.WriteConfirmed(nil, afterStart(time.Second))
			require.Equal(t, tt.isCurrent, u.HandleHeartbeat(u.beat(7, tt.uptime), afterStart(1100*time.Millisecond)).Lease > 0)
			u.WriteConfirmed(nil, afterStart(1200*time.Millisecond))
			require.Positive(t, u.HandleHeartbeat(u.beat(7, tt.uptime), afterStart(1300*time.Millisecond)).Lease, "after the next write")
		})
	}
}

// A heartbeat of the former process comes after the first one of the present process. Its echo
// extended the authority, and its releases freed keys that the present process had granted again.
func TestLateHeartbeatOfAFormerProcessCountsForNothing(t *testing.T) {
	u := newUptimeTest()
	u.WriteConfirmed(nil, afterStart(time.Second))
	former := u.HandleHeartbeat(u.beat(7, time.Minute), afterStart(1300*time.Millisecond))
	require.Positive(t, former.Lease)
	late := u.beat(7, time.Minute+100*time.Millisecond)
	late.Echo = former.Stamp
	late.Released = []partitioner.Release{{Service: service, Last: partitioner.LastKey, Token: 1}}
	late.Stopping = true

	require.Zero(t, u.HandleHeartbeat(u.beat(8, 100*time.Millisecond), afterStart(1800*time.Millisecond)).Lease)
	require.Zero(t, u.HandleHeartbeat(late, afterStart(1900*time.Millisecond)).Lease)
	require.Equal(t, afterStart(time.Second+overseer.AuthorityDuration), u.AuthorityUntil(), "the echo of a process that is gone")
	require.True(t, u.RenewalDue(afterStart(1950*time.Millisecond)), "the present process waits for a write")
	u.WriteConfirmed(nil, afterStart(2*time.Second))
	require.Positive(t, u.HandleHeartbeat(u.beat(8, 350*time.Millisecond), afterStart(2050*time.Millisecond)).Lease)
	u.HandleHeartbeat(late, afterStart(2100*time.Millisecond))
	require.Positive(t, u.HandleHeartbeat(u.beat(8, 450*time.Millisecond), afterStart(2150*time.Millisecond)).Lease, "it keeps its lease")
	if next := u.Plan(afterStart(2200 * time.Millisecond)); next != nil {
		require.Equal(t, u.table.Divisions[0].Ranges[0].Owner, next.Divisions[0].Ranges[0].Owner)
		require.Equal(t, uint64(1), next.Divisions[0].Ranges[0].Token, "the keys are not released")
	}
}

// A process that names a start before its predecessor's last heartbeat is taken for late only while
// the predecessor is heard.
func TestProcessThatSeemsLateIsHeardAfterItsPredecessor(t *testing.T) {
	u := newUptimeTest()
	u.WriteConfirmed(nil, afterStart(time.Second))
	u.HandleHeartbeat(u.beat(7, time.Minute), afterStart(time.Second))
	served := func(d time.Duration) bool {
		return u.HandleHeartbeat(u.beat(8, time.Hour), afterStart(d)).Lease > 0
	}
	d := time.Second
	for ; !served(d); d += 100 * time.Millisecond {
		u.WriteConfirmed(nil, afterStart(d))
		require.Less(t, d, 2500*time.Millisecond)
	}
	require.Greater(t, d, 1800*time.Millisecond)
}

// The first heartbeat of a process that lived briefly was held up. It replaced the present process,
// which got no lease until the next write.
func TestHeldUpHeartbeatReplacesNoLaterProcess(t *testing.T) {
	u := newUptimeTest()
	u.HandleHeartbeat(u.beat(7, time.Hour), leaseTestStart)
	u.HandleHeartbeat(u.beat(9, 2*time.Second), afterStart(2300*time.Millisecond))
	u.WriteConfirmed(nil, afterStart(2400*time.Millisecond))
	require.Positive(t, u.HandleHeartbeat(u.beat(9, 2200*time.Millisecond), afterStart(2500*time.Millisecond)).Lease)
	require.Zero(t, u.HandleHeartbeat(u.beat(8, 10*time.Millisecond), afterStart(2600*time.Millisecond)).Lease)
	require.Positive(t, u.HandleHeartbeat(u.beat(9, 2400*time.Millisecond), afterStart(2700*time.Millisecond)).Lease)
}
