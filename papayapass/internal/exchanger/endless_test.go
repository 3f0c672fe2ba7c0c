package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
)

// endlessServer sends start and then repeats more until the connection is closed. It counts
// the bytes sent and the connections still open.
type endlessServer struct {
	address string
	sent    atomic.Int64
	open    atomic.Int32
}

func newEndlessServer(t *testing.T, start, more string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &endlessServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.open.Add(1)
			go func() {
				defer s.open.Add(-1)
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				text := []byte(start)
				for {
					n, err := c.Write(text)
					s.sent.Add(int64(n))
					if err != nil {
						return
					}
					text = []byte(strings.Repeat(more, 1+16384/len(more)))
				}
			}()
		}
	}()
	return s
}

// endless lists the ways in which a backend server in trouble sends bytes without end.
var endless = map[string]struct{ start, more string }{
	"bytes that are no answer":  {"x", "x"},
	"a status line":             {"HTTP/1.1 200 ", "O"},
	"a header":                  {"HTTP/1.1 200 OK\r\nServer: ", "a"},
	"many headers":              {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim responses":         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"},
	"early hints":               {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"a body without a length":   {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n", "body"},
	"a chunked body":            {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
	"tiny chunks":               {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;extension=long\r\nb\r\n"},
	"trailers":                  {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	"an announced body":         {"HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 999999999999\r\n\r\n", "body"},
	"answers to other requests": {"", "HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nContent-Length: 2\r\n\r\nok"},
}

// A backend server in trouble sends bytes without end, in a head or a body, to 50 requests
// at a time. Each exchange fails long before its deadline, its connection is closed, and
// all of them together stay within the node's memory for bodies.
func TestBytesWithoutEnd(t *testing.T) {
	const requests, budget = 50, 4 << 20
	for name, tt := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEndlessServer(t, tt.start, tt.more)
			e := newTestExchanger(s.address)
			memory := budgeter.NewBudget(budget)
			var highest atomic.Int64
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					lease := memory.Lease()
					defer lease.Close()
					_, err := e.Do(ctx, Request{
						Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, MaxIdle: time.Minute, Memory: lease,
					})
					if err == nil || ctx.Err() != nil {
						t.Errorf("the exchange must fail before its deadline: %v", err)
					}
					if used := memory.Used(); used > highest.Load() {
						highest.Store(used)
					}
				})
			}
			wg.Wait()
			require.LessOrEqual(t, highest.Load(), int64(budget))
			require.Zero(t, memory.Used(), "all memory is given back")
			require.Eventually(t, func() bool { return s.open.Load() == 0 }, 30*time.Second, time.Millisecond, "connections are closed")
		})
	}
}

// Beside endless answers, other requests of the same node are answered.
func TestEndlessAnswersLeaveOthersAlone(t *testing.T) {
	bad := newEndlessServer(t, endless["a chunked body"].start, endless["a chunked body"].more)
	address, _ := serve(t, func(_ int, id string) string { return okResponse(id, "ok") })
	good, broken := newTestExchanger(address), newTestExchanger(bad.address)
	memory := budgeter.NewBudget(8 << 20)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				lease := memory.Lease()
				_, _ = broken.Do(context.Background(), Request{ // fails each time
					Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, Memory: lease,
				})
				lease.Close()
			}
		})
	}
	for range 200 {
		lease := memory.Lease()
		r, err := good.Do(context.Background(), Request{
			Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, MaxIdle: time.Minute, Memory: lease,
		})
		require.NoError(t, err)
		require.Equal(t, "ok", string(r.Body))
		lease.Close()
	}
	close(stop)
	wg.Wait()
}
