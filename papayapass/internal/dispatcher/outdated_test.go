package dispatcher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// slowBody ends when the configuration has become outdated.
type slowBody struct{ cluster *fakeCluster }

func (b slowBody) Read([]byte) (int, error) {
	b.cluster.fresh = Outdated
	return 0, io.EOF
}

// A request whose body had outlasted the age of the configuration ran with a key that may have been taken away.
func TestBodyThatOutlastsTheConfigurationIsRefused(t *testing.T) {
	server := &fakeServer{results: []Result{ok200()}}
	v := &fakeCluster{cfg: closedConfiguration(descriptor.Customer{Name: "acme", Keys: []string{"k1"}}), order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": server}, fresh: Current}
	d := NewDispatcher(v, fakeCodec{}, timer.BootClock{}, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
	r := httptest.NewRequest(http.MethodPost, "/read/x", http.NoBody)
	r.Body, r.ContentLength, r.Host = io.NopCloser(slowBody{v}), -1, "h"
	r.Header.Set("Customer-Key", "k1")
	w := httptest.NewRecorder()
	d.ServeHTTP(w, r)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}
