package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/shared/descriptor"
)

// newKeyedForwarder returns a forwarder of a divided service whose node has a lease.
func newKeyedForwarder(t *testing.T) *testForwarder {
	t.Helper()
	f := newTestForwarder(t, respond(200, map[string]string{"Seal": "s"}))
	f.service = "permits"
	h := f.heartbeat()
	h.Sequence, h.Service = 6, "permits"
	_, ok := f.Heartbeat(h, nil)
	require.True(t, ok)
	f.granter.SetLease(f.clock.Now().Add(time.Minute))
	return f
}

// setOwner sets a table with one range, by its owner and next owner.
func (f *testForwarder) setOwner(version uint64, owner, next partitioner.NodeID) {
	r := partitioner.Range{First: 0, Last: 999, Owner: owner, NextOwner: next, Server: "server-1", ServerStartedAtMillis: 10, Token: version}
	f.granter.SetTable(&partitioner.Table{Epoch: 1, Version: version, Divisions: []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{r}}}}, f.clock.Now())
}

func (f *testForwarder) keyedCall(left time.Duration) *dispatcher.Call {
	c := f.call(true)
	c.Divided, c.Key, c.Deadline = true, 500, f.clock.Now().Add(left)
	return c
}

// A key moves to this node (requests that asked 28 nodes in 0.8 s on the large site). The
// call waits here until the former owner has released the key and the backend server holds
// it.
func TestCallWaitsForAKeyThatArrives(t *testing.T) {
	f := newKeyedForwarder(t)
	f.setOwner(3, "node-2", "node-1")
	results := make(chan dispatcher.Result, 1)
	go func() { results <- f.Serve(context.Background(), f.keyedCall(time.Minute)) }()
	f.setOwner(4, "node-1", "")
	now := f.clock.Now()
	for _, g := range f.granter.DueCalls(now) {
		f.granter.HandleResult(g, granter.Done, "", now)
	}
	require.Equal(t, dispatcher.Answered, (<-results).Outcome)
}

// The next heartbeat, and with it the key, comes too late for a call. It is rejected at
// once and told when the key is expected.
func TestCallWithoutTimeForItsKeyIsRejected(t *testing.T) {
	f := newKeyedForwarder(t)
	f.granter.SetMethod(descriptor.GrantByHeartbeat)
	f.granter.HandleHeartbeat(7, &descriptor.KeyListing{}, f.clock.Now())
	f.setOwner(3, "node-1", "")
	r := f.Serve(context.Background(), f.keyedCall(200*time.Millisecond))
	require.Equal(t, dispatcher.ReasonNotHeld, r.Reason)
	require.Greater(t, r.Retry, 200*time.Millisecond)

	f.setOwner(4, "node-2", "node-1")
	r = f.Serve(context.Background(), f.keyedCall(200*time.Millisecond))
	require.Equal(t, dispatcher.ReasonNotHeld, r.Reason)
	require.Greater(t, r.Retry, 200*time.Millisecond, "a key on the move")

	f.setOwner(5, "node-2", "node-3")
	require.Equal(t, dispatcher.ReasonNotOwner, f.Serve(context.Background(), f.keyedCall(time.Minute)).Reason)
}

// A backend server that is full resets connections, and an unsafe request that was sent has
// an unknown outcome then. In a burst of ten times what it bears, the node keeps to its
// slots: no outcome is unknown, and what did not fit is truly not run.
func TestBurstAtAServerThatResetsWhenFull(t *testing.T) {
	const slots, burst = 2, 40
	var running, resets atomic.Int32
	var mu sync.Mutex
	ran := make(map[string]bool)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) > slots {
			resets.Add(1)
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0) // close with a reset
				_ = c.Close()
			}
			running.Add(-1)
			return
		}
		defer running.Add(-1)
		mu.Lock()
		ran[r.Header.Get("Id")] = true
		mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
	}))
	s.Start()
	t.Cleanup(s.Close)
	f := newTestForwarder(t, nil)
	f.Forwarder = NewForwarder(strings.TrimPrefix(s.URL, "http://"), "records", time.Second, fakeCodec{}, f.clock, f.granter, f.node, f.tracer, f.logger)
	_, ok := f.Heartbeat(f.heartbeat(), nil)
	require.True(t, ok)
	results := make([]dispatcher.Result, burst)
	var wg sync.WaitGroup
	for i := range burst {
		c := f.call(false)
		c.ID = fmt.Sprint(i)
		c.Header = http.Header{"Id": {c.ID}}
		wg.Go(func() { results[i] = f.Serve(context.Background(), c) })
	}
	wg.Wait()
	require.Zero(t, resets.Load())
	for i, r := range results {
		require.NotEqual(t, dispatcher.Unknown, r.Outcome)
		require.Equal(t, r.Outcome == dispatcher.Answered, ran[fmt.Sprint(i)])
	}
}

// Bodies that arrive slowly must leave slots to other requests.
func TestLargeBodiesLeaveSlotsToOthers(t *testing.T) {
	f := newTestForwarder(t, func(http.ResponseWriter, *http.Request) {})
	require.True(t, f.takeStream())
	c := &dispatcher.Call{Service: "records", Stream: exchanger.NewStream(nil, http.NoBody, 0, func() {}, func() {}), Deadline: f.clock.Now().Add(time.Second)}
	res := f.Serve(context.Background(), c)
	require.Equal(t, dispatcher.NotRun, res.Outcome)
	require.Equal(t, dispatcher.ReasonFull, res.Reason)
	require.Positive(t, res.Retry)
}
