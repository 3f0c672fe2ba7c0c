package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// Incident 0020: a node that had just started acknowledged that its backend server leaves, forgot
// it, and a heartbeat that was held up brought the server back into use.
func TestServerThatLeftUnheardIsNotUsed(t *testing.T) {
	const noticeAt = 100_000
	cases := map[string]struct {
		heard func(*descriptor.Heartbeat)
		up    bool
	}{
		"held up heartbeat":                 {func(*descriptor.Heartbeat) {}, false},
		"started with the notice":           {func(h *descriptor.Heartbeat) { h.StartedAtMillis = noticeAt }, false},
		"next start under the same id":      {func(h *descriptor.Heartbeat) { h.StartedAtMillis = noticeAt + 2000 }, true},
		"next start under another id":       {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis = "server-2", noticeAt+2000 }, true},
		"another one, by the order of time": {func(h *descriptor.Heartbeat) { h.ID = "server-2" }, true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f := newOrderedForwarder(t)
			f.timeOfDay = func() int64 { return noticeAt }
			f.Leave(f.beat.ID)
			f.advance(time.Second)
			tt.heard(&f.beat)
			_, ok := f.Heartbeat(f.beat, nil)
			require.True(t, ok)
			require.Equal(t, tt.up, f.Server().Up())
			f.beat.Sequence++
			f.advance(time.Second)
			f.Heartbeat(f.beat, nil)
			require.Equal(t, tt.up, f.Server().Up(), "the next heartbeat changes nothing")
		})
	}
}

// The notice of a next start under the same id, of which no heartbeat has arrived, was taken for
// one of the start before.
func TestNoticeOfUnheardNextStart(t *testing.T) {
	f := newOrderedForwarder(t)
	f.timeOfDay = func() int64 { return 100_000 }
	require.True(t, f.sendNext(0))
	f.Leave(f.beat.ID)
	f.beat.StartedAtMillis, f.beat.Sequence = 90_000, 0
	f.sendNext(time.Second)
	require.False(t, f.Server().Up())
}

// The coordinator must know that the server left, for the next process of the node.
func TestServerThatLeftUnheardIsReported(t *testing.T) {
	known := partitioner.Server{ID: "server-1", StartedAtMillis: 100, Service: "records", Slots: 2}
	for name, order := range map[string][]func(*orderedForwarder){
		"table first":  {func(f *orderedForwarder) { f.RecallServer(known, true) }, func(f *orderedForwarder) { f.Leave("server-1") }},
		"notice first": {func(f *orderedForwarder) { f.Leave("server-1") }, func(f *orderedForwarder) { f.RecallServer(known, true) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOrderedForwarder(t)
			for _, do := range order {
				do(f)
			}
			var h overseer.Heartbeat
			f.FillHeartbeat(&h)
			want := known
			want.Leaving = true
			require.Equal(t, want, h.Member.Server)
		})
	}
}

// A clock that stepped makes a next start seem to have left. It goes on sending, so it is used in
// the end.
func TestStartThatOnlySeemedToHaveLeftIsUsedInTheEnd(t *testing.T) {
	f := newOrderedForwarder(t)
	f.timeOfDay = func() int64 { return 1_000_000 }
	f.Leave(f.beat.ID)
	left := f.clock.Now()
	f.advance(3 * time.Second)
	for !f.Server().Up() {
		f.sendNext(time.Second)
		require.Less(t, f.clock.Now().Sub(left), leaveSettleTime+minLateHeartbeats*time.Second+time.Second)
	}
	require.Greater(t, f.clock.Now().Sub(left), leaveSettleTime)
	f.sendNext(time.Second)
	require.True(t, f.Server().Up())
}
