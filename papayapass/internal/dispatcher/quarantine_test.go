package dispatcher

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
)

func quarantineCluster(quarantined bool, servers ...*fakeServer) *fakeCluster {
	c := &fakeCluster{cfg: testConfiguration(), servers: make(map[partitioner.NodeID]*fakeServer), budget: 9, quarantined: quarantined}
	for i, s := range servers {
		id := partitioner.NodeID(rune('a' + i))
		c.order = append(c.order, id)
		c.servers[id] = s
	}
	return c
}

// A quarantined request is rejected at once, and no backend server gets it.
func TestQuarantinedRequestIsRejectedAtOnce(t *testing.T) {
	s := &fakeServer{results: []Result{ok200()}}
	w := serveRequest(quarantineCluster(true, s), http.MethodGet, "/read/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	require.Empty(t, s.calls)
}

// The retry of a request whose backend server ended says so, and a node that quarantines it
// ends the tries; the first one may have run.
func TestRetryAfterAnEndedServerIsSuspected(t *testing.T) {
	ended := &fakeServer{results: []Result{{Outcome: Unknown, Reason: ReasonBroken, Sent: true, Disconnected: true, ServerEnded: true}}}
	rejecting := &fakeServer{results: []Result{{Outcome: NotRun, Reason: ReasonQuarantined}}}
	third := &fakeServer{results: []Result{ok200()}}
	w := serveRequest(quarantineCluster(false, ended, rejecting, third), http.MethodGet, "/read/x", "", nil)
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Len(t, rejecting.calls, 1)
	require.True(t, rejecting.calls[0].IsSuspect)
	require.Empty(t, third.calls)
}
