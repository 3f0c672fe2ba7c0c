package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
)

// waitingContext tells when something begins to wait for its end.
type waitingContext struct {
	context.Context

	waits chan struct{}
}

func (c waitingContext) Done() <-chan struct{} {
	select {
	case c.waits <- struct{}{}:
	default:
	}
	return c.Context.Done()
}

// Incident 0021: a call that had waited for the run of an equal one, or for a slot, reached a
// backend server that had left meanwhile.
func TestCallThatWaitedIsCheckedBeforeItStarts(t *testing.T) {
	waits := map[string]func(f *testForwarder, c *dispatcher.Call){
		"for a verdict": func(f *testForwarder, c *dispatcher.Call) { f.quarantine.Suspect(uint64(c.Fingerprint())) },
		"for a slot": func(f *testForwarder, _ *dispatcher.Call) {
			h := f.heartbeat()
			h.Sequence, h.Slots = 6, 1
			f.Heartbeat(h, nil)
		},
	}
	changes := map[string]struct {
		change func(*testForwarder)
		want   dispatcher.Reason
	}{
		"drain": {func(f *testForwarder) {
			h := f.heartbeat()
			h.Sequence, h.Draining = 7, true
			f.Heartbeat(h, nil)
		}, dispatcher.ReasonNoServer},
		"notice":   {func(f *testForwarder) { f.Leave("server-1") }, dispatcher.ReasonNoServer},
		"zone out": {func(f *testForwarder) { f.node.zoneOut.Store(true) }, dispatcher.ReasonZoneOut},
		"stop": {func(f *testForwarder) {
			f.Stop()
			f.mu.Lock()
			f.stoppingSince = f.stoppingSince.Add(-sharedStopDelay - time.Millisecond)
			f.mu.Unlock()
		}, dispatcher.ReasonStopping},
	}
	for waitName, arrange := range waits {
		for name, tt := range changes {
			t.Run(name+" during a wait "+waitName, func(t *testing.T) {
				started, goOn := make(chan struct{}, 2), make(chan struct{})
				f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
					started <- struct{}{}
					<-goOn
					respond(http.StatusOK, map[string]string{"Seal": "s"})(w, r)
				})
				arrange(f, f.call(true))
				first, second := make(chan dispatcher.Result, 1), make(chan dispatcher.Result, 1)
				go func() { first <- f.Serve(context.Background(), f.call(true)) }()
				<-started
				ctx := waitingContext{context.Background(), make(chan struct{}, 1)}
				go func() { second <- f.Serve(ctx, f.call(true)) }()
				<-ctx.waits
				tt.change(f)
				close(goOn)
				require.Equal(t, dispatcher.Answered, (<-first).Outcome)
				res := <-second
				require.Equal(t, dispatcher.NotRun, res.Outcome)
				require.Equal(t, tt.want, res.Reason)
				require.False(t, res.Sent)
				require.Empty(t, started)
				running, waiting := f.Load()
				require.Zero(t, running+waiting, "the slot must be free again")
			})
		}
	}
}
