package granter

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/shared/descriptor"
)

// heartbeats sends a granter the heartbeats of a backend server.
type heartbeats struct {
	*Granter

	sequence int64
}

func newHeartbeats(now timer.Instant) *heartbeats {
	g := newTestGranter(now)
	g.SetMethod(descriptor.GrantByHeartbeat)
	return &heartbeats{Granter: g}
}

func (h *heartbeats) send(now timer.Instant, keys descriptor.KeyListing) *descriptor.KeyGrants {
	h.sequence++
	return h.HandleHeartbeat(h.sequence, &keys, now).Reply.Grants
}

func held(first, last uint16, token uint64) descriptor.HeldRange {
	return descriptor.HeldRange{First: first, Last: last, Token: token}
}

func (h *heartbeats) holds(key uint16, now timer.Instant) bool {
	_, _, ok := h.Holds("permits", key, now)
	return ok
}

const beat = 870 * time.Millisecond

// A new range is granted by the next response and its keys are served from then on. No call
// is made.
func TestKeysAreGrantedInResponses(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	r := testRange(0, 99, 4, "")
	r.Handover = "h"
	g.SetTable(testTable(r), now)
	grants := g.send(now, descriptor.KeyListing{})
	require.Equal(t, []descriptor.GrantedRange{{First: 0, Last: 99, Token: 4, Handover: "h"}}, grants.Ranges)
	require.Empty(t, g.DueCalls(now))
	require.False(t, g.holds(5, now), "the response is still on its way")
	require.True(t, g.holds(5, now.Add(settleTime)))
	require.False(t, g.holds(5, now.Add(grants.Hold)), "the hold counts from before the heartbeat arrived")
	now = now.Add(beat)
	grants = g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}})
	require.Empty(t, grants.Ranges[0].Handover, "the keys have arrived")
	require.True(t, g.holds(5, now))
}

// A node restarts under load. The first heartbeat names what the backend server holds, so
// the keys go on without a gap.
func TestKeysGoOnAfterTheNodesRestart(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := &heartbeats{Granter: NewGranter("node-1", 10*time.Second, now)}
	g.SetMethod(descriptor.GrantByHeartbeat)
	g.SetServer(testServer)
	require.Nil(t, g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}}), "without a table nothing is released")
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.SetLease(now.Add(2 * time.Second))
	now = now.Add(100 * time.Millisecond)
	g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}})
	require.True(t, g.holds(5, now))
}

// A backend server restarts under its id. It holds nothing, and its keys are granted with
// the next token only.
func TestRestartUnderTheSameID(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.send(now, descriptor.KeyListing{})
	restarted := testServer
	restarted.StartedAtMillis = 8
	g.SetServer(restarted)
	g.sequence = 0
	require.Empty(t, g.send(now.Add(time.Second), descriptor.KeyListing{}).Ranges, "the table names the former start")
	next := testRange(0, 99, 5, "")
	next.ServerStartedAtMillis = 8
	g.SetTable(testTable(next), now)
	require.Len(t, g.send(now.Add(2*time.Second), descriptor.KeyListing{}).Ranges, 1)
}

// A range that moves is left out of the response. It is released when the heartbeat lists
// none of its keys any more, which takes as long as work on them runs.
func TestMovingRangeIsReleasedByOmission(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.send(now, descriptor.KeyListing{})
	g.SetTable(testTable(testRange(0, 49, 4, "node-2"), testRange(50, 99, 4, "")), now)
	require.False(t, g.holds(5, now.Add(settleTime)))
	now = now.Add(beat)
	grants := g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}})
	require.Equal(t, []descriptor.GrantedRange{{First: 50, Last: 99, Token: 4}}, grants.Ranges)
	now = now.Add(100 * time.Millisecond)
	g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 49, 4), held(50, 99, 4)}})
	require.Empty(t, g.Released(now), "work on the keys still runs")
	now = now.Add(100 * time.Millisecond)
	g.send(now, descriptor.KeyListing{
		Held: []descriptor.HeldRange{held(50, 99, 4)}, Released: []descriptor.ReleasedRange{{First: 0, Last: 49, Handover: "h"}},
	})
	require.Equal(t, []partitioner.Release{{Service: "permits", First: 0, Last: 49, Token: 4, Handover: "h"}}, g.Released(now))
}

// The response that grants a range is slow, and the next heartbeat, sent before it
// arrives, does not list the range. The range moves meanwhile. Its keys must not count as
// released while the response can still be accepted (two owners).
func TestSlowResponseKeepsItsKeys(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.send(now, descriptor.KeyListing{})
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	g.send(now.Add(100*time.Millisecond), descriptor.KeyListing{})
	g.DueCalls(now.Add(200 * time.Millisecond))
	released := len(g.Released(now.Add(200 * time.Millisecond)))
	require.Zero(t, released, "the response may still arrive")
	g.send(now.Add(replyWindow+time.Millisecond), descriptor.KeyListing{})
	require.Len(t, g.Released(now.Add(replyWindow+time.Millisecond)), 1)
}

// A heartbeat repeats a release, because the response to the one before was lost. The same
// keys were granted again in a response that is still on its way, and move again. The
// repeated release says nothing about that grant (two owners).
func TestRepeatedReleaseIsNoProof(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	freed := []descriptor.ReleasedRange{{First: 0, Last: 99, Handover: "h"}}
	g.send(now, descriptor.KeyListing{Released: freed})
	g.SetTable(testTable(testRange(0, 99, 9, "")), now)
	now = now.Add(100 * time.Millisecond)
	require.Len(t, g.send(now, descriptor.KeyListing{Released: freed}).Ranges, 1)
	g.SetTable(testTable(testRange(0, 99, 9, "node-2")), now)
	now = now.Add(100 * time.Millisecond)
	g.send(now, descriptor.KeyListing{Released: freed})
	require.Empty(t, g.Released(now))
}

// A heartbeat that was held up arrives after a newer one. It gets no grants, and what it
// does not list is not released (two owners).
func TestLateHeartbeatChangesNothing(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	g.send(now, descriptor.KeyListing{})
	now = now.Add(beat)
	g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}})
	r := g.HandleHeartbeat(1, &descriptor.KeyListing{}, now.Add(10*time.Millisecond))
	require.Nil(t, r.Reply.Grants)
	require.True(t, g.holds(5, now.Add(20*time.Millisecond)))
}

// No heartbeat arrives for a whole hold. The node stops using the keys before their hold ends, and
// they are released as expired if they have to move.
func TestLostHeartbeatsEndTheHold(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	hold := g.send(now, descriptor.KeyListing{}).Hold
	require.False(t, g.holds(5, now.Add(hold)))
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	g.DueCalls(now.Add(hold))
	require.Empty(t, g.Released(now.Add(hold)), "the server's clock may run slow")
	now = now.Add(withDrift(hold))
	g.DueCalls(now)
	require.Len(t, g.Released(now), 1)
}

// Bad rows in a heartbeat of another writer: keys and tokens that were never granted.
func TestUnknownRowsAreReleased(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	grants := g.send(now, descriptor.KeyListing{
		Held: []descriptor.HeldRange{held(0, 99, 1<<60), held(500, 600, 2)}, Released: []descriptor.ReleasedRange{{First: 700, Last: 800, Handover: "x"}},
	})
	require.Equal(t, []descriptor.GrantedRange{{First: 0, Last: 99, Token: 4}}, grants.Ranges)
	require.Empty(t, g.Released(now))
}

// A thousand ranges do not fit into one response. Held ones come first, since leaving them
// out would release them, then the largest.
func TestResponseHasALimitedSize(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetReplyLimit(ReplyLimit{Bytes: 4000, RangeBytes: func(descriptor.GrantedRange) int { return 40 }})
	var ranges []partitioner.Range
	for i := range 1000 {
		ranges = append(ranges, testRange(uint16(60*i), uint16(60*i+50-i%50), uint64(i+1), ""))
	}
	g.SetTable(testTable(ranges...), now)
	listing := descriptor.KeyListing{Held: []descriptor.HeldRange{held(ranges[999].First, ranges[999].Last, 1000)}}
	g.sequence++
	r := g.HandleHeartbeat(g.sequence, &listing, now)
	require.Len(t, r.Reply.Grants.Ranges, 100)
	require.Equal(t, 900, r.Omitted)
	require.Equal(t, ranges[999].First, r.Reply.Grants.Ranges[99].First)
	require.True(t, g.holds(ranges[999].First, now))
	require.False(t, g.holds(ranges[49].First, now.Add(time.Second)), "a small range that did not fit")
}

// A configuration changes the way of granting. Keys granted by call stay in doubt until the
// grants have ended.
func TestMethodChangesWithTheConfiguration(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetMethod(descriptor.GrantByCall)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	lost := g.DueCalls(now)[0]
	g.HandleResult(lost, Unknown, "", now.Add(GrantTimeout))
	g.SetMethod(descriptor.GrantByHeartbeat)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	g.send(now.Add(400*time.Millisecond), descriptor.KeyListing{})
	require.Empty(t, g.Released(now.Add(400*time.Millisecond)))
	now = lost.Sent.Add(GrantTimeout + withDrift(lost.Hold) - time.Millisecond)
	g.DueCalls(now)
	require.Empty(t, g.Released(now), "it may have arrived at the end of its time-out")
	now = now.Add(time.Millisecond)
	g.DueCalls(now)
	require.Len(t, g.Released(now), 1)
}

// Incident 0017: after one heartbeat with an enormous sequence number the backend server got
// no keys any more. It gets keys again once all that it may hold have ended, and not before.
func TestOddSequenceDoesNotKeepKeysAway(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	require.NotNil(t, g.send(now, descriptor.KeyListing{}))
	g.sequence = math.MaxInt64 - 1
	odd := now.Add(beat)
	require.NotNil(t, g.send(odd, descriptor.KeyListing{}))
	g.sequence = 1
	granted := 0
	for now = odd.Add(beat); now < odd.Add(10*time.Second); now = now.Add(beat) {
		g.SetLease(now.Add(2 * time.Second))
		if grants := g.send(now, descriptor.KeyListing{Held: []descriptor.HeldRange{held(0, 99, 4)}}); grants != nil {
			require.Greater(t, now.Sub(odd), g.LongestHold())
			granted++
			require.True(t, g.holds(5, now.Add(settleTime)))
		}
	}
	require.GreaterOrEqual(t, granted, 5)
}

// A configuration changes the way of granting while a response that grants keys is on its way. The
// keys move and are released by call, and the response may still bring them back (two owners).
func TestResponseOnItsWayOutlivesAChangeOfMethod(t *testing.T) {
	now := timer.Instant(time.Hour)
	g := newHeartbeats(now)
	g.SetTable(testTable(testRange(0, 99, 4, "")), now)
	hold := g.send(now, descriptor.KeyListing{}).Hold
	g.SetMethod(descriptor.GrantByCall)
	g.SetTable(testTable(testRange(0, 99, 4, "node-2")), now)
	for _, c := range g.DueCalls(now) {
		require.True(t, c.Release)
		g.HandleResult(c, Done, "h", now.Add(10*time.Millisecond))
	}
	require.Empty(t, g.Released(now.Add(10*time.Millisecond)))
	require.Len(t, g.Released(now.Add(withDrift(hold))), 1)
}
