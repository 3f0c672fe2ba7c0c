package forwarder

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// orderedForwarder gets heartbeats at times of a manual clock.
type orderedForwarder struct {
	*Forwarder

	clock *timer.ManualClock
	beat  descriptor.Heartbeat
}

func newOrderedForwarder(t *testing.T) *orderedForwarder {
	t.Helper()
	clock := &timer.ManualClock{}
	clock.Advance(time.Hour)
	g := granter.NewGranter("node-1", 10*time.Second, clock.Now().Add(-time.Minute))
	f := NewForwarder("127.0.0.1:2", "records", time.Second, fakeCodec{}, clock, g, &fakeNode{}, &tracer.Tracer{}, zerolog.Nop())
	return &orderedForwarder{f, clock, descriptor.Heartbeat{ID: "server-1", Service: "records", Address: "127.0.0.1:2", Slots: 2, Sequence: 5, StartedAtMillis: 100}}
}

// sendNext sends the next heartbeat of the backend server after a time, and reports whether
// it took effect.
func (f *orderedForwarder) sendNext(after time.Duration) bool {
	f.advance(after)
	f.beat.Sequence++
	f.beat.Slots = 3 + f.Server().Slots%2
	f.Heartbeat(f.beat, nil)
	return f.Server().Slots == f.beat.Slots
}

// advance moves the clock by a time, with all ticks.
func (f *orderedForwarder) advance(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		f.clock.Advance(min(d, 100*time.Millisecond))
		f.Tick()
	}
}

// Incident 0017: after one heartbeat with an enormous sequence number all true ones counted as
// late, and the backend server as down until its next start.
func TestOddSequenceDoesNotSilenceTheBackendServer(t *testing.T) {
	f := newOrderedForwarder(t)
	require.True(t, f.sendNext(0))
	odd := f.beat
	odd.Sequence = math.MaxInt64
	f.advance(500 * time.Millisecond)
	f.Heartbeat(odd, nil)
	for range 3 {
		require.False(t, f.sendNext(900*time.Millisecond))
		require.True(t, f.Server().Up())
	}
	require.True(t, f.sendNext(900*time.Millisecond))
	for range 5 {
		require.True(t, f.Server().Up(), "it must not count as down in between")
		require.True(t, f.sendNext(900*time.Millisecond))
	}
}

// A clock that was ahead when a backend server started, and is right when it starts again,
// made the new start seem older than the former one for ever. The new start is used once the
// keys of the former one have ended.
func TestStartThatSeemsOlderIsUsedInTheEnd(t *testing.T) {
	f := newOrderedForwarder(t)
	require.True(t, f.sendNext(0))
	former := f.clock.Now()
	f.beat.StartedAtMillis, f.beat.Sequence = 50, 0
	for !f.sendNext(900 * time.Millisecond) {
		require.Less(t, f.clock.Now().Sub(former), 10*time.Second)
	}
	require.Greater(t, f.clock.Now().Sub(former), 4*time.Second+f.granter.LongestHold())
	require.Equal(t, int64(50), f.Server().StartedAtMillis)
	require.True(t, f.Server().Up())
}

// Heartbeats that were held up by a partition arrive together, long after their sender has
// ended, or between those of the next start. They change nothing.
func TestHeartbeatsThatWereHeldUpChangeNothing(t *testing.T) {
	for name, change := range map[string]func(*descriptor.Heartbeat){
		"of a former start": func(h *descriptor.Heartbeat) { h.StartedAtMillis = 50 },
		"of this start":     func(h *descriptor.Heartbeat) { h.Sequence -= 100 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newOrderedForwarder(t)
			require.True(t, f.sendNext(0))
			current := f.beat
			f.beat.Sequence += 50
			change(&f.beat)
			for range 10 { // between those of the current start
				require.False(t, f.sendNext(900*time.Millisecond))
				current.Sequence++
				f.Heartbeat(current, nil)
			}
			f.advance(time.Minute) // its sender has ended
			require.False(t, f.Server().Up())
			require.False(t, f.sendNext(0))
			require.False(t, f.sendNext(0))
			require.Equal(t, current.StartedAtMillis, f.Server().StartedAtMillis)
			require.False(t, f.Server().Up())
		})
	}
}
