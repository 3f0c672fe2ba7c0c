package drainer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/shedder"
)

// longAnswer does not fit into what the kernel holds at both ends.
const longAnswer = 8 << 20

// newAnswering returns a drainer on loopback, and a dialer of clients that hold little of an answer.
func newAnswering(t *testing.T, room int64, h http.HandlerFunc) (d *Drainer, dial func() net.Conn) {
	t.Helper()
	l, err := Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	d = NewDrainer(&http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}, endingListener{l})
	d.Limit(&Guard{
		Memory: budgeter.NewBudget(1 << 20), Unsent: NewSendBudget(room), MaxConnections: 10, Count: func(shedder.Reason) {},
		Limits: func() shedder.Limits {
			return shedder.Limits{HeadBytes: 4 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}
		},
	})
	go func() { _ = d.Serve() }() // ends with the test
	t.Cleanup(func() { _ = d.Close() })
	return d, func() net.Conn {
		c, err := (&net.Dialer{Control: smallReceiveBuffer}).Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// endingListener counts connections whose requests were ended.
type endingListener struct{ net.Listener }

func (l endingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return endingConn{c}, err
}

// requestsEnded counts the calls of EndRequests.
var requestsEnded atomic.Int32

type endingConn struct{ net.Conn }

func (c endingConn) NetConn() net.Conn { return c.Conn }
func (endingConn) EndRequests()        { requestsEnded.Add(1) }

// smallReceiveBuffer makes the kernel of a client hold little of an answer.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
}

func (d *Drainer) requireUnsent(t *testing.T, is func(int64) bool) {
	t.Helper()
	require.Eventually(t, func() bool { d.Sweep(0); return is(d.guard.Unsent.Used()) }, time.Minute, time.Millisecond)
}

// What the kernel holds of answers grew with each connection.
func TestAnswersWaitForRoomInTheKernel(t *testing.T) {
	d, dial := newAnswering(t, maxUnsent, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", longAnswer)) // a client may not read it
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	first, second := dial(), dial()
	_, err := io.WriteString(first, request)
	require.NoError(t, err)
	d.requireUnsent(t, func(n int64) bool { return n > 16<<10 })
	_, err = io.WriteString(second, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.guard.Unsent.budget.TakeRefusals() > 0 }, time.Minute, time.Millisecond)
	require.LessOrEqual(t, d.guard.Unsent.Used(), int64(maxUnsent))
	go func() { _, _ = io.Copy(io.Discard, first) }() // makes room
	resp, err := sweepWhile(d, func() (*http.Response, error) { return http.ReadResponse(bufio.NewReader(second), nil) })
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // it was read
	n, err := sweepWhile(d, func() (int64, error) { return io.Copy(io.Discard, resp.Body) })
	require.NoError(t, err)
	require.Equal(t, int64(longAnswer), n)
	d.requireUnsent(t, func(n int64) bool { return n == 0 })
}

// sweepWhile sweeps, without any time passing, until a function has returned.
func sweepWhile[T any](d *Drainer, f func() (T, error)) (v T, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		v, err = f()
	}()
	for {
		select {
		case <-done:
			return v, err
		case <-time.After(time.Millisecond):
			d.Sweep(0)
		}
	}
}

// A client that is still reading gets its whole answer although the connection closes; one that reads nothing
// more leaves nothing behind.
func TestClosedConnectionKeepsItsAnswer(t *testing.T) {
	const size = 20 << 10
	for name, reads := range map[string]bool{"read late": true, "never read": false} {
		t.Run(name, func(t *testing.T) {
			d, dial := newAnswering(t, 1<<20, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", size)) // the client may not read it
			})
			c := dial()
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return len(d.lingering) == 1
			}, time.Minute, time.Millisecond)
			require.Equal(t, int64(1), d.open.Load())
			require.Positive(t, requestsEnded.Swap(0), "requests sent ahead must not go on")
			if reads {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				defer func() { _ = resp.Body.Close() }() // it was read
				n, err := io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.Equal(t, int64(size), n)
			} else {
				d.sweep(9)
				require.Equal(t, int64(1), d.open.Load())
				d.sweep(2)
			}
			d.requireUnsent(t, func(n int64) bool { return n == 0 && d.open.Load() == 0 })
		})
	}
}
