package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Only a connection that the server closed counts as a disconnect, not one that the node gave
// up, nor a response that it did not accept.
func TestDisconnects(t *testing.T) {
	cases := map[string]struct {
		text        string
		reset, hold bool
		want        bool
	}{
		"before the response":   {want: true},
		"within the head":       {text: "HTTP/1.1 200 OK\r\nContent-", want: true},
		"within the body":       {text: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\nContent-Length: 9\r\n\r\nab", want: true},
		"reset":                 {reset: true, want: true},
		"no protocol":           {text: "garbage\r\n\r\n"},
		"of another request":    {text: "HTTP/1.1 200 OK\r\n" + idHeader + ": 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
		"given up by the node":  {hold: true},
		"given up in the head":  {text: "HTTP/1.1 200 OK\r\nContent-", hold: true},
		"complete, then closed": {text: okResponse("1", "ok")},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			done := make(chan struct{})
			defer close(done)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = c.Write([]byte(tt.text))
				if tt.hold {
					<-done
				}
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}()
			wait := 5 * time.Second
			if tt.hold {
				wait = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, err = newTestExchanger(l.Addr().String()).Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}})
			require.Equal(t, tt.want, errors.Is(err, ErrDisconnected), "%v", err)
		})
	}
}
