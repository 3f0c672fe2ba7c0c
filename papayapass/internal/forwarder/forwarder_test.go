package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/admitter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// fakeCodec uses short header names.
type fakeCodec struct{ dispatcher.HeaderCodec }

func (fakeCodec) RequestID(h http.Header) string               { return h.Get("Id") }
func (fakeCodec) MatchesRequest(h http.Header, id string) bool { return h.Get("Id") == id }
func (fakeCodec) Signed(h http.Header) bool                    { return h.Get("Seal") != "" }
func (fakeCodec) NotRun(_ int, h http.Header) bool             { return h.Get("Not-Run") != "" }
func (fakeCodec) SetRequestHeaders(h http.Header, server, caller string, left time.Duration) {
	h.Set("Server", server)
	h.Set("Caller", caller)
	h.Set("Left", left.String())
}

// fakeNode is the rest of a node.
type fakeNode struct {
	cfg     *descriptor.Configuration
	zoneOut bool
	kicks   atomic.Int32
}

func (n *fakeNode) Configuration() *descriptor.Configuration { return n.cfg }
func (n *fakeNode) ZoneOut(bool) bool                        { return n.zoneOut }
func (n *fakeNode) TriggerHeartbeat()                        { n.kicks.Add(1) }

// testForwarder is a forwarder with a real backend server on loopback.
type testForwarder struct {
	*Forwarder

	node    *fakeNode
	granter *granter.Granter
	clock   timer.BootClock
}

func newTestForwarder(t *testing.T, handler http.HandlerFunc) *testForwarder {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	b := &testForwarder{node: &fakeNode{cfg: &descriptor.Configuration{Services: map[string]descriptor.Service{"permits": {Divided: true, WarmUpRate: 18}, "records": {}}}}}
	b.granter = granter.NewGranter("node-1", 10*time.Second, b.clock.Now().Add(-time.Minute))
	b.Forwarder = NewForwarder(strings.TrimPrefix(s.URL, "http://"), "records", time.Second, fakeCodec{}, b.clock, b.granter, b.node, &tracer.Tracer{}, zerolog.Nop())
	require.True(t, b.Heartbeat(b.heartbeat()))
	return b
}

func (b *testForwarder) heartbeat() descriptor.Heartbeat {
	return descriptor.Heartbeat{ID: "server-1", Service: b.service, Address: b.address, Slots: 2, Sequence: 5, StartedAtMillis: 10}
}

func (b *testForwarder) call(idempotent bool) *dispatcher.Call {
	return &dispatcher.Call{
		ID: "1", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Service: b.service,
		Idempotent: idempotent, Objective: time.Second, Caller: "caller", Deadline: b.clock.Now().Add(2 * time.Second),
	}
}

func answer(status int, header map[string]string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	}
}

func TestInterpretResponse(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    dispatcher.Outcome
	}{
		"signed success":              {answer(200, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"unsigned success":            {answer(200, nil), dispatcher.Unknown},
		"encoded body":                {answer(200, map[string]string{"Seal": "s", "Content-Encoding": "gzip"}), dispatcher.Unknown},
		"server failure":              {answer(500, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"marked as not run":           {answer(503, map[string]string{"Not-Run": "1"}), dispatcher.NotRun},
		"unmarked 503":                {answer(503, nil), dispatcher.Answered},
		"response to another request": {answer(200, map[string]string{"Seal": "s", "Id": "other"}), dispatcher.Unknown},
		"no response": {func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.Close()
			}
		}, dispatcher.Unknown},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestForwarder(t, tt.handler)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r := b.Serve(ctx, b.call(true))
			require.Equal(t, tt.want, r.Outcome)
			require.True(t, r.Sent)
			running, waiting := b.Load()
			require.Zero(t, running+waiting, "the slot must be free again")
		})
	}
}

func TestRequestHeadersNameServerCallerAndTime(t *testing.T) {
	var got http.Header
	b := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		answer(200, map[string]string{"Seal": "s"})(w, r)
	})
	b.Serve(context.Background(), b.call(true))
	require.Equal(t, "server-1", got.Get("Server"))
	require.Equal(t, "caller", got.Get("Caller"))
	left, err := time.ParseDuration(got.Get("Left"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 2*time.Second)
}

// An idempotent request ends when its customer disconnects; one that must not run twice
// goes on.
func TestCustomerDisconnects(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan bool, 1)
			b := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
				close(began)
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(300 * time.Millisecond):
					ended <- false
					answer(200, map[string]string{"Seal": "s"})(w, r)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-began
				cancel()
			}()
			b.Serve(ctx, b.call(idempotent))
			require.Equal(t, idempotent, <-ended)
		})
	}
}

func TestHeartbeats(t *testing.T) {
	cases := map[string]struct {
		change       func(*descriptor.Heartbeat)
		acknowledged bool
		server       string
		up           bool
	}{
		"next":                {func(h *descriptor.Heartbeat) { h.Sequence++ }, true, "server-1", true},
		"draining":            {func(h *descriptor.Heartbeat) { h.Sequence++; h.Draining = true }, true, "server-1", false},
		"late":                {func(h *descriptor.Heartbeat) { h.Sequence--; h.Draining = true }, true, "server-1", true},
		"earlier start":       {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-0", 9, 50 }, false, "server-1", true},
		"next start":          {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-2", 11, 1 }, true, "server-2", true},
		"next start, same id": {func(h *descriptor.Heartbeat) { h.StartedAtMillis, h.Sequence = 11, 1 }, true, "server-1", true},
		"other service":       {func(h *descriptor.Heartbeat) { h.Service = "other" }, false, "server-1", true},
		"other address":       {func(h *descriptor.Heartbeat) { h.Address = "10.0.0.1:1" }, false, "server-1", true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestForwarder(t, answer(200, nil))
			h := b.heartbeat()
			tt.change(&h)
			require.Equal(t, tt.acknowledged, b.Heartbeat(h))
			require.Equal(t, tt.server, b.Server().ID)
			require.Equal(t, tt.up, b.Server().Up())
		})
	}
}

func TestRejectedCalls(t *testing.T) {
	cases := map[string]struct {
		arrange func(*testForwarder)
		want    dispatcher.Reason
	}{
		"after a drain": {func(b *testForwarder) {
			h := b.heartbeat()
			h.Sequence, h.Draining = 6, true
			b.Heartbeat(h)
		}, dispatcher.ReasonNoServer},
		"after a leave":       {func(b *testForwarder) { b.Leave("server-1") }, dispatcher.ReasonNoServer},
		"in a zone taken out": {func(b *testForwarder) { b.node.zoneOut = true }, dispatcher.ReasonZoneOut},
		"at a stopping node": {func(b *testForwarder) {
			b.Stop()
			b.mu.Lock()
			b.stoppedAt = b.stoppedAt.Add(-sharedStopDelay - time.Millisecond)
			b.mu.Unlock()
		}, dispatcher.ReasonStopping},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestForwarder(t, answer(200, map[string]string{"Seal": "s"}))
			tt.arrange(b)
			r := b.Serve(context.Background(), b.call(true))
			require.Equal(t, dispatcher.NotRun, r.Outcome)
			require.Equal(t, tt.want, r.Reason)
			require.False(t, r.Sent)
		})
	}
}

func TestLeaveOfEarlierStartIsIgnored(t *testing.T) {
	b := newTestForwarder(t, answer(200, nil))
	b.Leave("server-0")
	require.True(t, b.Server().Up())
}

// After a loss of all power the backend server is cold, and its heartbeat arrives before
// the node has the configuration (FAILBACK on trouble-1).
func TestWarmUpOutlastsMissingConfiguration(t *testing.T) {
	b := newTestForwarder(t, answer(200, nil))
	cfg := b.node.cfg
	b.node.cfg = nil
	h := b.heartbeat()
	h.Sequence, h.WarmUpRemaining = 6, 3*time.Second
	require.True(t, b.Heartbeat(h))
	b.node.cfg = cfg
	b.ApplyConfiguration()
	var heartbeat overseer.Heartbeat
	b.FillHeartbeat(&heartbeat)
	require.True(t, heartbeat.Cold)
}

// A zone returns, and its backend servers became cold just before: their last heartbeats
// do not show that yet.
func TestWarmUpAssumedAfterZoneReturns(t *testing.T) {
	b := newTestForwarder(t, answer(200, nil))
	var heartbeat overseer.Heartbeat
	b.FillLoad(&heartbeat)
	require.False(t, heartbeat.Cold)
	b.ZoneReturned()
	b.FillLoad(&heartbeat)
	require.True(t, heartbeat.Cold)
	h := b.heartbeat()
	h.Sequence++
	b.Heartbeat(h)
	b.FillLoad(&heartbeat)
	require.False(t, heartbeat.Cold, "the next heartbeat ends the assumption")
}

func TestKeysNotOwnedAreRejected(t *testing.T) {
	b := newTestForwarder(t, answer(200, map[string]string{"Seal": "s"}))
	b.service = "permits"
	h := b.heartbeat()
	h.Sequence, h.Service = 6, "permits"
	require.True(t, b.Heartbeat(h))
	c := b.call(true)
	c.Divided, c.Key = true, 500
	require.Equal(t, dispatcher.ReasonNotOwner, b.Serve(context.Background(), c).Reason)

	table := &partitioner.Table{Epoch: 1, Version: 1, Divisions: []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{
		{First: 0, Last: 999, Owner: "node-1", Server: "server-1", ServerStartedAtMillis: 10, Token: 3},
	}}}}
	now := b.clock.Now()
	b.granter.SetLease(now.Add(time.Minute))
	b.granter.SetTable(table)
	require.Equal(t, dispatcher.ReasonNotHeld, b.Serve(context.Background(), c).Reason, "owned but not granted")
	for _, g := range b.granter.DueCalls(now) {
		b.granter.HandleResult(g, granter.Done, "", now)
	}
	require.Equal(t, dispatcher.Answered, b.Serve(context.Background(), c).Outcome)
}

func TestServerWithoutHeartbeatsIsDown(t *testing.T) {
	b := newTestForwarder(t, answer(200, nil))
	b.mu.Lock()
	b.lastHeartbeatAt = b.lastHeartbeatAt.Add(-maxMissedHeartbeats*time.Second - time.Millisecond)
	b.started = b.lastHeartbeatAt
	b.mu.Unlock()
	b.Tick()
	require.False(t, b.Server().Up())
	require.Positive(t, b.node.kicks.Load())
	h := b.heartbeat()
	h.Sequence++
	b.Heartbeat(h)
	require.True(t, b.Server().Up())
}

// Demand for a range of keys is three times what its owner sustains. The coordinator must
// get the whole demand, not only the work that ran.
func TestRejectedWorkIsReported(t *testing.T) {
	for name, tt := range map[string]struct {
		cold bool
		want float64
	}{"warm": {false, 0.2}, "cold": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			b := newTestForwarder(t, answer(200, nil))
			now := b.clock.Now()
			ran, _, _ := b.admitter.Offer(admitter.Request{Kind: "status"}, now, false)
			b.admitter.Done(ran, true, now.Add(100*time.Millisecond))
			if tt.cold {
				b.admitter.SetCold(now.Add(time.Hour), 10)
			}
			c := &dispatcher.Call{Route: "status", Divided: true, Key: 7}
			b.addRejectedWork(c)
			b.addRejectedWork(c)
			var heartbeat overseer.Heartbeat
			b.FillHeartbeat(&heartbeat)
			sum := 0.0
			for _, w := range heartbeat.Work {
				require.Equal(t, uint16(7), w.Key)
				sum += float64(w.Work)
			}
			require.InDelta(t, tt.want, sum, 1e-6)
		})
	}
}

// After a loss of all power, or when the backend server has become slow, requests take
// longer than their routes allow for seconds and end with 504. The admitter must measure
// this, or it keeps queueing requests that cannot finish in time.
func TestTimedOutWorkIsMeasured(t *testing.T) {
	const timeout = 60 * time.Millisecond
	b := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(timeout)
		answer(http.StatusGatewayTimeout, map[string]string{"Seal": "s"})(w, r)
	})
	c := b.call(true)
	c.Route, c.Deadline = "status", b.clock.Now().Add(timeout)
	require.Equal(t, dispatcher.Answered, b.Serve(context.Background(), c).Outcome)
	require.GreaterOrEqual(t, b.admitter.Expected("status"), timeout*9/10)
}
