package granter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

var testServer = partitioner.Server{ID: "server-1", StartedAtMillis: 7, Service: "permits", Slots: 10, Divided: true}

func testTable(ranges ...partitioner.Range) *partitioner.Table {
	return &partitioner.Table{Epoch: 1, Version: 1, Divisions: []partitioner.Division{{Service: "permits", Ranges: ranges}}}
}

func testRange(first, last uint16, token uint64, next partitioner.NodeID) partitioner.Range {
	return partitioner.Range{First: first, Last: last, Owner: "node-1", Server: "server-1", ServerStartedAtMillis: 7, Token: token, NextOwner: next}
}

func newTestGranter(now timer.Instant) *Granter {
	g := NewGranter("node-1", 10*time.Second, now.Add(-time.Minute))
	g.SetServer(testServer)
	g.SetLease(now.Add(time.Hour))
	return g
}

// A renewal without an answer may be applied seconds later, after the release (OWNER, on
// days with late key requests). The keys must be reported as released only when the
// renewal's hold would have ended.
func TestReleaseWaitsForUnansweredGrants(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	calls := g.DueCalls(now)
	require.Len(t, calls, 1)
	lost := calls[0]
	g.HandleResult(lost, Unknown, "", now.Add(GrantTimeout))

	g.SetTable(testTable(testRange(0, 49, 4, "node-2"), testRange(50, 99, 4, "")), now)
	now = now.Add(GrantTimeout)
	var release Call
	for _, c := range g.DueCalls(now) {
		if c.Release {
			release = c
		}
	}
	require.Equal(t, uint16(49), release.Last)
	g.HandleResult(release, Done, "handover-1", now)
	require.Empty(t, g.Released(now), "the lost grant may still be applied")
	now = now.Add(withDrift(lost.Hold) - time.Millisecond)
	require.Empty(t, g.Released(now), "it may have arrived at the end of its time-out")
	now = now.Add(time.Millisecond)
	require.Equal(t, []partitioner.Release{{Service: "permits", First: 0, Last: 49, Token: 4, Handover: "handover-1"}}, g.Released(now))
}

// The process before a restart may have left a renewal unanswered, which is applied after the
// release of the next process (OWNER, incident 0015). The keys must be reported as released only
// when the longest hold of a grant from before the start has ended.
func TestReleaseWaitsForGrantsOfFormerProcess(t *testing.T) {
	started := timer.Instant(time.Hour)
	g := NewGranter("node-1", 10*time.Second, started)
	g.SetServer(testServer)
	g.SetLease(started.Add(time.Hour))
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), started)
	release := g.DueCalls(started)[0]
	require.True(t, release.Release)
	g.HandleResult(release, Done, "handover-1", started)
	require.Empty(t, g.Released(started))
	require.True(t, g.GrantInDoubt(started))
	now := started.Add(withDrift(maxUsefulHold) - time.Millisecond)
	require.Empty(t, g.Released(now))
	require.Positive(t, g.DoubtLeft(release, now))
	now = now.Add(time.Millisecond)
	require.Len(t, g.Released(now), 1)
	require.False(t, g.GrantInDoubt(now))
	require.Zero(t, g.DoubtLeft(release, now))
}

// Only the renewal of keys that are certainly held may share a connection with other grants.
func TestOnlyGrantsOfHeldKeysAreRenewals(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	next := func(result Result) bool {
		calls := g.DueCalls(now)
		require.Len(t, calls, 1)
		g.HandleResult(calls[0], result, "", now)
		return calls[0].Renewal
	}
	require.False(t, next(Unknown))
	now = now.Add(failureBackoff)
	require.False(t, next(Done))
	now = now.Add(renewalInterval)
	require.True(t, next(Done))

	now = now.Add(renewalInterval)
	restarted := testServer
	restarted.StartedAtMillis++
	g.SetServer(restarted)
	table := testTable(testRange(0, 99, 5, ""))
	table.Divisions[0].Ranges[0].ServerStartedAtMillis++
	g.SetTable(table, now)
	require.False(t, next(Done))
	now = now.Add(renewalInterval)
	require.True(t, next(Refused))
	now = now.Add(maxUsefulHold)
	require.False(t, next(Done), "the hold has ended")
}

// A backend server that is full resets each new connection at once. Calls to it must not
// follow each other as fast.
func TestFailedCallsArePaced(t *testing.T) {
	for call, next := range map[string]partitioner.NodeID{"grant": "", "release": "node-2"} {
		for name, result := range map[string]Result{"no answer": Unknown, "not delivered": NotDelivered} {
			t.Run(call+", "+name, func(t *testing.T) {
				now := timer.Instant(time.Hour)
				g := NewGranter("node-1", 10*time.Second, now)
				g.SetServer(testServer)
				g.SetLease(now.Add(time.Hour))
				g.SetTable(testTable(testRange(0, 99, 4, next)), now)
				calls := 0
				for range 200 {
					for _, c := range g.DueCalls(now) {
						calls++
						g.HandleResult(c, result, "", now)
					}
					now = now.Add(time.Millisecond)
				}
				require.Equal(t, int(200*time.Millisecond/failureBackoff), calls)
			})
		}
	}
}

// A backend server crashes and starts again. A grant meant for the former start that reaches
// the new one before its first heartbeat is not known when the keys move on (OWNER).
func TestNoGrantsReachAnUnknownStart(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 49, 4, ""), testRange(50, 99, 5, "")), now)
	calls := g.DueCalls(now)
	require.Len(t, calls, 2)
	g.HandleResult(calls[0], Unreachable, "", now)
	g.HandleResult(calls[1], Unreachable, "", now)
	for range 20 {
		now = now.Add(failureBackoff)
		require.Empty(t, g.DueCalls(now))
	}
	g.HandleHeartbeat(1, nil, now)
	calls = g.DueCalls(now)
	require.Len(t, calls, 2, "the same start was heard")

	g.HandleResult(calls[0], Unreachable, "", now)
	restarted := testServer
	restarted.StartedAtMillis++
	g.SetServer(restarted)
	now = now.Add(failureBackoff)
	require.Empty(t, g.DueCalls(now), "the table still names the former start")
	table := testTable(testRange(0, 99, 6, ""))
	table.Divisions[0].Ranges[0].ServerStartedAtMillis++
	g.SetTable(table, now)
	require.Len(t, g.DueCalls(now), 1)
}

// A release must not be sent while a grant of the same keys is in flight, since they
// could arrive in reverse order.
func TestReleaseWaitsForGrantsInFlight(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	calls := g.DueCalls(now)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	require.Empty(t, g.DueCalls(now), "the grant is in flight")
	g.HandleResult(calls[0], Done, "", now)
	calls = g.DueCalls(now)
	require.Len(t, calls, 1)
	require.True(t, calls[0].Release)
	g.HandleResult(calls[0], Done, "", now)
	require.Len(t, g.Released(now), 1)
}

func TestNoKeyIsHeldPastTheLease(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetLease(now.Add(time.Second))
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	calls := g.DueCalls(now)
	require.Len(t, calls, 1)
	require.LessOrEqual(t, calls[0].Hold+calls[0].Hold/50, time.Second, "the hold includes the tolerance for a slow server clock")
	g.HandleResult(calls[0], Done, "", now)
	_, _, ok := g.Holds("permits", 5, now.Add(900*time.Millisecond))
	require.True(t, ok)
	_, _, ok = g.Holds("permits", 5, now.Add(time.Second))
	require.False(t, ok)
}

// A backend server starts again without a failed connect in between, so a renewal for its former
// start may have reached the next one. The coordinator must not learn of that one before the hold
// has ended, since it would give the keys away (two owners).
func TestStartThatGrantsMayHaveReachedIsNotNamed(t *testing.T) {
	restarted := testServer
	restarted.StartedAtMillis = 8
	for name, tt := range map[string]struct {
		next   Result
		failed bool
	}{
		"no failed connect":   {Done, false},
		"a failed connect":    {Unreachable, true},
		"a grant held back":   {Unconfirmed, false},
		"none, after a while": {NotDelivered, false},
	} {
		t.Run(name, func(t *testing.T) {
			failed := tt.failed
			now := timer.Instant(time.Hour)
			g := newTestGranter(now)
			g.SetTable(testTable(testRange(0, 99, 4, "")), now)
			renewal := g.DueCalls(now)[0]
			g.HandleResult(renewal, Done, "", now)
			if tt.next != Done {
				next := now.Add(renewalInterval)
				g.HandleResult(g.DueCalls(next)[0], tt.next, "", next)
			}
			g.SetServer(restarted)
			former, inDoubt := g.FormerStart(now)
			require.Equal(t, !failed, inDoubt)
			if failed {
				return
			}
			require.True(t, former.SameStart(testServer.ID, testServer.StartedAtMillis))
			g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
			g.DueCalls(now)
			require.Empty(t, g.Released(now), "the next start may hold the keys")
			_, inDoubt = g.FormerStart(now.Add(withDrift(maxUsefulHold) + GrantTimeout))
			require.False(t, inDoubt)
		})
	}
}

// A grant was under way to the next start of a backend server when that one was heard. Its hold counts
// from the arrival, and the start was named up to a time-out too early.
func TestStartIsNotNamedBeforeAGrantInFlightHasEnded(t *testing.T) {
	for name, result := range map[string]Result{"done": Done, "unknown": Unknown} {
		t.Run(name, func(t *testing.T) {
			restarted := testServer
			restarted.StartedAtMillis = 8
			now := timer.Instant(time.Hour)
			g := newTestGranter(now)
			g.SetTable(testTable(testRange(0, 99, 4, "")), now)
			c := g.DueCalls(now)[0]
			g.SetServer(restarted)
			answered := now.Add(GrantTimeout)
			g.HandleResult(c, result, "", answered)
			end := answered.Add(withDrift(c.Hold))
			_, inDoubt := g.FormerStart(end.Add(-10 * time.Millisecond))
			require.True(t, inDoubt)
			_, inDoubt = g.FormerStart(end)
			require.False(t, inDoubt)
		})
	}
}

func TestRestartedServerHoldsNothing(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.HandleResult(g.DueCalls(now)[0], Done, "", now)
	restarted := testServer
	restarted.StartedAtMillis = 8
	g.SetServer(restarted)
	_, _, ok := g.Holds("permits", 5, now)
	require.False(t, ok)
	require.Empty(t, g.DueCalls(now.Add(time.Second)), "the table still names the earlier start")
}

func TestRefusedTokenIsNotRetriedBeforeBackoff(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.HandleResult(g.DueCalls(now)[0], Refused, "", now)
	require.Empty(t, g.DueCalls(now.Add(time.Second)))
	require.Len(t, g.DueCalls(now.Add(refusalBackoff)), 1)
}

func TestPartsOfARangeKeepTheirHold(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.HandleResult(g.DueCalls(now)[0], Done, "", now)
	g.SetTable(testTable(testRange(0, 9, 4, ""), testRange(10, 19, 4, "node-2"), testRange(20, 99, 4, "")), now)
	for key, want := range map[uint16]bool{5: true, 15: false, 50: true} {
		_, _, ok := g.Holds("permits", key, now)
		require.Equal(t, want, ok, "key %d", key)
	}
}

func TestHoldsStayWithinServerLimit(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := NewGranter("node-1", time.Second, now.Add(-time.Minute))
	g.SetServer(testServer)
	g.SetLease(now.Add(time.Hour))
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	c := g.DueCalls(now)[0]
	require.LessOrEqual(t, c.Hold, time.Second)
	g.HandleResult(c, Done, "", now)
	require.Len(t, g.DueCalls(now.Add(c.Hold/2)), 1, "renewed well before it ends")
}

// A node owns ranges of two services whose keys overlap, after its backend server changed
// service. Each key is found in its own service.
func TestKeysOfTwoServicesAreToldApart(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	table := testTable(testRange(0, 99, 4, ""), testRange(200, 299, 5, ""))
	table.Divisions = append(table.Divisions, partitioner.Division{Service: "ledger", Ranges: []partitioner.Range{testRange(50, 249, 6, "")}})
	g.SetTable(table, now)
	for key, want := range map[uint16][2]bool{20: {true, false}, 70: {true, true}, 150: {false, true}, 220: {true, true}, 270: {true, false}} {
		require.Equal(t, want, [2]bool{g.Owns("permits", key), g.Owns("ledger", key)}, "key %d", key)
	}
}

// A node wakes up for its grants when one is due, and not while a call is impossible: the
// backend server is down, or gets its keys in heartbeats.
func TestNoWakeUpsWithoutDueCalls(t *testing.T) {
	const limit = 100 * time.Millisecond
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	c := g.DueCalls(now)[0]
	require.Equal(t, limit, g.NextCallIn(limit, now), "in flight")
	g.HandleResult(c, Done, "", now)
	require.Empty(t, g.DueCalls(now))
	require.Equal(t, renewalInterval, g.NextCallIn(time.Minute, now))

	down := testServer
	down.Down = true
	g.SetServer(down)
	now = now.Add(time.Second)
	require.Empty(t, g.DueCalls(now))
	require.Equal(t, limit, g.NextCallIn(limit, now), "the server is down")

	b := newHeartbeats(now)
	b.SetTable(testTable(testRange(0, 99, 4, "")), now)
	b.send(now, descriptor.KeyListing{})
	require.Empty(t, b.DueCalls(now))
	require.Equal(t, limit, b.NextCallIn(limit, now))
	b.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	require.Less(t, b.NextCallIn(time.Minute, now), 4*time.Second, "a hold that runs out is a release")
}

// A node restarts and hears a late heartbeat of its backend server's former start, then one of the
// present start, to which the process before had granted keys. They must not count as released at
// once (two owners).
func TestLateHeartbeatOfAFormerServerKeepsPriorGrants(t *testing.T) {
	started := timer.Instant(time.Hour)
	former, present := testServer, testServer
	former.StartedAtMillis = testServer.StartedAtMillis - 1
	g := NewGranter("node-1", 10*time.Second, started)
	g.SetServer(former)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), started)
	g.SetServer(present)
	now := started.Add(time.Second)
	g.DueCalls(now)
	require.True(t, g.GrantInDoubt(now))
	require.Empty(t, g.Released(now))
}

// An unanswered grant reached the backend server late in its time-out. Its hold counts from its
// arrival, so the keys must not count as released a hold after the call was planned (two owners).
func TestReleaseWaitsForGrantThatArrivedLate(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	lost := g.DueCalls(now)[0]
	arrived := now.Add(GrantTimeout)
	g.HandleResult(lost, Unknown, "", arrived)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), arrived)
	g.HandleResult(g.DueCalls(arrived)[0], Done, "", arrived)
	require.Empty(t, g.Released(arrived.Add(withDrift(lost.Hold)-time.Millisecond)))
	require.Len(t, g.Released(arrived.Add(withDrift(lost.Hold))), 1)
}

// The same for a grant that was answered, when the keys run out without a release.
func TestExpiryCountsFromTheAnswer(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	c := g.DueCalls(now)[0]
	arrived := now.Add(GrantTimeout)
	g.HandleResult(c, Done, "", arrived)
	down := testServer
	down.Down = true
	g.SetServer(down)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), arrived)
	early := arrived.Add(withDrift(c.Hold) - time.Millisecond)
	g.DueCalls(early)
	require.Empty(t, g.Released(early))
	g.DueCalls(arrived.Add(withDrift(c.Hold)))
	require.Len(t, g.Released(arrived.Add(withDrift(c.Hold))), 1)
}

// A short grant is still in flight when its hold would have ended. It may arrive any moment.
func TestKeysDoNotExpireWithAGrantInFlight(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newTestGranter(now)
	g.SetLease(now.Add(minHold * 11 / 10))
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	c := g.DueCalls(now)[0]
	now = now.Add(withDrift(c.Hold) + time.Millisecond)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	g.DueCalls(now)
	require.Empty(t, g.Released(now))
}

// A node restarts with settings that allow a shorter hold only. The process before may have
// granted longer ones, which are still in doubt after a hold of the new settings.
func TestShorterHoldLimitKeepsPriorGrants(t *testing.T) {
	started := timer.Instant(time.Hour)
	g := NewGranter("node-1", time.Second, started)
	g.SetServer(testServer)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), started)
	now := started.Add(2 * time.Second)
	for _, c := range g.DueCalls(now) {
		g.HandleResult(c, Done, "", now)
	}
	require.Empty(t, g.Released(now))
	now = started.Add(withDrift(maxUsefulHold))
	require.False(t, g.GrantInDoubt(now))
}
