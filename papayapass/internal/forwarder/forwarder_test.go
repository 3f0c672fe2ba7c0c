package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
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
func (fakeCodec) Notice(h http.Header) (n descriptor.ServerNotice, err error) {
	n.Leaving = h.Get("Leaving") != ""
	if v := h.Get("Limit"); v != "" {
		n.Limited = true
		n.RateLimit, err = strconv.ParseFloat(v, 64)
	}
	return n, err
}

func (fakeCodec) SetCustomer(h http.Header, name string) { h.Set("Customer", name) }

func (fakeCodec) SetRequestHeaders(h http.Header, server, caller string, left time.Duration) {
	h.Set("Server", server)
	h.Set("Caller", caller)
	h.Set("Left", left.String())
}

// fakeNode is the rest of a node.
type fakeNode struct {
	cfg      *descriptor.Configuration
	zoneOut  atomic.Bool
	triggers atomic.Int32
}

func (n *fakeNode) Configuration() *descriptor.Configuration { return n.cfg }
func (n *fakeNode) ZoneOut(bool) bool                        { return n.zoneOut.Load() }
func (n *fakeNode) TriggerHeartbeat()                        { n.triggers.Add(1) }

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
	f := newTestForwarderAt(t, strings.TrimPrefix(s.URL, "http://"))
	_, ok := f.Heartbeat(f.heartbeat(), nil)
	require.True(t, ok)
	return f
}

// newTestForwarderAt returns a forwarder to a backend server that has sent no heartbeat.
func newTestForwarderAt(t *testing.T, address string) *testForwarder {
	t.Helper()
	f := &testForwarder{node: &fakeNode{cfg: &descriptor.Configuration{Services: map[string]descriptor.Service{"permits": {Divided: true, WarmUpRate: 18}, "records": {}}}}}
	f.granter = granter.NewGranter("node-1", 10*time.Second, f.clock.Now().Add(-time.Minute))
	f.Forwarder = NewForwarder(address, "records", time.Second, fakeCodec{}, f.clock, f.granter, f.node, &tracer.Tracer{}, zerolog.Nop())
	return f
}

func (f *testForwarder) heartbeat() descriptor.Heartbeat {
	return descriptor.Heartbeat{ID: "server-1", Service: f.service, Address: f.address, Slots: 2, Sequence: 5, StartedAtMillis: 10}
}

func (f *testForwarder) call(idempotent bool) *dispatcher.Call {
	return &dispatcher.Call{
		ID: "1", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Service: f.service,
		Idempotent: idempotent, Objective: time.Second, Caller: "caller", Deadline: f.clock.Now().Add(2 * time.Second),
	}
}

func respond(status int, header map[string]string) http.HandlerFunc {
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
		"signed success":              {respond(200, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"unsigned success":            {respond(200, nil), dispatcher.Unknown},
		"encoded body":                {respond(200, map[string]string{"Seal": "s", "Content-Encoding": "gzip"}), dispatcher.Unknown},
		"server failure":              {respond(500, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"marked as not run":           {respond(503, map[string]string{"Not-Run": "1"}), dispatcher.NotRun},
		"unmarked 503":                {respond(503, nil), dispatcher.Answered},
		"response to another request": {respond(200, map[string]string{"Seal": "s", "Id": "other"}), dispatcher.Unknown},
		"no response": {func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = c.Close()
			}
		}, dispatcher.Unknown},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t, tt.handler)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r := f.Serve(ctx, f.call(true))
			require.Equal(t, tt.want, r.Outcome)
			require.True(t, r.Sent)
			running, waiting := f.Load()
			require.Zero(t, running+waiting, "the slot must be free again")
		})
	}
}

func TestRequestHeadersNameServerCallerAndTime(t *testing.T) {
	var got http.Header
	f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		respond(200, map[string]string{"Seal": "s"})(w, r)
	})
	f.Serve(context.Background(), f.call(true))
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
			started, ended := make(chan struct{}), make(chan bool, 1)
			f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
				close(started)
				select {
				case <-r.Context().Done():
					ended <- true
				case <-time.After(300 * time.Millisecond):
					ended <- false
					respond(200, map[string]string{"Seal": "s"})(w, r)
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			f.Serve(ctx, f.call(idempotent))
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
		"next":           {func(h *descriptor.Heartbeat) { h.Sequence++ }, true, "server-1", true},
		"draining":       {func(h *descriptor.Heartbeat) { h.Sequence++; h.Draining = true }, true, "server-1", false},
		"late":           {func(h *descriptor.Heartbeat) { h.Sequence--; h.Slots = 9 }, true, "server-1", true},
		"late, draining": {func(h *descriptor.Heartbeat) { h.Sequence--; h.Draining = true }, true, "server-1", false},
		"earlier start":  {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-0", 9, 50 }, false, "server-1", true},
		"earlier, draining": {func(h *descriptor.Heartbeat) {
			h.ID, h.StartedAtMillis, h.Sequence, h.Draining = "server-0", 9, 50, true
		}, false, "server-1", true},
		"next start":          {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-2", 11, 1 }, true, "server-2", true},
		"next start, same id": {func(h *descriptor.Heartbeat) { h.StartedAtMillis, h.Sequence = 11, 1 }, true, "server-1", true},
		"other service":       {func(h *descriptor.Heartbeat) { h.Service = "other" }, false, "server-1", true},
		"other address":       {func(h *descriptor.Heartbeat) { h.Address = "10.0.0.1:1" }, false, "server-1", true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t, respond(200, nil))
			h := f.heartbeat()
			tt.change(&h)
			_, ok := f.Heartbeat(h, nil)
			require.Equal(t, tt.acknowledged, ok)
			require.Equal(t, tt.server, f.Server().ID)
			require.Equal(t, tt.up, f.Server().Up())
			require.Equal(t, 2, f.Server().Slots)
		})
	}
}

func TestRejectedCalls(t *testing.T) {
	cases := map[string]struct {
		arrange func(*testForwarder)
		want    dispatcher.Reason
	}{
		"after a drain": {func(f *testForwarder) {
			h := f.heartbeat()
			h.Sequence, h.Draining = 6, true
			f.Heartbeat(h, nil)
		}, dispatcher.ReasonNoServer},
		"after a leave":       {func(f *testForwarder) { f.Leave("server-1") }, dispatcher.ReasonNoServer},
		"in a zone taken out": {func(f *testForwarder) { f.node.zoneOut.Store(true) }, dispatcher.ReasonZoneOut},
		"at a stopping node": {func(f *testForwarder) {
			f.Stop()
			f.mu.Lock()
			f.stoppingSince = f.stoppingSince.Add(-sharedStopDelay - time.Millisecond)
			f.mu.Unlock()
		}, dispatcher.ReasonStopping},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t, respond(200, map[string]string{"Seal": "s"}))
			tt.arrange(f)
			r := f.Serve(context.Background(), f.call(true))
			require.Equal(t, dispatcher.NotRun, r.Outcome)
			require.Equal(t, tt.want, r.Reason)
			require.False(t, r.Sent)
		})
	}
}

func TestLeaveOfEarlierStartIsIgnored(t *testing.T) {
	f := newTestForwarder(t, respond(200, nil))
	f.Leave("server-0")
	require.True(t, f.Server().Up())
}

// After a loss of all power the backend server is cold, and its heartbeat arrives before
// the node has the configuration (FAILBACK on trouble-1).
func TestWarmUpOutlastsMissingConfiguration(t *testing.T) {
	f := newTestForwarder(t, respond(200, nil))
	cfg := f.node.cfg
	f.node.cfg = nil
	h := f.heartbeat()
	h.Sequence, h.WarmUpRemaining = 6, 3*time.Second
	_, ok := f.Heartbeat(h, nil)
	require.True(t, ok)
	f.node.cfg = cfg
	f.ApplyConfiguration()
	var heartbeat overseer.Heartbeat
	f.FillHeartbeat(&heartbeat)
	require.True(t, heartbeat.WarmingUp)
}

// A zone returns, and its backend servers became cold just before: their last heartbeats
// do not show that yet.
func TestWarmUpAssumedAfterZoneReturns(t *testing.T) {
	f := newTestForwarder(t, respond(200, nil))
	var heartbeat overseer.Heartbeat
	f.FillLoad(&heartbeat)
	require.False(t, heartbeat.WarmingUp)
	f.ZoneReturned()
	f.FillLoad(&heartbeat)
	require.True(t, heartbeat.WarmingUp)
	h := f.heartbeat()
	h.Sequence++
	f.Heartbeat(h, nil)
	f.FillLoad(&heartbeat)
	require.False(t, heartbeat.WarmingUp, "the next heartbeat ends the assumption")
}

func TestKeysNotOwnedAreRejected(t *testing.T) {
	f := newKeyedForwarder(t)
	c := f.call(true)
	c.Divided, c.Key = true, 500
	require.Equal(t, dispatcher.ReasonNotOwner, f.Serve(context.Background(), c).Reason)

	table := &partitioner.Table{Epoch: 1, Version: 1, Divisions: []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{
		{First: 0, Last: 999, Owner: "node-1", Server: "server-1", ServerStartedAtMillis: 10, Token: 3},
	}}}}
	now := f.clock.Now()
	f.granter.SetTable(table, now)
	require.Equal(t, dispatcher.ReasonNotHeld, f.Serve(context.Background(), c).Reason, "owned but not granted")
	for _, g := range f.granter.DueCalls(now) {
		f.granter.HandleResult(g, granter.Done, "", now)
	}
	require.Equal(t, dispatcher.Answered, f.Serve(context.Background(), c).Outcome)
}

func TestServerWithoutHeartbeatsIsDown(t *testing.T) {
	f := newTestForwarder(t, respond(200, nil))
	f.mu.Lock()
	f.lastHeartbeatAt = f.lastHeartbeatAt.Add(-maxMissedHeartbeats*time.Second - time.Millisecond)
	f.started = f.lastHeartbeatAt
	f.mu.Unlock()
	f.Tick()
	require.False(t, f.Server().Up())
	require.Positive(t, f.node.triggers.Load())
	h := f.heartbeat()
	h.Sequence++
	f.Heartbeat(h, nil)
	require.True(t, f.Server().Up())
}

// Demand for a range of keys is three times what its owner sustains. The coordinator must
// get the whole demand, not only the work that ran.
func TestRejectedWorkIsReported(t *testing.T) {
	for name, tt := range map[string]struct {
		cold bool
		want float64
	}{"warm": {false, 0.2}, "cold": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t, respond(200, nil))
			now := f.clock.Now()
			ran, _, _ := f.admitter.Offer(admitter.Request{Kind: "status"}, now, false)
			f.admitter.Done(ran, true, now.Add(100*time.Millisecond))
			if tt.cold {
				f.admitter.SetWarmUp(now.Add(time.Hour), 10)
			}
			c := &dispatcher.Call{Route: "status", Divided: true, Key: 7}
			f.addRejectedWork(c)
			f.addRejectedWork(c)
			var heartbeat overseer.Heartbeat
			f.FillHeartbeat(&heartbeat)
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
	f := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(timeout)
		respond(http.StatusGatewayTimeout, map[string]string{"Seal": "s"})(w, r)
	})
	c := f.call(true)
	c.Route, c.Deadline = "status", f.clock.Now().Add(timeout)
	require.Equal(t, dispatcher.Answered, f.Serve(context.Background(), c).Outcome)
	require.GreaterOrEqual(t, f.admitter.Expected("status", f.clock.Now()), timeout*9/10)
}
