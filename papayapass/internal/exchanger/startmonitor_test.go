package exchanger

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startedServer is a server that can end and start again at its address.
type startedServer struct {
	net.Listener

	accepted chan net.Conn
}

func startServer(t *testing.T, address string) *startedServer {
	t.Helper()
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	s := &startedServer{l, make(chan net.Conn, 8)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(s.accepted)
				return
			}
			s.accepted <- c
		}
	}()
	return s
}

// end ends the server and waits until the monitor sees it.
func (s *startedServer) end(t *testing.T, m *StartMonitor) {
	t.Helper()
	require.NoError(t, s.Close())
	for c := range s.accepted {
		require.NoError(t, c.Close())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, err := m.conn.Read(make([]byte, 1))
	require.Error(t, err)
}

// A server that started again at once was taken for the start before, since its address accepts
// connections (incident 0024).
func TestMonitorConfirmsNoNextStart(t *testing.T) {
	s := startServer(t, "127.0.0.1:0")
	address := s.Addr().String()
	m := NewStartMonitor(address, time.Second)
	defer m.Close()
	require.False(t, m.Confirms("first"), "nothing heard")
	require.NoError(t, m.Observe(context.Background(), "first", nil))
	require.True(t, m.Confirms("first"))
	require.False(t, m.Confirms("next"))
	s.end(t, m)
	startServer(t, address)
	require.False(t, m.Confirms("first"))
	require.NoError(t, m.Observe(context.Background(), "next", nil))
	require.True(t, m.Confirms("next"))
	require.False(t, m.Confirms("first"))
}

// closedSender returns a connection that its sender has closed.
func closedSender(t *testing.T) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	sender, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.True(t, IsQuiet(c))
	require.NoError(t, sender.Close())
	require.Eventually(t, func() bool { return !IsQuiet(c) }, 10*time.Second, time.Millisecond)
	return c
}

// A message that was held up while the server ended and started again made the monitor take the next
// start for the one before (incident 0024).
func TestMessageOfAClosedSenderConfirmsNoStart(t *testing.T) {
	s := startServer(t, "127.0.0.1:0")
	m := NewStartMonitor(s.Addr().String(), time.Second)
	defer m.Close()
	sender := closedSender(t)
	for range 2 {
		require.NoError(t, m.Observe(context.Background(), "former", sender))
		require.False(t, m.Confirms("former"))
	}
	require.NoError(t, m.Observe(context.Background(), "first", nil))
	require.True(t, m.Confirms("first"))
	require.NoError(t, m.Observe(context.Background(), "first", sender))
	require.True(t, m.Confirms("first"), "it runs")
	require.NoError(t, m.Observe(context.Background(), "former", sender))
	require.False(t, m.Confirms("former"))
	require.False(t, m.Confirms("first"), "until it is heard again")
}

// Servers that do not wait for the response get grants from their second message on.
func TestSenderThatClosesAtOnceIsConfirmedLater(t *testing.T) {
	s := startServer(t, "127.0.0.1:0")
	m := NewStartMonitor(s.Addr().String(), time.Second)
	defer m.Close()
	m.heldUp = -1
	sender := closedSender(t)
	require.NoError(t, m.Observe(context.Background(), "first", sender))
	require.False(t, m.Confirms("first"))
	require.NoError(t, m.Observe(context.Background(), "first", sender))
	require.True(t, m.Confirms("first"))
}

// Servers close idle connections. The monitoring connection is replaced in time, and the next one leads to the same
// start as long as the former is open.
func TestMonitoringConnectionIsReplacedInTime(t *testing.T) {
	s := startServer(t, "127.0.0.1:0")
	m := NewStartMonitor(s.Addr().String(), time.Second)
	defer m.Close()
	m.maxAge = -1
	require.NoError(t, m.Observe(context.Background(), "first", closedSender(t)))
	require.False(t, m.Confirms("first"))
	former := m.conn
	require.NoError(t, m.Observe(context.Background(), "first", nil))
	require.True(t, m.Confirms("first"))
	require.NotSame(t, former, m.conn)
	s.end(t, m)
	require.False(t, m.Confirms("first"))
	require.Error(t, m.Observe(context.Background(), "first", nil))
}

// A request whose guard fails is not sent, also over a connection that is kept.
func TestGuardedRequestIsNotSent(t *testing.T) {
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	e := NewExchanger(server.Listener.Addr().String(), time.Second, time.Minute, 1<<20, nil)
	defer e.Close()
	req := Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Minute}
	_, err := e.Do(context.Background(), req)
	require.NoError(t, err)
	req.Guard = func() bool { return false }
	for _, req.OwnConnection = range []bool{false, true} {
		_, err = e.Do(context.Background(), req)
		require.True(t, errors.Is(err, ErrNotSent))
		require.True(t, errors.Is(err, ErrUnguarded))
	}
	require.Equal(t, int32(1), served.Load())
}
