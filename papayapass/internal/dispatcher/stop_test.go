package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
)

// newStoppingDispatcher returns a dispatcher of a node that gives up what is in flight after a time.
func newStoppingDispatcher(cluster Cluster, left time.Duration) (*Dispatcher, *timer.ManualClock) {
	clock := &timer.ManualClock{}
	clock.Advance(time.Hour)
	d := NewDispatcher(cluster, fakeCodec{}, clock, "own-service", fakeCounter{}, budgeter.NewBudget(1<<20), &tracer.Tracer{}, zerolog.Nop())
	d.Stop(clock.Now().Add(left))
	return d, clock
}

// Report of other operators: requests that came late in the grace period were passed on and cut off at
// its end, among them such as must not be repeated (incident 0026).
func TestRequestLateInTheGraceIsRefused(t *testing.T) {
	const timeout, objective = time.Second, 200 * time.Millisecond // of the test's routes
	for name, tt := range map[string]struct {
		left time.Duration
		want time.Duration // until the deadline of the call; zero if it is refused
	}{
		"enough time":                  {2 * timeout, timeout},
		"as much as the time-out":      {timeout, timeout},
		"less than the time-out":       {timeout / 2, timeout / 2},
		"as much as the objective":     {objective, objective},
		"less than the objective":      {objective - time.Millisecond, 0},
		"at the end":                   {0, 0},
		"after the end of the process": {-time.Second, 0},
	} {
		for _, path := range []string{"/read/1", "/write/1"} {
			t.Run(name+", "+path, func(t *testing.T) {
				server := &fakeServer{results: []Result{ok200()}}
				cluster := &fakeCluster{cfg: testConfiguration(), order: []partitioner.NodeID{"a"}, servers: map[partitioner.NodeID]*fakeServer{"a": server}}
				d, clock := newStoppingDispatcher(cluster, tt.left)
				r := httptest.NewRequest(http.MethodPost, path, http.NoBody)
				r.Host, r.RequestURI = "h", path
				w := httptest.NewRecorder()
				d.ServeHTTP(w, r)
				if tt.want == 0 {
					require.Equal(t, http.StatusServiceUnavailable, w.Code)
					require.NotEmpty(t, w.Header().Get("Retry-After"))
					require.Empty(t, server.calls)
					return
				}
				require.Equal(t, http.StatusOK, w.Code)
				require.Equal(t, clock.Now().Add(tt.want), server.calls[0].Deadline)
			})
		}
	}
}

// waitingServer keeps calls waiting until their context ends.
type waitingServer struct {
	result  Result
	waiting chan struct{}
}

func (s *waitingServer) Serve(ctx context.Context, _ *Call) Result {
	close(s.waiting)
	<-ctx.Done()
	return s.result
}

// waitingCluster has one server.
type waitingCluster struct {
	fakeCluster

	server Server
}

func (c *waitingCluster) Choose(*Call, map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason) {
	return c.server, "a", ReasonNone
}

// Requests that wait for a key, a verdict or a slot when a stopping node ends are answered, and not
// cut off (incident 0026).
func TestWaitingRequestIsAnsweredAtTheEnd(t *testing.T) {
	for name, tt := range map[string]struct {
		result Result
		want   int
	}{
		"has not run":      {notRun(ReasonCanceled), http.StatusServiceUnavailable},
		"may have run":     {unknown, http.StatusBadGateway},
		"just answered it": {ok200(), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			s := &waitingServer{tt.result, make(chan struct{})}
			d, _ := newStoppingDispatcher(&waitingCluster{fakeCluster{cfg: testConfiguration()}, s}, time.Minute)
			requests, end := context.WithCancel(context.Background())
			go func() {
				<-s.waiting
				end()
			}()
			r := httptest.NewRequest(http.MethodGet, "/read/1", http.NoBody).WithContext(requests)
			r.Host, r.RequestURI = "h", "/read/1"
			w := httptest.NewRecorder()
			d.ServeHTTP(w, r)
			require.Equal(t, tt.want, w.Code)
		})
	}
}
