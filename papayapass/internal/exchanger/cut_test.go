package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
)

// cutServer writes a part of a response to each request and ends the connection.
type cutServer struct {
	address string
	// part and reset are what the next connection gets.
	part  atomic.Pointer[string]
	reset atomic.Bool
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &cutServer{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.serve(c)
		}
	}()
	return s
}

// serve responds to request 0 and keeps the connection, so that the next one is cut on it.
func (s *cutServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Header.Get(idHeader) != "0" {
			break
		}
		if _, err := c.Write([]byte(okResponse("0", "ok"))); err != nil {
			return
		}
	}
	if _, err := c.Write([]byte(*s.part.Load())); err != nil {
		return
	}
	if s.reset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// request sends request 1 on a connection on which request 0 was answered, and closes it.
func (s *cutServer) request(t *testing.T, method, part string) (*Response, error) {
	t.Helper()
	s.part.Store(&part)
	e := NewExchanger(s.address, time.Minute, time.Minute, 1<<20, matchesID)
	defer e.Close()
	_, err := e.Do(context.Background(), Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"0"}}})
	require.NoError(t, err)
	memory := budgeter.NewBudget(1 << 20)
	lease := memory.Lease()
	r, err := e.Do(context.Background(), Request{
		Method: cmp.Or(method, http.MethodGet), URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, MaxIdle: time.Minute, Memory: lease,
	})
	lease.Close()
	require.Zero(t, memory.Used())
	if err != nil {
		require.Empty(t, e.idle, "after %q", part)
		require.True(t, errors.Is(err, ErrMalformed) || errors.Is(err, ErrOtherRequest), "after %q: %v", part, err)
		require.False(t, errors.Is(err, ErrNotSent), "the request may have run")
	}
	return r, err
}

// cutResponses lists whole responses by their framing.
var cutResponses = map[string]struct {
	method, text string
	status       int
	body         string
	// delimited means that the end of the connection ends the body.
	delimited bool
}{
	"length": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: 3e1b.07.5a2\r\nContent-Length: 12\r\n\r\nhello, world", status: 200, body: "hello, world",
	},
	"length before signature": {
		text: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nRequest-Id: 1\r\nSignature: 3e1b.07.5a2\r\n\r\nhello, world", status: 200, body: "hello, world",
	},
	"no body": {
		text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: 1\r\nSignature: 3e1b\r\n\r\n", status: 200,
	},
	"chunked": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\nSignature: 3e1b\r\n\r\n5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\n\r\n", status: 200, body: "hello, world",
	},
	"chunked with trailer": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nSignature: 3e1b\r\n\r\nc\r\nhello, world\r\n0\r\nSum: 12\r\n\r\n", status: 200, body: "hello, world",
	},
	"without a length": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: 3e1b\r\nConnection: close\r\n\r\nhello, world", status: 200, body: "hello, world", delimited: true,
	},
	"HEAD": {
		method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: 3e1b\r\nContent-Length: 12\r\n\r\n", status: 200,
	},
	"204": {text: "HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nSignature: 3e1b\r\n\r\n", status: 204},
	"304": {text: "HTTP/1.1 304 Not Modified\r\nRequest-Id: 1\r\nSignature: 3e1b\r\nContent-Length: 12\r\n\r\n", status: 304},
	"failure": {
		text: "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: 1\r\nSignature: 3e1b\r\nContent-Length: 4\r\n\r\noops", status: 500, body: "oops",
	},
	"interim responses before it": {
		text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: 1\r\nSignature: 3e1b\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhello", status: 200, body: "hello",
	},
	"response to another request before it": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 5\r\n\r\nhello", status: 200, body: "hello",
	},
	"line feeds only": {
		text: "HTTP/1.1 200 OK\nRequest-Id: 1\nSignature: 3e1b\nConnection: close\n\nhello", status: 200, body: "hello", delimited: true,
	},
	"folded header": {
		text: "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nNote: a\r\n  b\r\n \r\nSignature: 3e1b\r\nConnection: close\r\n\r\nhello", status: 200, body: "hello", delimited: true,
	},
}

// A backend server stops after each byte of a response and closes or resets the connection.
// No part is taken for a response, and none leaves a connection or memory behind.
func TestResponseCutAfterEachByte(t *testing.T) {
	for name, tt := range cutResponses {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+how, func(t *testing.T) {
				t.Parallel()
				s := newCutServer(t)
				s.reset.Store(reset)
				head := len(tt.text) - len(tt.body) // for a body without framing
				for n := range len(tt.text) + 1 {
					part := tt.text[:n]
					r, err := s.request(t, tt.method, part)
					switch {
					case tt.delimited && n >= head && !reset:
						require.NoError(t, err, "the end of the connection is the end of the body")
						require.Equal(t, tt.body[:n-head], string(r.Body))
					case tt.delimited, n < len(tt.text):
						require.Error(t, err, "after %q: %+v", part, r)
					default:
						require.NoError(t, err)
						require.Equal(t, tt.status, r.Status)
						require.Equal(t, tt.body, string(r.Body))
					}
				}
			})
		}
	}
}

// The line of a head that frames the body is lost, and the connection ends in the body or after
// it. Such a head says that the connection is kept, so the end of the connection is not that of
// the body.
func TestResponseWithoutItsFramingIsError(t *testing.T) {
	cases := map[string]struct {
		head, body string
		ok         bool
	}{
		"Content-Length":              {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n", "hello", false},
		"Transfer-Encoding":           {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n", false},
		"Content-Length, Connection":  {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: Server-Load, Keep-Alive\r\n\r\n", "hello", false},
		"of a failure":                {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n", "oops", false},
		"none, 204":                   {"HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n", "", true},
		"none, 304":                   {"HTTP/1.1 304 Not Modified\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n", "", true},
		"none, the connection closes": {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\n\r\n", "hello", true},
		"unclear whether it closes":   {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nConnection: close\r\nKeep-Alive: timeout=10\r\n\r\n", "hello", false},
		"there":                       {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 5\r\n\r\n", "hello", true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCutServer(t)
			if tt.ok {
				r, err := s.request(t, http.MethodGet, tt.head+tt.body)
				require.NoError(t, err)
				require.Equal(t, tt.body, string(r.Body))
				return
			}
			for n := range len(tt.body) + 1 {
				_, err := s.request(t, http.MethodGet, tt.head+tt.body[:n])
				require.Error(t, err, "after %d bytes of the body", n)
			}
		})
	}
}

// A HEAD request has a response without a body, whatever its head says.
func TestResponseToHEADNeedsNoFraming(t *testing.T) {
	r, err := newCutServer(t).request(t, http.MethodHead, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nKeep-Alive: timeout=10\r\n\r\n")
	require.NoError(t, err)
	require.Empty(t, r.Body)
}

// A backend server stops in the middle of a second response to an earlier request, keeps the
// connection open and then responds to the next request. The rest of the head of one must not
// complete the head of the other.
func TestPartOfLateResponseIsNotMixedIntoNext(t *testing.T) {
	late := map[string]string{
		"success":      "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 05:00:00 GMT\r\nSignature: 3e1b\r\nServer-Load: 1,0,8\r\nRequest-Id: 0\r\nContent-Length: 2\r\n\r\nok",
		"refusal":      "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nRequest-Id: 0\r\nContent-Length: 0\r\n\r\n",
		"folded":       "HTTP/1.1 200 OK\r\nNote: a\r\n b\r\nRequest-Id: 0\r\nContent-Length: 0\r\n\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		"without body": "HTTP/1.1 204 No Content\r\nSignature: 3e1b\r\nRequest-Id: 0\r\n\r\n",
	}
	next := map[string]struct {
		text   string
		status int
		body   string
	}{
		"success":             {"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSignature: 77aa\r\nContent-Length: 2\r\n\r\nno", 200, "no"},
		"failure":             {"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: 1\r\nSignature: 77aa\r\nContent-Length: 4\r\n\r\noops", 500, "oops"},
		"HTTP/1.0, no reason": {"HTTP/1.0 504 \r\nRequest-Id: 1\r\nSignature: 77aa\r\nContent-Length: 0\r\n\r\n", 504, ""},
	}
	for lateName, first := range late {
		for nextName, second := range next {
			t.Run(lateName+" before "+nextName, func(t *testing.T) {
				t.Parallel()
				s := newCutServer(t)
				for n := range len(first) + 1 {
					part := first[:n]
					r, err := s.request(t, http.MethodGet, part+second.text)
					if err != nil && n > 0 {
						continue
					}
					require.NoError(t, err)
					require.Equal(t, second.status, r.Status, "after %q", part)
					require.Equal(t, "77aa", r.Header.Get("Signature"), "after %q", part)
					require.Empty(t, r.Header.Get("Not-Run"), "after %q", part)
					require.Equal(t, second.body, string(r.Body), "after %q", part)
				}
			})
		}
	}
}
