package dispatcher

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// fakeCodec reads plain headers.
type fakeCodec struct{ HeaderCodec }

func (fakeCodec) RequestID(h http.Header) string { return h.Get("Id") }

func (fakeCodec) Deadline(h http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(h.Get("Wait"))
	return d, err == nil
}

func (fakeCodec) Key(h http.Header) (uint16, bool) {
	return 7, h.Get("Key") != ""
}

func (fakeCodec) CustomerKey(h http.Header) (string, bool) {
	return h.Get("Customer-Key"), len(h["Customer-Key"]) <= 1
}

func (fakeCodec) RemoveCustomer(h http.Header) {
	h.Del("Customer-Key")
	h.Del("Customer")
}

// fakeServer returns its results in order, then repeats the last one.
type fakeServer struct {
	results []Result
	calls   []Call
}

func (f *fakeServer) Serve(_ context.Context, c *Call) Result {
	f.calls = append(f.calls, *c)
	r := f.results[0]
	if len(f.results) > 1 {
		f.results = f.results[1:]
	}
	return r
}

// fakeCluster chooses servers in a fixed order.
type fakeCluster struct {
	cfg     *descriptor.Configuration
	order   []partitioner.NodeID
	servers map[partitioner.NodeID]*fakeServer
	budget  int
	// quarantined is set if all calls are quarantined.
	quarantined bool
	fresh       Freshness
	// counted is the number of requests in the retry budget.
	counted int
}

func (c *fakeCluster) Configuration() *descriptor.Configuration { return c.cfg }

func (c *fakeCluster) ConfigurationFreshness() Freshness { return c.fresh }

func (c *fakeCluster) Choose(_ *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	for _, id := range c.order {
		if !tried[id] {
			return c.servers[id], id, ReasonNone
		}
	}
	return nil, "", ReasonNoServer
}

func (c *fakeCluster) Server(id partitioner.NodeID) Server { return c.servers[id] }

func (c *fakeCluster) IsQuarantined(*Call) bool { return c.quarantined }

func (c *fakeCluster) AllowRetry(string, bool) bool {
	c.budget--
	return c.budget >= 0
}

func (c *fakeCluster) CountRequest(string) { c.counted++ }

var testEnveloper = enveloper.NewEnveloper(`{"id":"","method":"GET"}`)

type fakeCounter struct{}

func (fakeCounter) ObserveRequest(string, string, string, int, time.Duration) {}

func ok200() Result {
	return Result{Outcome: Answered, Sent: true, Response: &exchanger.Response{Status: http.StatusOK, Header: http.Header{"Id": {"1"}}, Body: []byte("ok")}}
}

func status(code int) Result {
	return Result{Outcome: Answered, Sent: true, Response: &exchanger.Response{Status: code, Header: http.Header{}}}
}

func notRun(r Reason) Result { return Result{Outcome: NotRun, Reason: r} }

var (
	unknown = Result{Outcome: Unknown, Reason: ReasonBroken, Sent: true}
	shed    = Result{Outcome: NotRun, Reason: ReasonShed, Sent: true}
)

func testConfiguration() *descriptor.Configuration {
	c := &descriptor.Configuration{
		Version: 1, Limits: descriptor.Limits{BodyBytes: 16},
		Services: map[string]descriptor.Service{"permits": {Divided: true}, "records": {}},
	}
	for _, r := range []descriptor.Route{
		{Name: "read", Prefix: "/read/", Idempotent: true, Targets: []descriptor.Target{{Service: "records", Weight: 1}}},
		{Name: "write", Prefix: "/write/", Targets: []descriptor.Target{{Service: "records", Weight: 1}}},
		{Name: "keyed", Prefix: "/keyed/", Idempotent: true, Targets: []descriptor.Target{{Service: "permits", Weight: 1}}},
	} {
		r.Host, r.Timeout, r.Objective, r.Attempts = "h", time.Second, 200*time.Millisecond, 2
		c.Routes = append(c.Routes, r)
	}
	c.BuildIndex()
	return c
}

func serveRequest(cluster Cluster, method, path, body string, header http.Header) *httptest.ResponseRecorder {
	d := NewDispatcher(cluster, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host, r.RequestURI = "h", path
	for name, values := range header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	return w
}

// The outcome of a request, by the results of its servers.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		path   string
		a, b   []Result
		budget int
		status int
		callsA int
		callsB int
	}{
		"answered":                                      {"/read/x", []Result{ok200()}, nil, 9, 200, 1, 0},
		"idempotent request is retried":                 {"/read/x", []Result{unknown}, []Result{ok200()}, 9, 200, 1, 1},
		"not without retry budget":                      {"/read/x", []Result{unknown}, []Result{ok200()}, 0, 502, 1, 0},
		"not beyond the attempts of its route":          {"/read/x", []Result{unknown}, []Result{unknown}, 9, 502, 1, 1},
		"not if it may have run":                        {"/write/x", []Result{unknown}, []Result{ok200()}, 9, 502, 1, 0},
		"shed request is retried":                       {"/write/x", []Result{shed}, []Result{ok200()}, 9, 200, 1, 1},
		"shed by all servers":                           {"/write/x", []Result{shed}, []Result{shed}, 9, 503, 1, 1},
		"not run after it may have run":                 {"/read/x", []Result{unknown}, []Result{notRun(ReasonNoServer)}, 9, 502, 1, 1},
		"failure is retried":                            {"/read/x", []Result{status(500)}, []Result{ok200()}, 9, 200, 1, 1},
		"failure is forwarded without a retry":          {"/write/x", []Result{status(500)}, []Result{ok200()}, 9, 500, 1, 0},
		"failure is forwarded if the retry is rejected": {"/read/x", []Result{status(500)}, []Result{notRun(ReasonFull)}, 9, 500, 1, 1},
		"no server reachable":                           {"/write/x", []Result{notRun(ReasonUnreachable)}, []Result{notRun(ReasonUnreachable)}, 9, 503, 1, 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := &fakeServer{results: tt.a}, &fakeServer{results: tt.b}
			v := &fakeCluster{cfg: testConfiguration(), order: []partitioner.NodeID{"a", "b"}, budget: tt.budget, servers: map[partitioner.NodeID]*fakeServer{"a": a, "b": b}}
			w := serveRequest(v, http.MethodPost, tt.path, "", nil)
			require.Equal(t, tt.status, w.Code)
			require.Len(t, a.calls, tt.callsA)
			require.Len(t, b.calls, tt.callsB)
			require.Equal(t, tt.status == 503, w.Header().Get("Retry-After") != "")
		})
	}
}

// cancelingServer ends the request's context and rejects the call.
type cancelingServer struct{ cancel context.CancelFunc }

func (s cancelingServer) Serve(context.Context, *Call) Result {
	s.cancel()
	return notRun(ReasonCanceled)
}

// cancelingCluster chooses first, then the server that ends the request's context.
type cancelingCluster struct {
	*fakeCluster

	first, second Server
}

func (c cancelingCluster) Choose(_ *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	if tried["a"] {
		return c.second, "b", ReasonNone
	}
	return c.first, "a", ReasonNone
}

// A try that may have run, and a second one that the request's end cuts short before it is
// sent: the request may have run.
func TestEndDuringRetryKeepsEarlierOutcome(t *testing.T) {
	for name, tt := range map[string]struct {
		first Result
		want  Outcome
	}{"unknown": {unknown, Unknown}, "failed": {status(500), Answered}, "shed": {shed, NotRun}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			v := cancelingCluster{&fakeCluster{budget: 9}, &fakeServer{results: []Result{tt.first}}, cancelingServer{cancel}}
			d := NewDispatcher(v, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
			route := testConfiguration().Routes[0]
			c := &Call{Service: "records", Idempotent: true, Deadline: timer.BootClock{}.Now().Add(time.Minute)}
			res, attempts := d.run(ctx, c, &route, &entrance{})
			require.Equal(t, 2, attempts.tries)
			require.Equal(t, tt.want, res.Outcome)
		})
	}
}

func TestRejectedRequests(t *testing.T) {
	cases := map[string]struct {
		cfg    *descriptor.Configuration
		path   string
		body   string
		status int
	}{
		"no configuration yet": {nil, "/read/x", "", http.StatusServiceUnavailable},
		"no such route":        {testConfiguration(), "/other/x", "", http.StatusNotFound},
		"body over the limit":  {testConfiguration(), "/read/x", "12345678901234567", http.StatusRequestEntityTooLarge},
		"no key":               {testConfiguration(), "/keyed/x", "", http.StatusBadRequest},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			w := serveRequest(&fakeCluster{cfg: tt.cfg}, http.MethodPost, tt.path, tt.body, nil)
			require.Equal(t, tt.status, w.Code)
		})
	}
}

// Many nodes see the same idle server. Each tries some servers for a free slot, then joins
// the shortest queue of those it tried.
func TestFreeSlotIsTriedBeforeQueueing(t *testing.T) {
	busy := func(wait time.Duration) Result { return Result{Outcome: NotRun, Reason: ReasonBusy, Retry: wait} }
	a := &fakeServer{results: []Result{busy(300 * time.Millisecond)}}
	b := &fakeServer{results: []Result{busy(100 * time.Millisecond), ok200()}}
	c := &fakeServer{results: []Result{busy(200 * time.Millisecond)}}
	e := &fakeServer{results: []Result{ok200()}}
	v := &fakeCluster{
		cfg: testConfiguration(), order: []partitioner.NodeID{"a", "b", "c", "e"},
		servers: map[partitioner.NodeID]*fakeServer{"a": a, "b": b, "c": c, "e": e},
	}
	w := serveRequest(v, http.MethodGet, "/read/x", "", nil)
	require.Equal(t, http.StatusOK, w.Code)
	require.Len(t, b.calls, 2)
	require.True(t, b.calls[0].NoQueue)
	require.False(t, b.calls[1].NoQueue)
	require.Empty(t, e.calls)
}

// All servers of a shared pool are full for longer than the request can wait (a burst on the
// grown Ishikari site, where requests asked up to 18 nodes in 0.8 s before they failed). It is
// rejected at once after two of the shortest queues seen, without asking the other nodes.
func TestFullPoolIsNotSearchedThrough(t *testing.T) {
	v := &fakeCluster{cfg: testConfiguration(), servers: make(map[partitioner.NodeID]*fakeServer)}
	for i := range 20 {
		id := partitioner.NodeID(rune('a' + i))
		v.order = append(v.order, id)
		v.servers[id] = &fakeServer{results: []Result{
			{Outcome: NotRun, Reason: ReasonBusy, Retry: time.Second}, {Outcome: NotRun, Reason: ReasonFull, Retry: 900 * time.Millisecond},
		}}
	}
	w := serveRequest(v, http.MethodGet, "/read/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	asked := 0
	for _, s := range v.servers {
		asked += len(s.calls)
	}
	require.Equal(t, freeSlotTries+maxQueueTries, asked)
}

// A node that was asked for a key of another node says so while tables travel: the call asks
// again with growing pauses. A node that knows the key to come too late is asked once, and so
// is one whose backend server refused the request.
func TestKeysAreAskedForAgainOnlyIfTheOwnerIsUnknown(t *testing.T) {
	cases := map[string]struct {
		results []Result
		calls   int
		status  int
	}{
		"not the owner":     {[]Result{notRun(ReasonNotOwner), notRun(ReasonNotOwner), ok200()}, 3, http.StatusOK},
		"not held for long": {[]Result{notRun(ReasonNotHeld), ok200()}, 1, http.StatusServiceUnavailable},
		"refused":           {[]Result{shed, ok200()}, 1, http.StatusServiceUnavailable},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			a := &fakeServer{results: tt.results}
			v := &fakeCluster{cfg: testConfiguration(), order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": a}}
			w := serveRequest(v, http.MethodGet, "/keyed/x", "", http.Header{"Key": {"7"}})
			require.Equal(t, tt.status, w.Code)
			require.Len(t, a.calls, tt.calls)
		})
	}
	var l attemptLog
	var total time.Duration
	for range 8 {
		total += l.ownerWait()
	}
	require.Greater(t, total, maxOwnerWait, "eight tries at most")
}

func TestDeadlineIsShorterOfCustomerAndRoute(t *testing.T) {
	cases := map[string]struct {
		wait string
		want time.Duration
	}{
		"customer": {"300ms", 300 * time.Millisecond}, "route": {"5s", time.Second}, "none": {"", time.Second},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			a := &fakeServer{results: []Result{ok200()}}
			v := &fakeCluster{cfg: testConfiguration(), order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": a}}
			before := timer.BootClock{}.Now()
			serveRequest(v, http.MethodGet, "/read/x", "", http.Header{"Wait": {tt.wait}})
			left := a.calls[0].Deadline.Sub(before)
			require.GreaterOrEqual(t, left, tt.want)
			require.Less(t, left, tt.want+100*time.Millisecond)
		})
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	a := &fakeServer{results: []Result{ok200()}}
	v := &fakeCluster{cfg: testConfiguration(), order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": a}}
	serveRequest(v, http.MethodGet, "/read/x%2Fy?q=%20", "", http.Header{
		"Connection": {"close, Private"}, "Private": {"1"}, "Te": {"trailers"}, "Keep": {"yes"}, "Transfer-Encoding": {"chunked"},
	})
	h := a.calls[0].Header
	require.Equal(t, "yes", h.Get("Keep"))
	for _, name := range []string{"Connection", "Private", "Te", "Transfer-Encoding"} {
		require.Empty(t, h.Get(name), name)
	}
	require.Equal(t, "/read/x%2Fy?q=%20", a.calls[0].URI)
	require.Equal(t, "own-service", a.calls[0].Caller)
}

// fixedClock is a clock that stands still.
type fixedClock timer.Instant

// Now returns the time of the clock.
func (c fixedClock) Now() timer.Instant { return timer.Instant(c) }

// A call and its result between two nodes over a real connection.
func TestPeers(t *testing.T) {
	clock := fixedClock(time.Hour)
	results := map[string]Result{
		"answered": ok200(),
		"failed":   status(500),
		"not run":  {Outcome: NotRun, Reason: ReasonFull, Retry: 70 * time.Millisecond},
		"shed":     shed,
		"unknown":  unknown,
		"ended":    {Outcome: Unknown, Reason: ReasonBroken, Sent: true, Disconnected: true, ServerEnded: true},
		"cut off":  {Outcome: Unknown, Reason: ReasonBroken, Sent: true, Disconnected: true},
	}
	for name, want := range results {
		t.Run(name, func(t *testing.T) {
			s := &fakeServer{results: []Result{want}}
			l := httptest.NewServer(NewPeerHandler(s, clock, testEnveloper, budgeter.NewBudget(1<<20), &tracer.Tracer{}))
			defer l.Close()
			p := NewPeer(strings.TrimPrefix(l.URL, "http://"), clock, testEnveloper)
			c := &Call{
				ID: "1", Method: http.MethodPost, URI: "/x?y", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("body"),
				Route: "r", Service: "s", Divided: true, Key: 9, Idempotent: true, Priority: 2, Customer: "acme", ConfigurationVersion: 9, Objective: time.Second, Caller: "c",
				Deadline: clock.Now().Add(time.Second), NoQueue: true,
			}
			got := p.Serve(context.Background(), c)
			require.Equal(t, want.Outcome, got.Outcome)
			require.Equal(t, want.Reason, got.Reason)
			require.Equal(t, want.Retry, got.Retry)
			require.Equal(t, want.Sent, got.Sent)
			require.Equal(t, want.Disconnected, got.Disconnected)
			require.Equal(t, want.ServerEnded, got.ServerEnded)
			if want.Outcome == Answered {
				require.Equal(t, want.Response.Status, got.Response.Status)
				require.Equal(t, string(want.Response.Body), string(got.Response.Body))
			}
			sent := s.calls[0]
			require.Equal(t, "1", sent.Header.Get("Id"))
			sent.Header, sent.Memory = c.Header, nil
			require.Equal(t, *c, sent)
		})
	}
}

// A result from before the backend server left is overtaken by one that says that it leaves. The
// next calls still say so; those to its successor do not.
func TestOvertakenResultDoesNotTakeBackThatServerLeaves(t *testing.T) {
	leaving := Notice{ServerNotice: descriptor.ServerNotice{Leaving: true}, Server: "server-1", StartedAtMillis: 10}
	limited := Notice{ServerNotice: descriptor.ServerNotice{Limited: true, RateLimit: 4}, Server: "server-1", StartedAtMillis: 10}
	successor := Notice{ServerNotice: descriptor.ServerNotice{Limited: true, RateLimit: 4}, Server: "server-1", StartedAtMillis: 20}
	cases := map[string]struct {
		late    Notice
		leaving bool
	}{
		"without a notice": {Notice{}, true},
		"with a limit":     {limited, true},
		"of the successor": {successor, false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			first, late := ok200(), ok200()
			first.Notice, late.Notice = leaving, tt.late
			s := &fakeServer{results: []Result{first, late, late}}
			l := httptest.NewServer(NewPeerHandler(s, timer.BootClock{}, testEnveloper, budgeter.NewBudget(1<<20), &tracer.Tracer{}))
			defer l.Close()
			p := NewPeer(strings.TrimPrefix(l.URL, "http://"), timer.BootClock{}, testEnveloper)
			for range 3 {
				c := &Call{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: timer.BootClock{}.Now().Add(time.Minute)}
				require.Equal(t, Answered, p.Serve(context.Background(), c).Outcome)
			}
			require.True(t, s.calls[1].Notice.Leaving)
			require.Equal(t, tt.leaving, s.calls[2].Notice.Leaving)
			require.Equal(t, tt.late.Limited, s.calls[2].Notice.Limited)
		})
	}
}

// A call whose body does not fit into the memory of the other node has not run there.
func TestPeerWithoutMemoryMeansNotRun(t *testing.T) {
	s := &fakeServer{results: []Result{ok200()}}
	l := httptest.NewServer(NewPeerHandler(s, timer.BootClock{}, testEnveloper, budgeter.NewBudget(1<<10), &tracer.Tracer{}))
	defer l.Close()
	p := NewPeer(strings.TrimPrefix(l.URL, "http://"), timer.BootClock{}, testEnveloper)
	c := &Call{
		Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 1<<12),
		Deadline: timer.BootClock{}.Now().Add(time.Minute),
	}
	require.Equal(t, notRun(ReasonFull), p.Serve(context.Background(), c))
	require.Empty(t, s.calls)
}

func TestUnreachablePeerMeansNotRun(t *testing.T) {
	p := NewPeer("127.0.0.1:1", timer.BootClock{}, testEnveloper)
	c := &Call{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: timer.BootClock{}.Now().Add(time.Second)}
	require.Equal(t, notRun(ReasonUnreachable), p.Serve(context.Background(), c))
	require.False(t, p.Reachable())
}

// Weights that overflow, or are below zero, must not end the process.
func TestOddWeightsAreNoPanic(t *testing.T) {
	for name, weights := range map[string][]int{
		"sum overflows": {math.MaxInt, math.MaxInt}, "overflow to zero": {math.MinInt, math.MinInt}, "negative": {-5, 10}, "all negative": {-5, -1}, "none": {},
	} {
		t.Run(name, func(t *testing.T) {
			var targets []descriptor.Target
			for _, w := range weights {
				targets = append(targets, descriptor.Target{Service: "records", Weight: w})
			}
			for range 100 {
				require.Contains(t, []string{"", "records"}, newSplitter(firstPoint).pick(&descriptor.Route{Targets: targets}))
			}
		})
	}
}
