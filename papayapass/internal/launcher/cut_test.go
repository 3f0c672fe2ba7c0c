package launcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/granter"
)

// A backend server stops after each byte of its response to a grant or a release and closes or
// resets the connection. Only the whole response tells whether the keys are held or released.
func TestKeyRequestCutAfterEachByteIsUnknown(t *testing.T) {
	responses := map[string]struct {
		text     string
		want     granter.Result
		handover string
	}{
		"done":     {"HTTP/1.1 200 OK\r\nHandover: 5c0e7a21\r\nContent-Length: 0\r\n\r\n", granter.Done, "5c0e7a21"},
		"chunked":  {"HTTP/1.1 200 OK\r\nHandover: 5c0e7a21\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", granter.Done, "5c0e7a21"},
		"body":     {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\nHandover: 5c0e7a21\r\n\r\n{}", granter.Done, "5c0e7a21"},
		"refused":  {"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}", granter.Refused, ""},
		"rejected": {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", granter.Unknown, ""},
	}
	for name, tt := range responses {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+how, func(t *testing.T) {
				t.Parallel()
				var part atomic.Value
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = l.Close() }()
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
							_, _ = io.Copy(io.Discard, request.Body)     // the node sends whole requests
							_, _ = c.Write([]byte(part.Load().(string))) // the node may have closed the connection
						}
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					}
				}()
				for n := range len(tt.text) + 1 {
					for _, release := range []bool{false, true} {
						part.Store(tt.text[:n])
						call := granter.Call{Release: release, First: 1, Last: 2, Token: 3, Hold: time.Second}
						want, wantHandover := granter.Unknown, ""
						if n == len(tt.text) && (!release || tt.want != granter.Refused) {
							want, wantHandover = tt.want, tt.handover
						}
						// On a busy machine, a connect or a grant may take longer than its time-out.
						retry := func(r granter.Result) bool {
							return r == granter.NotDelivered || r == granter.Unreachable || r == granter.Unconfirmed || (want != granter.Unknown && r == granter.Unknown)
						}
						got, handover := granter.NotDelivered, ""
						for deadline := time.Now().Add(waitTimeout); retry(got) && time.Now().Before(deadline); {
							c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, l.Addr().String(), enveloper.NewEnveloper("{}"))
							got, handover = c.UpdateGrant(context.Background(), call)
							c.server.Close()
						}
						require.Equal(t, want, got, "after %q", tt.text[:n])
						require.Equal(t, wantHandover, handover)
					}
				}
			})
		}
	}
}

// A backend server writes a second response to an earlier grant when the response to a release
// is due. The keys are not released: work on them may be running.
func TestLateResponseToGrantIsNoRelease(t *testing.T) {
	const granted, released = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nHandover: 5c0e7a21\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		text string
		want granter.Result
	}{
		"second response to a grant":               {granted, granter.Unknown},
		"second response to a grant, then its own": {granted + released, granter.Done},
		"second refusal of a grant":                {"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", granter.Unknown},
		"its own response":                         {released, granter.Done},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			go func() {
				for _, text := range []string{granted, tt.text} { // a release has a connection of its own
					c, err := l.Accept()
					if err != nil {
						return
					}
					request, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body) // the node sends whole requests
					_, _ = io.WriteString(c, text)           // the node may have closed the connection
					defer func() { _ = c.Close() }()
				}
			}()
			c := newClient(fakeAdapter(&memoryStore{}).GrantAPI, l.Addr().String(), enveloper.NewEnveloper("{}"))
			defer c.server.Close()
			result, _ := c.UpdateGrant(context.Background(), granter.Call{First: 1, Last: 2, Token: 3, Hold: time.Second})
			require.Equal(t, granter.Done, result)
			result, _ = c.UpdateGrant(context.Background(), granter.Call{Release: true, First: 1, Last: 2, Token: 3})
			require.Equal(t, tt.want, result)
		})
	}
}
