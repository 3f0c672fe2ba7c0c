package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const idHeader = "Request-Id"

func matchesID(response, request http.Header) bool {
	return response.Get(idHeader) == request.Get(idHeader)
}

// serve writes what respond returns for each request on each connection; an empty string
// closes the connection.
func serve(t *testing.T, respond func(n int, id string) string) (address string, connections *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int32{}
	var requests atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					text := respond(int(requests.Add(1)), req.Header.Get(idHeader))
					if text == "" {
						return
					}
					if _, err := c.Write([]byte(text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func do(e *Exchanger, id string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return e.Do(ctx, Request{
		Method: http.MethodGet, URI: "/a%2Fb?c=d", Host: "h.example", Header: http.Header{idHeader: {id}}, MaxIdle: time.Minute,
	})
}

func newTestExchanger(address string) *Exchanger {
	return NewExchanger(address, time.Second, time.Minute, 1<<20, matchesID)
}

func TestConnectionsAreKept(t *testing.T) {
	address, connections := serve(t, func(_ int, id string) string { return okResponse(id, "ok") })
	e := newTestExchanger(address)
	for _, id := range []string{"1", "2", "3"} {
		a, err := do(e, id)
		require.NoError(t, err)
		require.Equal(t, "ok", string(a.Body))
	}
	require.Equal(t, int32(1), connections.Load())
}

// A second response to an earlier request arrives before the response to the next one.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	address, _ := serve(t, func(_ int, id string) string { return okResponse("old", "no") + okResponse(id, "yes") })
	a, err := do(newTestExchanger(address), "1")
	require.NoError(t, err)
	require.Equal(t, "yes", string(a.Body))
	require.Equal(t, 1, a.Skipped)
}

// A response repeated on a connection would answer the next request with the same id.
func TestNoConnectionCarriesAnIDTwice(t *testing.T) {
	address, connections := serve(t, func(_ int, id string) string { return okResponse(id, "ok") })
	e := newTestExchanger(address)
	defer e.Close()
	send := func(id string) {
		_, err := e.Do(context.Background(), Request{
			ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, MaxIdle: time.Minute,
		})
		require.NoError(t, err)
	}
	for _, id := range []string{"1", "2", "1", "2", "3"} {
		send(id)
	}
	require.Equal(t, int32(2), connections.Load())
	send("3")
	require.Equal(t, int32(2), connections.Load())
	send("3")
	require.Equal(t, int32(3), connections.Load())
}

// Customers that repeat the id of a request opened one more connection with each, and left it idle.
func TestRepeatedIDsAddNoConnections(t *testing.T) {
	address, _ := serve(t, func(_ int, id string) string { return okResponse(id, "a") })
	e := newTestExchanger(address)
	for range 20 {
		_, err := e.Do(context.Background(), Request{
			ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, MaxIdle: time.Minute,
		})
		require.NoError(t, err)
	}
	require.Len(t, e.idle, maxRepeats)
}

func TestConnectionsCarryALimitedNumberOfIDs(t *testing.T) {
	address, connections := serve(t, func(_ int, id string) string { return okResponse(id, "ok") })
	e := newTestExchanger(address)
	defer e.Close()
	for n := range maxIDs + 1 {
		id := strconv.Itoa(n)
		_, err := e.Do(context.Background(), Request{
			ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, MaxIdle: time.Minute,
		})
		require.NoError(t, err)
	}
	require.Equal(t, int32(2), connections.Load())
}

func TestExtraBytesEndTheConnection(t *testing.T) {
	address, connections := serve(t, func(n int, id string) string {
		if n == 1 {
			return okResponse(id, "ok") + "HTTP/1.1 200 OK\r\n"
		}
		return okResponse(id, "ok")
	})
	e := newTestExchanger(address)
	for _, id := range []string{"1", "2"} {
		a, err := do(e, id)
		require.NoError(t, err)
		require.Equal(t, "ok", string(a.Body))
		require.Equal(t, id == "1", a.Followed)
	}
	require.Equal(t, int32(2), connections.Load())
}

func TestBrokenResponsesAreErrors(t *testing.T) {
	cases := map[string]string{
		"nothing":        "",
		"no protocol":    "garbage\r\n\r\n",
		"body cut short": "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nab",
		"chunk cut":      "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"other requests": okResponse("old", "a") + okResponse("old", "b") + okResponse("old", "c"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			sent := false
			address, _ := serve(t, func(int, string) string {
				if sent {
					return ""
				}
				sent = true
				return text
			})
			e := newTestExchanger(address)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := e.Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}})
			require.Error(t, err)
			require.False(t, errors.Is(err, ErrNotSent), "the request may have run")
		})
	}
}

func TestResponseCutByResetIsError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\npart"))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	_, err = do(newTestExchanger(l.Addr().String()), "1")
	require.Error(t, err)
}

func TestFailedConnectMeansNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = do(newTestExchanger(address), "1")
	require.True(t, errors.Is(err, ErrNotSent))
	require.True(t, errors.Is(err, ErrRefused))

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = newTestExchanger(address).Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	require.True(t, errors.Is(err, ErrNotSent))
	require.False(t, errors.Is(err, ErrRefused), "given up, which tells nothing about the server")
}

// The server closes its side of an idle connection. A request that must not run twice must
// not be lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address, connections := serve(t, func(_ int, id string) string {
		return "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n" + idHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
	})
	e := newTestExchanger(address)
	_, err := do(e, "1")
	require.NoError(t, err)
	e.mu.Lock()
	require.NoError(t, e.idle[0].Conn.(*net.TCPConn).CloseRead())
	e.mu.Unlock()
	_, err = do(e, "2")
	require.NoError(t, err)
	require.Equal(t, int32(2), connections.Load())
}

func TestContextEndAbortsExchange(t *testing.T) {
	block := make(chan struct{})
	defer close(block)
	address, _ := serve(t, func(int, string) string { <-block; return "" })
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := time.AfterFunc(20*time.Millisecond, cancel)
	defer cancelled.Stop()
	_, err := newTestExchanger(address).Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
	require.Error(t, err)
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(okResponse("1", "ok")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1", "ok")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, b []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(b)
			_ = server.Close()
		}()
		_, _, _ = newTestExchanger("127.0.0.1:1").readResponse(newConn(client), Request{Method: http.MethodGet})
		_ = client.Close()
	})
}

// A connection can go silent without a reset. Only the kernel's time-outs for
// unacknowledged data and for idle connections detect that. The test cannot drop packets,
// so it checks the socket options.
func TestConnectionsDetectSilentPeers(t *testing.T) {
	address, _ := serve(t, func(int, string) string { return "" })
	d := NewDialer(time.Second)
	c, err := d.DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	got := make(map[int]int)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			got[option] = v
		}
	}))
	require.Equal(t, map[int]int{
		unix.TCP_USER_TIMEOUT: int(unackedTimeout.Milliseconds()), unix.TCP_KEEPCNT: 2,
		unix.TCP_KEEPIDLE: int(keepAliveInterval.Seconds()), unix.TCP_KEEPINTVL: int(keepAliveInterval.Seconds()),
	}, got)
}

// The peer of a persistent connection accepts the next request and never responds. The
// request must end with its time-out, and the next request must use a new connection.
func TestSilentConnectionIsNotReused(t *testing.T) {
	address, connections := serve(t, func(n int, id string) string {
		if n == 2 {
			select {} // this connection stays silent
		}
		return okResponse(id, "ok")
	})
	e := NewExchanger(address, time.Second, time.Minute, 1<<20, matchesID)
	defer e.Close()
	do := func(ctx context.Context, id string) error {
		_, err := e.Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {id}}, MaxIdle: time.Minute})
		return err
	}
	require.NoError(t, do(context.Background(), "1"))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := do(ctx, "2")
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotSent, "the request may have run")
	require.NoError(t, do(context.Background(), "3"))
	require.Equal(t, int32(2), connections.Load())
}
