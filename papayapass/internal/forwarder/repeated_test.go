package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

func signedAnswer(id string) string {
	return "HTTP/1.1 200 OK\r\nSeal: s\r\nId: " + id + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
}

// repeatingServer refuses the first request of each id, runs the later ones, and writes the
// refusals of a connection once more.
type repeatingServer struct {
	// write writes the answer of a run; refused is what the connection refused before.
	write func(c net.Conn, refused, answer string)

	mu   sync.Mutex
	seen map[string]bool
	runs map[string]int
	// last is the refusal last written, on lastOn.
	last   string
	lastOn net.Conn
}

// newRepeatingForwarder returns a forwarder to the server.
func newRepeatingForwarder(t *testing.T, s *repeatingServer) *testForwarder {
	t.Helper()
	f := newTestForwarderAt(t, s.start(t))
	_, ok := f.Heartbeat(f.heartbeat(), nil)
	require.True(t, ok)
	return f
}

func (f *testForwarder) callWithID(id string) *dispatcher.Call {
	c := f.call(false)
	c.ID, c.Header = id, http.Header{"Id": {id}}
	return c
}

// start serves on loopback and returns the address.
func (s *repeatingServer) start(t *testing.T) string {
	t.Helper()
	s.seen, s.runs = make(map[string]bool), make(map[string]int)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *repeatingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, refused := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		if s.refuse(c, id) {
			refused += refusal(id)
		} else {
			s.write(c, refused, signedAnswer(id))
		}
	}
}

// refuse refuses the first request with an id, and counts the later ones as runs.
func (s *repeatingServer) refuse(c net.Conn, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[id] {
		s.runs[id]++
		return false
	}
	s.seen[id], s.last, s.lastOn = true, refusal(id), c
	_, _ = c.Write([]byte(s.last)) // the caller notices a lost connection
	return true
}

// accept makes the server run the first request with an id.
func (s *repeatingServer) accept(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id] = true
}

func (s *repeatingServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// repeat writes the last refusal once more on its connection, if that is still open.
func (s *repeatingServer) repeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.lastOn.Write([]byte(s.last)) // the connection may be closed
}

// repeatingServers returns servers by the moment at which they repeat a refusal.
func repeatingServers() map[string]*repeatingServer {
	write := func(parts ...string) func(net.Conn, string, string) {
		return func(c net.Conn, refused, answer string) {
			for _, part := range parts {
				text := strings.NewReplacer("refusal", refused, "answer", answer).Replace(part)
				_, _ = c.Write([]byte(text)) // the caller notices a lost connection
			}
		}
	}
	return map[string]*repeatingServer{
		"while the connection is idle": {write: write("answer")},
		"before the answer":            {write: write("refusal", "answer")},
		"in the answer's packet":       {write: write("refusalanswer")},
		"after the answer":             {write: write("answer", "refusal")},
	}
}

// A request that was refused is sent again and runs, and the backend server writes the
// refusal once more (REFUSED, TWICE).
func TestRepeatedRefusalDoesNotAnswerTheNextTry(t *testing.T) {
	for name, server := range repeatingServers() {
		t.Run(name, func(t *testing.T) {
			f := newRepeatingForwarder(t, server)
			for _, id := range []string{"1", "2"} {
				c := f.callWithID(id)
				require.Equal(t, dispatcher.NotRun, f.Serve(context.Background(), c).Outcome)
				if name == "while the connection is idle" {
					server.repeat()
				}
				res := f.Serve(context.Background(), c)
				require.Equal(t, dispatcher.Answered, res.Outcome, "the request has run")
				require.Equal(t, id, string(res.Response.Body))
				require.Equal(t, 1, server.runsOf(id))
			}
		})
	}
}

// The same with a node between: a call over a kept connection to it gets one result.
func TestRepeatedRefusalDoesNotReachOtherNodes(t *testing.T) {
	for name, server := range repeatingServers() {
		t.Run(name, func(t *testing.T) {
			f := newRepeatingForwarder(t, server)
			e := enveloper.NewEnveloper(`{"id":""}`)
			node := httptest.NewServer(dispatcher.NewPeerHandler(f, timer.BootClock{}, e, budgeter.NewBudget(1<<20), &tracer.Tracer{}))
			defer node.Close()
			peer := dispatcher.NewPeer(strings.TrimPrefix(node.URL, "http://"), timer.BootClock{}, e)
			defer peer.Close()
			for _, id := range []string{"1", "2", "3"} {
				c := f.callWithID(id)
				require.Equal(t, dispatcher.NotRun, peer.Serve(context.Background(), c).Outcome)
				if name == "while the connection is idle" {
					server.repeat()
				}
				res := peer.Serve(context.Background(), c)
				require.Equal(t, dispatcher.Answered, res.Outcome, "the request has run")
				require.Equal(t, id, string(res.Response.Body))
			}
		})
	}
}

// Refusals of other requests, and such without an id, must not answer a request that runs.
func TestRefusalOfAnotherRequestIsNoAnswer(t *testing.T) {
	anonymous := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"no id":          anonymous,
		"other id":       refusal("0"),
		"both":           anonymous + refusal("0"),
		"closes":         "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"empty id":       refusal(""),
		"two ids":        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nId: 0\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"421 without id": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := &repeatingServer{write: func(c net.Conn, _, answer string) {
				_, _ = c.Write([]byte(text + answer)) // the caller notices a lost connection
			}}
			f := newRepeatingForwarder(t, server)
			server.accept("1")
			require.Equal(t, dispatcher.Answered, f.Serve(context.Background(), f.call(false)).Outcome)
		})
	}
}

// A request is refused, and its second try ends without an answer after the refusal has been
// repeated: the outcome is unknown.
func TestRepeatedRefusalOfALostRunIsNoAnswer(t *testing.T) {
	server := &repeatingServer{write: func(c net.Conn, refused, _ string) {
		_, _ = c.Write([]byte(refused)) // the caller notices a lost connection
		_ = c.Close()
	}}
	f := newRepeatingForwarder(t, server)
	require.Equal(t, dispatcher.NotRun, f.Serve(context.Background(), f.call(false)).Outcome)
	require.Equal(t, dispatcher.Unknown, f.Serve(context.Background(), f.call(false)).Outcome)
}

// A request without an id has nothing that distinguishes its answer from an earlier one.
func TestRequestWithoutIDGetsNoEarlierAnswer(t *testing.T) {
	server := &repeatingServer{write: func(c net.Conn, refused, answer string) {
		_, _ = c.Write([]byte(refused + answer)) // the caller notices a lost connection
	}}
	f := newRepeatingForwarder(t, server)
	c := f.callWithID("")
	c.Header = http.Header{}
	require.Equal(t, dispatcher.NotRun, f.Serve(context.Background(), c).Outcome)
	require.Equal(t, dispatcher.Answered, f.Serve(context.Background(), c).Outcome)
}

// A backend server that refuses a request and answers it as well may have run it.
func TestRefusalWithAnAnswerIsNoRefusal(t *testing.T) {
	for name, text := range map[string]string{
		"an answer":         refusal("1") + signedAnswer("1"),
		"part of an answer": refusal("1") + "HTTP/1.1 200 OK\r\nSeal: s\r\nId: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := &repeatingServer{write: func(c net.Conn, _, _ string) {
				_, _ = c.Write([]byte(text)) // the caller notices a lost connection
			}}
			f := newRepeatingForwarder(t, server)
			server.accept("1")
			res := f.Serve(context.Background(), f.call(false))
			require.Equal(t, dispatcher.Unknown, res.Outcome)
			require.True(t, res.Sent)
		})
	}
}
