package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

// readingServer reads a part of the body that follows its head, then returns a result.
type readingServer struct {
	reads  int64 // negative for all
	result Result
	calls  int
}

func (s *readingServer) Serve(_ context.Context, c *Call) Result {
	s.calls++
	if s.reads < 0 {
		_, _ = io.Copy(io.Discard, c.Stream) // the stream keeps the error
	} else if s.reads > 0 {
		_, _ = io.CopyN(io.Discard, c.Stream, s.reads)
	}
	return s.result
}

// readingCluster chooses among reading servers.
type readingCluster struct {
	*fakeCluster
	servers []*readingServer
}

func (c readingCluster) Choose(_ *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	if len(tried) >= len(c.servers) {
		return nil, "", ReasonNoServer
	}
	return c.servers[len(tried)], partitioner.NodeID(strconv.Itoa(len(tried))), ReasonNone
}

func TestLargeBodiesArePassedOn(t *testing.T) {
	const size = 600 << 10
	whole := strings.Repeat("x", size)
	announced := "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(size, 16) + "\r\n"
	cases := map[string]struct {
		text    string
		servers []*readingServer
		running int64
		status  int
		calls   []int
	}{
		"served":                          {announced + whole, []*readingServer{{-1, ok200(), 0}}, 0, http.StatusOK, []int{1}},
		"served in chunks":                {chunked + whole + "\r\n0\r\n\r\n", []*readingServer{{-1, ok200(), 0}}, 0, http.StatusOK, []int{1}},
		"rejected before more is read":    {announced + whole, []*readingServer{{0, notRun(ReasonUnreachable), 0}, {-1, ok200(), 0}}, 0, http.StatusOK, []int{1, 1}},
		"rejected after more was read":    {announced + whole, []*readingServer{{1, notRun(ReasonUnreachable), 0}, {-1, ok200(), 0}}, 0, http.StatusServiceUnavailable, []int{1, 0}},
		"failed after more was read":      {announced + whole, []*readingServer{{1, unknown, 0}, {-1, ok200(), 0}}, 0, http.StatusBadGateway, []int{1, 0}},
		"answered before it was read":     {announced + whole[:streamHeadBytes], []*readingServer{{0, ok200(), 0}}, 0, http.StatusOK, []int{1}},
		"stopped short of its end":        {"Wait: 3s\r\n" + announced + whole[1:], []*readingServer{{-1, unknown, 0}, {-1, ok200(), 0}}, 0, http.StatusGatewayTimeout, []int{1, 0}},
		"stopped before it was passed on": {"Wait: 300ms\r\n" + announced + "x", []*readingServer{{-1, ok200(), 0}}, 0, http.StatusRequestTimeout, []int{0}},
		"over the limit":                  {"Content-Length: 1048577\r\n\r\n", []*readingServer{{-1, ok200(), 0}}, 0, http.StatusRequestEntityTooLarge, []int{0}},
		"over the limit in chunks":        {"Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 1<<20+1), []*readingServer{{-1, unknown, 0}}, 0, http.StatusRequestEntityTooLarge, []int{1}},
		"no place":                        {announced, []*readingServer{{-1, ok200(), 0}}, maxStreams, http.StatusServiceUnavailable, []int{0}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			cfg := testConfiguration()
			cfg.Limits.BodyBytes, cfg.Routes[0].Timeout = 1<<20, time.Minute
			memory := budgeter.NewBudget(1 << 20)
			d := NewDispatcher(readingCluster{&fakeCluster{cfg: cfg, budget: 9}, tt.servers}, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, memory, &tracer.Tracer{}, zerolog.Nop())
			d.SetLargestKeptBody(64 << 10)
			d.large.running.Store(tt.running)
			s := httptest.NewServer(d)
			t.Cleanup(s.Close)
			conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				_, _ = io.WriteString(conn, "POST /read/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"+tt.text) // the node may not read all
			}()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.status, resp.StatusCode)
			require.Equal(t, tt.status == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "")
			for i, n := range tt.calls {
				require.Equal(t, n, tt.servers[i].calls, "server %d", i)
			}
			s.Close() // waits for the handler
			require.Equal(t, tt.running, d.large.running.Load())
			require.Zero(t, memory.Used())
		})
	}
}
