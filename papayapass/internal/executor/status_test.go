package executor

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/limiter"
	"papayapass.dev/papayapass/internal/wirepb"
)

// A backend server in trouble answered with the status 000, and the caller got 200.
func TestStatusThatIsNoneIsUnknown(t *testing.T) {
	cases := map[string]struct{ before, status string }{
		"zero": {"", "000"}, "one": {"", "001"}, "below the interim ones": {"", "099"},
		"above": {"", "600"}, "far above": {"", "999"}, "after an interim response": {"HTTP/1.1 100 Continue\r\n\r\n", "000"},
	}
	for name, tt := range cases {
		for how, piece := range map[string]int{"whole": 1 << 10, "byte by byte": 1} {
			t.Run(name+" "+how, func(t *testing.T) {
				s := newScriptedServer(t, func(conn net.Conn, _ string) {
					for text := tt.before + "HTTP/1.1 " + tt.status + " Odd\r\nContent-Length: 0\r\n\r\n"; text != ""; {
						n := min(piece, len(text))
						fmt.Fprint(conn, text[:n])
						text = text[n:]
					}
				})
				b := s.backend()
				answer, result := b.call(request("GET"), callParams{timeout: callTimeout})
				require.Equal(t, wirepb.Outcome_OUTCOME_UNKNOWN, answer.GetOutcome())
				require.Equal(t, wirepb.Reason_REASON_LOST_CONNECTION, answer.GetReason())
				require.Equal(t, limiter.ResultFailed, result)
			})
		}
	}
}
