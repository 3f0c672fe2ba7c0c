package launcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/drainer"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	granted  = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	fenced   = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	released = "HTTP/1.1 200 OK\r\nHandover: data-1\r\nContent-Length: 0\r\n\r\n"
	final    = "HTTP/1.1 200 OK\r\nHandover: data-2\r\nContent-Length: 0\r\n\r\n"
)

// startRepeatingServer starts a backend server that responds to the first key request with
// earlier and to the next one with answer. What a connection has carried, it writes there
// once more before the next answer: in a packet of its own, or in that answer's.
func startRepeatingServer(t *testing.T, earlier, answer string, joined bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	responses := make(chan string, 2)
	responses <- earlier
	responses <- answer
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		carried := ""
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body) // the next read reports a lost connection
			next := <-responses
			if carried != "" && !joined {
				_, _ = c.Write([]byte(carried)) // the caller notices a lost connection
				carried = ""
			}
			_, _ = c.Write([]byte(carried + next)) // the caller notices a lost connection
			carried = next
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// A backend server writes its answer to an earlier grant or release once more while it
// executes the next one (OWNER).
func TestRepeatedAnswersToKeyRequestsAreIgnored(t *testing.T) {
	grant := granter.Call{First: 0, Last: 9, Token: 1, Hold: time.Second}
	next := granter.Call{First: 10, Last: 19, Token: 2, Hold: time.Second}
	release := granter.Call{Release: true, First: 0, Last: 9, Token: 1}
	renewal := granter.Call{Renewal: true, First: 0, Last: 9, Token: 1, Hold: time.Second}
	nextRelease := granter.Call{Release: true, First: 10, Last: 19, Token: 2}
	cases := map[string]struct {
		first, second   granter.Call
		earlier, answer string
		want            granter.Result
		handover        string
	}{
		"grant, then release":          {grant, release, granted, final, granter.Done, "data-2"},
		"release, then release":        {release, nextRelease, released, final, granter.Done, "data-2"},
		"refused grant, then a grant":  {grant, next, fenced, granted, granter.Done, ""},
		"grant, then a refused grant":  {grant, next, granted, fenced, granter.Refused, ""},
		"release, then refused grant":  {release, next, released, fenced, granter.Refused, ""},
		"renewal, then release":        {renewal, release, granted, final, granter.Done, "data-2"},
		"renewal, then refused grant":  {renewal, next, granted, fenced, granter.Refused, ""},
		"refused renewal, then one":    {renewal, renewal, fenced, granted, granter.Done, ""},
		"renewal, then a lost release": {renewal, release, granted, "", granter.Unknown, ""},
		"grant, then a lost release":   {grant, release, granted, "", granter.Unknown, ""},
		"release, then a lost release": {release, nextRelease, released, "", granter.Unknown, ""},
	}
	for name, tt := range cases {
		for way, joined := range map[string]bool{"packet of its own": false, "the answer's packet": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				address := startRepeatingServer(t, tt.earlier, tt.answer, joined)
				c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
				defer c.server.Close()
				c.UpdateGrant(context.Background(), tt.first)
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				result, handover := c.UpdateGrant(ctx, tt.second)
				require.Equal(t, tt.want, result)
				require.Equal(t, tt.handover, handover)
			})
		}
	}
}

// Renewals are frequent; each over a connection of its own costs a new connection every 300 ms
// and range.
func TestRenewalsKeepTheirConnection(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, server.Listener.Addr().String(), enveloper.NewEnveloper(`{"id":""}`))
	defer c.server.Close()
	for range 3 {
		result, _ := c.UpdateGrant(context.Background(), granter.Call{Renewal: true, First: 0, Last: 9, Token: 1, Hold: time.Second})
		require.Equal(t, granter.Done, result)
	}
	require.Equal(t, int32(1), connections.Load())
}

func TestKeyRequestsThatAreNotDelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
	for name, call := range map[string]granter.Call{"grant": {}, "renewal": {Renewal: true}, "release": {Release: true}} {
		t.Run(name, func(t *testing.T) {
			result, _ := c.UpdateGrant(context.Background(), call)
			require.Equal(t, granter.Unreachable, result)
		})
	}
}

// A backend server ends and starts again at once. Grants for the former start reached the present
// one, which held keys under the tokens of the former (incident 0024). A release may reach it.
func TestGrantsForAFormerStartAreNotSent(t *testing.T) {
	var requests atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("Handover", "data")
	})
	server := httptest.NewServer(handler)
	address := server.Listener.Addr().String()
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
	defer c.server.Close()
	c.monitor = exchanger.NewStartMonitor(address, time.Second)
	defer c.monitor.Close()
	send := func(call granter.Call) granter.Result {
		call.Server, call.ServerStartedAtMillis, call.Hold = "server-1", 7, time.Second
		result, _ := c.UpdateGrant(context.Background(), call)
		return result
	}
	hear := func() { // twice, since the connect may take long
		c.Observe("server-1", 7, nil)
		c.Observe("server-1", 7, nil)
	}
	require.Equal(t, granter.Unconfirmed, send(granter.Call{Token: 1}), "nothing heard")
	hear()
	require.Equal(t, granter.Done, send(granter.Call{Token: 1}))
	require.Equal(t, granter.Done, send(granter.Call{Token: 1, Renewal: true}))

	server.CloseClientConnections()
	server.Close()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	next := &httptest.Server{Listener: l, Config: &http.Server{Handler: handler}} //nolint:gosec // a server of a test
	next.Start()
	defer next.Close()
	for _, call := range []granter.Call{{Token: 1, Renewal: true}, {Token: 2}} {
		require.Equal(t, granter.Unconfirmed, send(call))
	}
	require.Equal(t, int32(2), requests.Load())
	require.Equal(t, granter.Done, send(granter.Call{Token: 1, Release: true}))
	c.Observe("server-2", 8, nil)
	require.Equal(t, granter.Unconfirmed, send(granter.Call{Token: 1, Renewal: true}))
}

// A node stood still. When it handled the last heartbeat of a backend server that had ended, the next
// start accepted connections, and it took grants meant for the former one (incidents 0024, 0027).
func TestHeldUpHeartbeatOfAFormerStartBringsNoGrants(t *testing.T) {
	var executed atomic.Int32
	next := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executed.Add(1) }))
	defer next.Close()
	address := next.Listener.Addr().String()
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
	defer c.server.Close()
	c.monitor = exchanger.NewStartMonitor(address, time.Second)
	defer c.monitor.Close()
	heard := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	node := drainer.NewDrainer(newServer(context.Background(), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c.Observe("server-1", 7, connectionOf(r))
		heard <- struct{}{}
	})), l)
	send := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "PUT /beats/server-1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		require.NoError(t, err)
		return conn
	}
	for range 2 {
		require.NoError(t, send().Close())
	}
	go func() { _ = node.Serve() }()
	defer func() { _ = node.Close() }() // its listener closes
	grant := func() granter.Result {
		result, _ := c.UpdateGrant(context.Background(), granter.Call{Token: 1, Hold: time.Second, Server: "server-1", ServerStartedAtMillis: 7})
		return result
	}
	<-heard
	<-heard
	require.Equal(t, granter.Unconfirmed, grant())
	require.Zero(t, executed.Load())
	conn := send()
	defer func() { _ = conn.Close() }() // the response is not read
	<-heard
	require.Equal(t, granter.Done, grant())
}

// A backend server that had started again under another id took the renewals for the start before,
// with its fencing tokens, when the monitor took the one for the other (incident 0027).
func TestGrantsNameTheirBackendServer(t *testing.T) {
	var executed atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if named := r.Header.Get("Instance"); named != "" && named != "server-2" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		executed.Add(1)
		w.Header().Set("Handover", "data")
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
	defer c.server.Close()
	c.monitor = exchanger.NewStartMonitor(address, time.Second)
	defer c.monitor.Close()
	for range 2 { // a heartbeat of the former start that was held up, twice since the connect may take long
		c.Observe("server-1", 7, nil)
	}
	for _, call := range []granter.Call{{Token: 1}, {Token: 1, Renewal: true}} {
		call.Server, call.ServerStartedAtMillis, call.Hold = "server-1", 7, time.Second
		result, _ := c.UpdateGrant(context.Background(), call)
		require.Equal(t, granter.Unreachable, result)
	}
	require.Zero(t, executed.Load())
	result, _ := c.UpdateGrant(context.Background(), granter.Call{Release: true, Token: 1, Server: "server-1"})
	require.Equal(t, granter.Done, result, "a release is never refused")
	c.Observe("server-2", 8, nil)
	c.Observe("server-2", 8, nil)
	result, _ = c.UpdateGrant(context.Background(), granter.Call{Token: 2, Hold: time.Second, Server: "server-2", ServerStartedAtMillis: 8})
	require.Equal(t, granter.Done, result)
}

// The next start of a backend server had taken a grant when the monitor noticed it. The grant that was
// held back then counted as proof that nothing had reached that start, and its keys got a second owner.
func TestGrantHeldBackIsNoProofOfAnEnd(t *testing.T) {
	var executed atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { executed.Add(1) }))
	defer server.Close()
	address := server.Listener.Addr().String()
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, address, enveloper.NewEnveloper(`{"id":""}`))
	defer c.server.Close()
	c.monitor = exchanger.NewStartMonitor(address, time.Second)
	defer c.monitor.Close()

	former := partitioner.Server{ID: "server-1", StartedAtMillis: 7, Service: "permits", Slots: 10, Divided: true}
	now := timer.Instant(time.Hour)
	g := granter.NewGranter("node-1", 10*time.Second, now.Add(-time.Minute))
	g.SetServer(former)
	g.SetLease(now.Add(time.Hour))
	g.SetTable(&partitioner.Table{Epoch: 1, Version: 1, Divisions: []partitioner.Division{{Service: "permits", Ranges: []partitioner.Range{
		{Last: partitioner.LastKey, Owner: "node-1", Server: "server-1", ServerStartedAtMillis: 7, Token: 5},
	}}}}, now)
	send := func() granter.Result {
		call := g.DueCalls(now)[0]
		result, handover := c.UpdateGrant(context.Background(), call)
		g.HandleResult(call, result, handover, now)
		return result
	}
	for range 2 { // a heartbeat of the former start that was held up, twice since the connect may take long
		c.Observe("server-1", 7, nil)
	}
	require.Equal(t, granter.Done, send())
	require.Equal(t, int32(1), executed.Load())

	now = now.Add(300 * time.Millisecond)
	c.Observe("server-1", 8, nil)
	require.Equal(t, granter.Unconfirmed, send())
	next := former
	next.StartedAtMillis = 8
	g.SetServer(next)
	_, inDoubt := g.FormerStart(now)
	require.True(t, inDoubt)
}
