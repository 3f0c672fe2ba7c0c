package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
)

// A suspected request that ends its backend server is quarantined, and the next heartbeat to
// the coordinator says so.
func TestSuspectThatEndsItsServerIsQuarantined(t *testing.T) {
	f := newTestForwarder(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	c := f.call(true)
	c.IsSuspect = true
	observed, reason := f.awaitVerdict(context.Background(), c)
	require.True(t, observed)
	require.Empty(t, reason)
	f.recordRun(c, observed, dispatcher.Result{Outcome: dispatcher.Unknown, Sent: true, ServerEnded: true})

	res := f.Serve(context.Background(), f.call(true))
	require.Equal(t, dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonQuarantined, Notice: res.Notice}, res)
	var h overseer.Heartbeat
	f.FillHeartbeat(&h)
	require.Equal(t, []partitioner.Suspect{{Fingerprint: uint64(c.Fingerprint()), State: partitioner.Quarantined}}, h.Suspects)
}

// A connection that is closed under a request makes no suspect of it while the server goes on.
func TestDisconnectAloneIsNoSuspicion(t *testing.T) {
	f := newTestForwarder(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	res := f.Serve(context.Background(), f.call(true))
	require.True(t, res.Disconnected)
	require.False(t, res.ServerEnded)
	require.False(t, f.quarantine.IsActive())
}

// Only one of several suspected requests runs at a time; its success frees the others.
func TestSuspectsWaitForEachOther(t *testing.T) {
	var running, most atomic.Int32
	f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		time.Sleep(10 * time.Millisecond)
		respond(http.StatusOK, map[string]string{"Seal": "s"})(w, r)
	})
	f.quarantine.Suspect(uint64(f.call(true).Fingerprint()))
	const calls = 2 // the backend server's slots
	results := make(chan dispatcher.Result, calls)
	for range calls {
		go func() {
			c := f.call(true)
			c.IsSuspect = true
			results <- f.Serve(context.Background(), c)
		}()
	}
	for range calls {
		require.Equal(t, dispatcher.Answered, (<-results).Outcome)
	}
	require.EqualValues(t, 1, most.Load())
	require.False(t, f.quarantine.IsActive(), "the success clears the suspicion")
}

// A suspected request that waits for another one is rejected at its deadline.
func TestWaitingSuspectIsRejectedAtItsDeadline(t *testing.T) {
	f := newTestForwarder(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "") })
	c := f.call(true)
	f.quarantine.Admit(uint64(c.Fingerprint()), true)
	c.Deadline = f.clock.Now().Add(20 * time.Millisecond)
	res := f.Serve(context.Background(), c)
	require.Equal(t, dispatcher.NotRun, res.Outcome)
	require.Equal(t, dispatcher.ReasonDeadline, res.Reason)
}

// A request became suspected or quarantined while an equal one waited for a slot, and that one
// started unobserved.
func TestCallThatWaitedForASlotIsJudgedAgain(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*testForwarder, uint64)
		want   dispatcher.Reason
	}{
		"quarantined": {func(f *testForwarder, fingerprint uint64) {
			f.quarantine.Merge([]partitioner.Suspect{{Fingerprint: fingerprint, State: partitioner.Quarantined}})
		}, dispatcher.ReasonQuarantined},
		"suspected, and an equal one runs": {func(f *testForwarder, fingerprint uint64) { f.quarantine.Admit(fingerprint, true) }, dispatcher.ReasonCanceled},
	} {
		t.Run(name, func(t *testing.T) {
			started, goOn := make(chan struct{}, 2), make(chan struct{})
			f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-goOn
				respond(http.StatusOK, map[string]string{"Seal": "s"})(w, r)
			})
			h := f.heartbeat()
			h.Sequence, h.Slots = 6, 1
			f.Heartbeat(h, nil)
			other, c := f.call(true), f.call(true)
			other.URI = "/other"
			first, second := make(chan dispatcher.Result, 1), make(chan dispatcher.Result, 1)
			go func() { first <- f.Serve(context.Background(), other) }()
			<-started
			canceled, cancel := context.WithCancel(context.Background())
			defer cancel()
			ctx := waitingContext{canceled, make(chan struct{}, 1)}
			go func() { second <- f.Serve(ctx, c) }()
			<-ctx.waits
			tt.change(f, uint64(c.Fingerprint()))
			close(goOn)
			require.Equal(t, dispatcher.Answered, (<-first).Outcome)
			if tt.want == dispatcher.ReasonCanceled {
				<-ctx.waits // it waits for the equal one now
				cancel()
			}
			res := <-second
			require.Equal(t, tt.want, res.Reason)
			require.False(t, res.Sent)
		})
	}
}
