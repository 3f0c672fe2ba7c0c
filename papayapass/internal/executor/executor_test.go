package executor

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/ranker"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracker"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/announcer"
)

// fakeOwnership is the state of node "a". Its pool is one slice with fencing
// token 7.
type fakeOwnership struct {
	view    *keeper.View
	now     timer.Instant
	tracker *tracker.Tracker
	ranker  *ranker.Ranker
}

func (f *fakeOwnership) View() *keeper.View        { return f.view }
func (f *fakeOwnership) Now() timer.Instant        { return f.now }
func (f *fakeOwnership) Tracker() *tracker.Tracker { return f.tracker }
func (f *fakeOwnership) Ranker() *ranker.Ranker    { return f.ranker }

const leaseEnd = timer.Instant(time.Hour)

func newFakeOwnership(owner, next string) *fakeOwnership {
	t := assigner.Decode(&wirepb.Table{
		Epoch: 1, Version: 1, Members: []*wirepb.Member{{Node: "a"}},
		Pools: []*wirepb.Pool{{Name: "permits", Slices: []*wirepb.Slice{{Owner: owner, Next: next, Token: 7}}}},
	})
	return &fakeOwnership{
		view: keeper.NewView("a", t, leaseEnd, &wirepb.Configuration{}), now: leaseEnd - timer.Instant(time.Second),
		tracker: tracker.NewTracker(func() {}), ranker: ranker.NewRanker(),
	}
}

// announceServer announces a scripted backend server that responds "done".
func announceServer(t *testing.T, e *Executor, change func(a *announcer.Announcement)) *scriptedServer {
	s := newScriptedServer(t, func(conn net.Conn, _ string) { writeResponse(conn, "done") })
	a := announcer.Announcement{Pool: "permits", Address: s.listener.Addr().String(), Zone: "z", Slots: 4, Connections: 8, Divided: true, ChecksTokens: true}
	change(&a)
	e.Announce(a)
	return s
}

func keyed() *wirepb.Request {
	r := request("POST")
	r.Keyed = true
	return r
}

// TestServeOnlyOwnedSlices sends requests for a slice that the node does not
// own, for each possible reason. None may reach the backend server.
func TestServeOnlyOwnedSlices(t *testing.T) {
	tests := map[string]struct {
		ownership *fakeOwnership
		prepare   func(f *fakeOwnership)
		hint      string
		runs      int
	}{
		"owner with a lease":    {ownership: newFakeOwnership("a", ""), runs: 1},
		"another owner":         {ownership: newFakeOwnership("b", ""), hint: "b"},
		"no owner":              {ownership: newFakeOwnership("", "")},
		"slice is moving away":  {ownership: newFakeOwnership("a", "c"), hint: "c"},
		"lease has ended":       {ownership: newFakeOwnership("a", ""), prepare: func(f *fakeOwnership) { f.now = leaseEnd }, hint: "a"},
		"lease is about to end": {ownership: newFakeOwnership("a", ""), prepare: func(f *fakeOwnership) { f.now = leaseEnd - timer.Instant(leaseMargin) }, hint: "a"},
		"range is closed": {ownership: newFakeOwnership("a", ""), prepare: func(f *fakeOwnership) {
			f.tracker.Close(tracker.NewRange("permits", 0, ^uint64(0)), 7)
		}, hint: "a"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if tt.prepare != nil {
				tt.prepare(tt.ownership)
			}
			e := NewExecutor(tt.ownership, timer.BootClock{}, time.Second, 1)
			s := announceServer(t, e, func(*announcer.Announcement) {})
			answer := e.Serve(t.Context(), keyed())
			require.Equal(t, tt.runs, s.count())
			if tt.runs == 0 {
				require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, answer.GetOutcome())
				require.Equal(t, wirepb.Reason_REASON_NOT_OWNER, answer.GetReason())
				require.Equal(t, tt.hint, answer.GetOwnerHint())
			}
		})
	}
}

// TestCallCarriesTokenAndDeadline checks the headers of a call. Its deadline is
// before the end of the lease only if the backend server does not check tokens.
func TestCallCarriesTokenAndDeadline(t *testing.T) {
	for name, checks := range map[string]bool{"checks tokens": true, "does not check tokens": false} {
		t.Run(name, func(t *testing.T) {
			e := NewExecutor(newFakeOwnership("a", ""), timer.BootClock{}, time.Second, 1)
			s := announceServer(t, e, func(a *announcer.Announcement) { a.ChecksTokens = checks })
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			e.Serve(ctx, keyed())
			require.Contains(t, s.requests[0], "Papayapass-Token: 7")
			require.Equal(t, !checks, strings.Contains(s.requests[0], "Papayapass-Deadline-Millis: 980"))
		})
	}
}

// TestRepeatedKeyRunsOnce repeats a request with one idempotency key.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	e := NewExecutor(newFakeOwnership("a", ""), timer.BootClock{}, time.Second, 1)
	s := announceServer(t, e, func(*announcer.Announcement) {})
	for call := range uint64(3) {
		r := keyed()
		r.Call, r.IdempotencyKey = call, []byte("renewal-1")
		answer := e.Serve(t.Context(), r)
		require.Equal(t, "done", string(answer.GetBody()))
		require.Equal(t, call, answer.GetCall())
	}
	require.Equal(t, 1, s.count())
}

// TestServerState checks that a backend server that drains, or whose
// announcements stopped, is not offered for new requests.
func TestServerState(t *testing.T) {
	clock := &timer.ManualClock{}
	clock.Advance(time.Hour)
	e := NewExecutor(newFakeOwnership("a", ""), clock, time.Second, 1)
	require.Equal(t, assigner.ServerAbsent, e.Server().State())
	announceServer(t, e, func(*announcer.Announcement) {})
	require.Equal(t, assigner.ServerUp, e.Server().State())
	clock.Advance(AnnouncementTTL + 1)
	require.Equal(t, assigner.ServerAbsent, e.Server().State(), "announcements have stopped")
	announceServer(t, e, func(a *announcer.Announcement) { a.Draining = true })
	require.Equal(t, assigner.ServerDraining, e.Server().State())
	announceServer(t, e, func(a *announcer.Announcement) { a.Instance = 9 })
	usage, ok := e.Usage()
	require.True(t, ok)
	require.False(t, usage.Warm(), "a new instance is cold")
}
