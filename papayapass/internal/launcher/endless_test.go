package launcher

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/overseer"
)

// startEndless starts a server that responds with start and then more without end, and returns its
// address and the number of bytes that it could send.
func startEndless(t *testing.T, start, more string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := &atomic.Int64{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for text := start; ; text = strings.Repeat(more, 1<<12) {
			n, err := c.Write([]byte(text))
			sent.Add(int64(n))
			if err != nil {
				return
			}
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
	return l.Addr().String(), sent
}

// A store in trouble sends a head without end. Up to 10 MiB of each were kept, and interim responses
// for as long as the call may take.
func TestEndlessHeadOfTheStoreIsCutOff(t *testing.T) {
	for name, tt := range map[string]struct{ start, more string }{
		"a header":          {"HTTP/1.1 200 OK\r\nServer: ", "a"},
		"many headers":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"no answer":         {"x", "x"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := startEndless(t, tt.start, tt.more)
			transport := newStoreTransport()
			defer transport.CloseIdleConnections()
			req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
			require.NoError(t, err)
			resp, err := transport.RoundTrip(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			require.Error(t, err)
			require.Less(t, sent.Load(), int64(8<<20), "with what the buffers of the connection take")
		})
	}
}

// Many nodes in trouble answer control calls without end at the same time. All replies together
// share a budget; each has a limit of its own as well.
func TestEndlessRepliesOfNodesShareABudget(t *testing.T) {
	const budget, calls = 1 << 20, 8
	c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, "127.0.0.1:1", enveloper.NewEnveloper(`{"id":""}`))
	c.memory = budgeter.NewBudget(budget)
	for name, head := range map[string]string{"no length": "", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			more := "4\r\nbody\r\n"
			address, _ := startEndless(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n", more)
			var wg sync.WaitGroup
			errs := make([]error, calls)
			for i := range calls {
				wg.Go(func() { _, errs[i] = c.Probe(context.Background(), address, overseer.ProbeRequest{}) })
			}
			wg.Wait()
			for _, err := range errs {
				require.True(t, errors.Is(err, budgeter.ErrExhausted), "%v", err)
			}
			require.Zero(t, c.memory.Used())
		})
	}
}
