package dispatcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

// Incident 0016: the line of a failed request did not tell a backend server that ended from
// one whose response was not accepted.
func TestFailedRequestNamesDisconnects(t *testing.T) {
	cutOff := unknown
	cutOff.Disconnected = true
	cases := map[string]struct {
		a, b Result
		want int
	}{
		"both servers":      {cutOff, cutOff, 2},
		"the first only":    {cutOff, unknown, 1},
		"none":              {unknown, unknown, 0},
		"not run elsewhere": {cutOff, notRun(ReasonNoServer), 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := &fakeServer{results: []Result{tt.a}}, &fakeServer{results: []Result{tt.b}}
			cluster := &fakeCluster{
				cfg: testConfiguration(), order: []partitioner.NodeID{"a", "b"}, budget: 9,
				servers: map[partitioner.NodeID]*fakeServer{"a": a, "b": b},
			}
			var log bytes.Buffer
			d := NewDispatcher(cluster, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.New(&log))
			r := httptest.NewRequest(http.MethodGet, "/read/x", http.NoBody)
			r.Host = "h"
			d.ServeHTTP(httptest.NewRecorder(), r)

			var line struct {
				Message, Fingerprint string
				Disconnected         int
			}
			require.NoError(t, json.Unmarshal(log.Bytes(), &line))
			require.Equal(t, "request failed", line.Message)
			require.Equal(t, tt.want, line.Disconnected)
			want := ""
			if tt.want > 0 {
				want = a.calls[0].Fingerprint().String()
			}
			require.Equal(t, want, line.Fingerprint)
		})
	}
}
