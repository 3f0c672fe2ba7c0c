package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

// peerCluster has one backend server, at a peer.
type peerCluster struct {
	*fakeCluster

	peer *Peer
}

func (c peerCluster) Choose(_ *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	if tried["peer"] {
		return nil, "", ReasonNoServer
	}
	return c.peer, "peer", ReasonNone
}

// cutLink accepts calls and responds to each with a part of a recorded response.
type cutLink struct {
	address string
	request atomic.Pointer[[]byte]
	part    atomic.Pointer[[]byte]
	reset   atomic.Bool
}

func newCutLink(t *testing.T) *cutLink {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	k := &cutLink{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			k.serve(c)
		}
	}()
	return k
}

func (k *cutLink) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var request bytes.Buffer
	r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &request)))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	sent := request.Bytes()
	k.request.Store(&sent)
	if _, err := c.Write(*k.part.Load()); err != nil {
		return
	}
	if k.reset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// rawExchange sends a request to an address and returns all that comes back.
func rawExchange(t *testing.T, address string, request []byte) []byte {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write(request)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	response, err := io.ReadAll(c)
	require.NoError(t, err)
	return response
}

// The link between the customer's node and the node of the backend server is cut after each
// byte of a call or of its result. A cut call does not run, and the customer of a cut result
// gets 502.
func TestCallCutAfterEachByte(t *testing.T) {
	results := map[string]Result{"answered": ok200(), "failed": status(500), "not run": shed, "no body": status(204)}
	for name, result := range results {
		t.Run(name, func(t *testing.T) {
			server := &fakeServer{results: []Result{result}}
			node := httptest.NewServer(NewPeerHandler(server, timer.BootClock{}, testEnveloper, budgeter.NewBudget(1<<20), &tracer.Tracer{}))
			defer node.Close()
			address := strings.TrimPrefix(node.URL, "http://")
			link := newCutLink(t)
			link.part.Store(&[]byte{})
			clock := &timer.ManualClock{} // on a busy machine, an exchange may take longer than the time-out
			clock.Advance(time.Hour)
			cluster := peerCluster{&fakeCluster{cfg: testConfiguration()}, newPeer(link.address, clock, testEnveloper, time.Minute)}
			defer cluster.peer.Close()
			d := NewDispatcher(cluster, fakeCodec{}, clock, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
			customers := httptest.NewServer(d)
			defer customers.Close()

			status, _ := link.ask(t, customers.URL)
			require.Equal(t, http.StatusBadGateway, status)
			call := *link.request.Load()
			for n := range call {
				rawExchange(t, address, call[:n])
			}
			require.Empty(t, server.calls, "a part of a call ran")

			whole := rawExchange(t, address, call)
			require.Len(t, server.calls, 1)
			for _, reset := range []bool{false, true} {
				link.reset.Store(reset)
				for n := range whole {
					part := whole[:n]
					link.part.Store(&part)
					status, body := link.ask(t, customers.URL)
					require.Equal(t, http.StatusBadGateway, status, "after %q", part)
					require.Empty(t, body)
				}
			}
			link.part.Store(&whole)
			status, body := link.ask(t, customers.URL)
			if result.Outcome == NotRun {
				require.Equal(t, http.StatusServiceUnavailable, status)
				return
			}
			require.Equal(t, result.Response.Status, status)
			require.Equal(t, string(result.Response.Body), body)
		})
	}
}

// ask sends a request that must not run twice and returns the whole response. It is sent again
// if the link got no call: on a busy machine, connecting may take longer than its time-out.
func (k *cutLink) ask(t *testing.T, url string) (status int, body string) {
	t.Helper()
	k.request.Store(nil)
	for deadline := time.Now().Add(time.Minute); k.request.Load() == nil && time.Now().Before(deadline); {
		status, body = ask(t, url)
	}
	return status, body
}

// ask sends a request that must not run twice and returns the whole response.
func ask(t *testing.T, url string) (status int, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/write/x", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "h"
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // it was read
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}
