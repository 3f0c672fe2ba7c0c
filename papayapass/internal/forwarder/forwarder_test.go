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

// fakeCodec has short names for what backend servers say.
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

// testForwarder is an attendant with a real backend server on loopback.
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

func TestWhatAnAnswerMeans(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		want    dispatcher.Outcome
	}{
		"a sealed success":       {answer(200, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"a success, unsealed":    {answer(200, nil), dispatcher.Unknown},
		"an encoded body":        {answer(200, map[string]string{"Seal": "s", "Content-Encoding": "gzip"}), dispatcher.Unknown},
		"the server's failure":   {answer(500, map[string]string{"Seal": "s"}), dispatcher.Answered},
		"stated not to have run": {answer(503, map[string]string{"Not-Run": "1"}), dispatcher.NotRun},
		"an unmarked refusal":    {answer(503, nil), dispatcher.Answered},
		"another's answer":       {answer(200, map[string]string{"Seal": "s", "Id": "other"}), dispatcher.Unknown},
		"no answer": {func(w http.ResponseWriter, _ *http.Request) {
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
			require.Zero(t, running+waiting, "its slot is free again")
		})
	}
}

func TestTheServerIsToldWhoAndHowLong(t *testing.T) {
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

// Work that may be repeated ends when its customer leaves; what may not does not.
func TestCustomersThatLeave(t *testing.T) {
	for name, idempotent := range map[string]bool{"safe": true, "at most once": false} {
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
		change func(*descriptor.Heartbeat)
		acked  bool
		server string
		up     bool
	}{
		"the next":                {func(h *descriptor.Heartbeat) { h.Sequence++ }, true, "server-1", true},
		"draining":                {func(h *descriptor.Heartbeat) { h.Sequence++; h.Draining = true }, true, "server-1", false},
		"a late one":              {func(h *descriptor.Heartbeat) { h.Sequence--; h.Draining = true }, true, "server-1", true},
		"of an earlier life":      {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-0", 9, 50 }, false, "server-1", true},
		"of the next life":        {func(h *descriptor.Heartbeat) { h.ID, h.StartedAtMillis, h.Sequence = "server-2", 11, 1 }, true, "server-2", true},
		"of a life with the name": {func(h *descriptor.Heartbeat) { h.StartedAtMillis, h.Sequence = 11, 1 }, true, "server-1", true},
		"of another service":      {func(h *descriptor.Heartbeat) { h.Service = "other" }, false, "server-1", true},
		"of another address":      {func(h *descriptor.Heartbeat) { h.Address = "10.0.0.1:1" }, false, "server-1", true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newTestForwarder(t, answer(200, nil))
			h := b.heartbeat()
			tt.change(&h)
			require.Equal(t, tt.acked, b.Heartbeat(h))
			require.Equal(t, tt.server, b.Server().ID)
			require.Equal(t, tt.up, b.Server().Up())
		})
	}
}

func TestWhatIsNotServed(t *testing.T) {
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

func TestALeaveOfAnEarlierLifeIsIgnored(t *testing.T) {
	b := newTestForwarder(t, answer(200, nil))
	b.Leave("server-0")
	require.True(t, b.Server().Up())
}

// All power is lost: the backend server is cold, and its heartbeat comes before the
// node knows the configuration (FAILBACK on trouble-1).
func TestColdnessOutlivesAMissingConfiguration(t *testing.T) {
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

// A zone comes back; its backend servers became cold just before, and their last
// heartbeats do not say so yet.
func TestAfterAZonesReturnColdnessIsAssumed(t *testing.T) {
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
	require.False(t, heartbeat.Cold, "its own word counts again")
}

func TestKeysThatAreNotOwnedAreRefused(t *testing.T) {
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
	require.Equal(t, dispatcher.ReasonNotHeld, b.Serve(context.Background(), c).Reason, "owned, not granted")
	for _, g := range b.granter.DueCalls(now) {
		b.granter.HandleResult(g, granter.Done, "", now)
	}
	require.Equal(t, dispatcher.Answered, b.Serve(context.Background(), c).Outcome)
}

func TestASilentServerIsDown(t *testing.T) {
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

// A stretch of keys is asked for thrice as much as its owner bears: the coordinator is
// told of all of it, not of what ran.
func TestRefusedWorkIsReported(t *testing.T) {
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

// All power was lost, or the backend server has become slow: for seconds, work takes
// longer than its routes allow and ends with 504. The admitter must know, or it goes on
// to queue what cannot end in time.
func TestWorkThatRunsOutOfTimeIsMeasured(t *testing.T) {
	const allowed = 60 * time.Millisecond
	b := newTestForwarder(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(allowed)
		answer(http.StatusGatewayTimeout, map[string]string{"Seal": "s"})(w, r)
	})
	c := b.call(true)
	c.Route, c.Deadline = "status", b.clock.Now().Add(allowed)
	require.Equal(t, dispatcher.Answered, b.Serve(context.Background(), c).Outcome)
	require.GreaterOrEqual(t, b.admitter.Expected("status"), allowed*9/10)
}
