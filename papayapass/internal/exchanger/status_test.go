package exchanger

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// A backend server in trouble answered with the status 000, which counted as an interim response: the
// caller waited until its deadline, and what followed was read as its answer.
func TestStatusThatIsNoneIsMalformed(t *testing.T) {
	cases := map[string]struct{ before, status string }{
		"zero": {"", "000"}, "one": {"", "001"}, "below the interim ones": {"", "099"}, "signed": {"", "+20"},
		"above": {"", "600"}, "far above": {"", "999"}, "after an interim response": {"HTTP/1.1 103 Early Hints\r\n\r\n", "000"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			address, connections := serve(t, func(n int, id string) string {
				if n > 1 {
					return okResponse(id, "b")
				}
				return tt.before + "HTTP/1.1 " + tt.status + " Odd\r\n" + idHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n" + okResponse(id, "a")
			})
			e := newTestExchanger(address)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := e.Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, MaxIdle: time.Minute})
			require.True(t, errors.Is(err, ErrMalformed), "%v", err)
			require.False(t, errors.Is(err, ErrNotSent), "the request may have run")
			response, err := do(e, "2")
			require.NoError(t, err)
			require.Equal(t, "b", string(response.Body))
			require.Equal(t, int32(2), connections.Load(), "the connection must be closed")
		})
	}
}
