package pipeliner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
)

func TestFrame(t *testing.T) {
	const plain = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"
	for name, test := range map[string]struct {
		data string
		n    int // zero: all
		want framing
	}{
		"plain":             {data: plain, want: bodiless},
		"two":               {data: plain + plain, n: len(plain), want: bodiless},
		"cut":               {data: plain[:len(plain)-1], want: incomplete},
		"length":            {data: "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", want: opaque},
		"chunked":           {data: "GET /a HTTP/1.1\r\nHost: a\r\ntransfer-Encoding: chunked\r\n\r\n", want: opaque},
		"post":              {data: "POST /a HTTP/1.1\r\nHost: a\r\n\r\n", want: opaque},
		"old protocol":      {data: "GET /a HTTP/1.0\r\nHost: a\r\n\r\n", want: opaque},
		"close":             {data: "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", want: opaque},
		"bare line feed":    {data: "GET /a HTTP/1.1\r\nHost: a\r\nX: 1\n\nGET /b HTTP/1.1\r\n\r\n", want: opaque},
		"folded":            {data: "GET /a HTTP/1.1\r\nHost: a\r\nX: 1\r\n Content-Length: 5\r\n\r\n", want: opaque},
		"space before":      {data: "GET /a HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\n", want: opaque},
		"no host":           {data: "GET /a HTTP/1.1\r\nX: a\r\n\r\n", want: opaque},
		"two hosts":         {data: "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", want: opaque},
		"odd host":          {data: "GET /a HTTP/1.1\r\nHost: a/b\r\n\r\n", want: opaque},
		"control character": {data: "GET /a HTTP/1.1\r\nHost: a\r\nX: a\x00b\r\n\r\n", want: opaque},
		"too large":         {data: "GET /" + strings.Repeat("a", maxHeadBytes), want: opaque},
	} {
		t.Run(name, func(t *testing.T) {
			n, f := frame([]byte(test.data))
			require.Equal(t, test.want, f)
			if test.n == 0 {
				test.n = len(test.data)
			}
			require.Equal(t, test.n, n)
		})
	}
}

// site is a server whose requests wait until they are released by path.
type site struct {
	t       *testing.T
	mu      sync.Mutex
	running chan string
	release map[string]chan struct{}
	ended   chan string
	close   map[string]bool // paths whose responses close the connection
	address string
}

func newSite(t *testing.T, memory *budgeter.Budget) *site {
	s := &site{t: t, running: make(chan string, 32), ended: make(chan string, 32), release: make(map[string]chan struct{}), close: make(map[string]bool)}
	p := NewPipeliner(http.HandlerFunc(s.serve), func(r *http.Request) bool { return r.Method == http.MethodGet }, memory, zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: p, ConnContext: WithConn}
	go func() { _ = server.Serve(p.Listener(l)) }() // ends with the test
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *site) gate(path string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.release[path] == nil {
		s.release[path] = make(chan struct{})
	}
	return s.release[path]
}

func (s *site) serve(w http.ResponseWriter, r *http.Request) {
	s.running <- r.URL.Path
	select {
	case <-s.gate(r.URL.Path):
	case <-r.Context().Done():
		s.ended <- r.URL.Path
		return
	}
	if r.URL.Path == "/panic" {
		panic("planted")
	}
	s.mu.Lock()
	if s.close[r.URL.Path] {
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Path", r.URL.Path)
	_, _ = w.Write(append([]byte(r.URL.Path), body...))
}

type client struct {
	net.Conn

	t *testing.T
	r *bufio.Reader
}

func (s *site) connect() client {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	return client{c, s.t, bufio.NewReader(c)}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

func (c client) send(text string) {
	_, err := c.Write([]byte(text))
	require.NoError(c.t, err)
}

// receive reads a response and requires its body.
func (c client) receive(body string) *http.Response {
	resp, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	require.Equal(c.t, body, string(b))
	require.Equal(c.t, http.StatusOK, resp.StatusCode)
	return resp
}

func (s *site) awaitRunning(paths ...string) {
	var got []string
	for range paths {
		got = append(got, <-s.running)
	}
	require.ElementsMatch(s.t, paths, got)
}

// A slow request held up those that customers had sent behind it.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	for name, send := range map[string]func(client){
		"together":    func(c client) { c.send(get("/1") + get("/2") + get("/3")) },
		"in pieces":   func(c client) { c.send(get("/1") + get("/2")[:7]); c.send(get("/2")[7:] + get("/3")) },
		"one by one":  func(c client) { c.send(get("/1")); c.send(get("/2")); c.send(get("/3")) },
		"byte by one": func(c client) { sendBytes(c, get("/1")+get("/2")+get("/3")) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, nil)
			c := s.connect()
			send(c)
			s.awaitRunning("/1", "/2", "/3")
			close(s.gate("/3"))
			close(s.gate("/2"))
			close(s.gate("/1"))
			for _, path := range []string{"/1", "/2", "/3"} {
				require.Equal(t, path, c.receive(path).Header.Get("X-Path"))
			}
			close(s.gate("/4"))
			c.send(get("/4"))
			c.receive("/4")
		})
	}
}

func sendBytes(c client, text string) {
	for i := range text {
		c.send(text[i : i+1])
	}
}

func TestRequestsThatMustNotStartEarlyWaitForTheirTurn(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	c.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi" + get("/3"))
	s.awaitRunning("/1")
	close(s.gate("/2"))
	close(s.gate("/3"))
	close(s.gate("/1"))
	c.receive("/1")
	c.receive("/2hi")
	c.receive("/3")
	s.awaitRunning("/2", "/3")
}

func TestResponsesAreWrittenBeforeTheConnectionCloses(t *testing.T) {
	s := newSite(t, nil)
	s.close["/1"], s.close["/2"] = true, true
	c := s.connect()
	c.send(get("/1") + get("/2"))
	s.awaitRunning("/1", "/2")
	close(s.gate("/1"))
	require.False(t, c.receive("/1").Close)
	close(s.gate("/2"))
	require.True(t, c.receive("/2").Close)
}

func TestRequestsEndWithTheirConnection(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	c.send(get("/1") + get("/2"))
	s.awaitRunning("/1", "/2")
	require.NoError(t, c.Close())
	require.ElementsMatch(t, []string{"/1", "/2"}, []string{<-s.ended, <-s.ended})
}

func TestStartedRequestsAreLimited(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	close(s.gate("/all"))
	c.send(get("/first") + strings.Repeat(get("/wait"), 3*maxStarted))
	for range maxStarted + 1 {
		<-s.running
	}
	close(s.gate("/first"))
	c.receive("/first")
	close(s.gate("/wait"))
	for range 3 * maxStarted {
		c.receive("/wait")
	}
	require.LessOrEqual(t, len(s.running), 2*maxStarted)
}

// Without the abort, the server would have written an empty 200 for it.
func TestFailedRequestGetsNoResponse(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	c.send(get("/1") + get("/panic"))
	s.awaitRunning("/1", "/panic")
	close(s.gate("/panic"))
	close(s.gate("/1"))
	c.receive("/1")
	_, err := http.ReadResponse(c.r, nil)
	require.Error(t, err)
}

func TestRequestsWithoutMemoryWaitForTheirTurn(t *testing.T) {
	memory := budgeter.NewBudget(maxAheadBytes + startedBytes)
	s := newSite(t, memory)
	c := s.connect()
	c.send(get("/1") + get("/2") + get("/3"))
	s.awaitRunning("/1", "/2")
	close(s.gate("/3"))
	close(s.gate("/2"))
	close(s.gate("/1"))
	for _, path := range []string{"/1", "/2", "/3"} {
		c.receive(path)
	}
	s.awaitRunning("/3")
	require.Zero(t, memory.Used())
}

// A read that was sent behind a deletion got the state before it.
func TestRequestsDoNotOvertakeChanges(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	c.send("DELETE /1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/2") + get("/3"))
	s.awaitRunning("/1")
	close(s.gate("/1"))
	c.receive("/1")
	s.awaitRunning("/2", "/3") // the third beside the second
	close(s.gate("/2"))
	close(s.gate("/3"))
	c.receive("/2")
	c.receive("/3")
}

// What had arrived while the limit was reached waited for its turn, although there was room again.
func TestRequestsThatHaveArrivedStartWhenThereIsRoom(t *testing.T) {
	s := newSite(t, nil)
	c := s.connect()
	close(s.gate("/open"))
	c.send(strings.Repeat(get("/open"), maxStarted+1) + get("/wait") + strings.Repeat(get("/open"), 2))
	for range maxStarted + 1 {
		c.receive("/open")
	}
	for range maxStarted + 4 {
		<-s.running
	}
	close(s.gate("/wait"))
	c.receive("/wait")
}
