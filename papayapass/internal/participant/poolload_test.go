package participant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// poolServer is a backend server of a shared pool.
type poolServer struct {
	estimator.Mean

	// duration is how long requests take.
	duration time.Duration
	served   int
	// fails is set if no request tells how long work takes.
	fails     bool
	rateLimit float64
}

// newPoolServer returns a backend server whose requests took a time so far, or which has ended none.
func newPoolServer(mean, duration time.Duration) *poolServer {
	s := &poolServer{duration: duration}
	if mean > 0 {
		s.Start(0)
		s.End(mean, 0)
	}
	return s
}

// serve records a request that starts at an instant, and returns how long it took.
func (s *poolServer) serve(now timer.Instant) time.Duration {
	s.served++
	d := s.duration + time.Duration(s.served%7)*10*time.Microsecond
	s.Start(now)
	if s.fails {
		s.Stop(now.Add(d))
	} else {
		s.End(d, now.Add(d))
	}
	return d
}

// sendOneByOne sends requests one after the other for a time, with loads reported every 100 ms, and
// returns the shares of the backend servers.
func sendOneByOne(t *testing.T, pool map[partitioner.NodeID]*poolServer, d time.Duration) map[partitioner.NodeID]float64 {
	p, clock := newTestParticipant(t, &fakeStore{})
	table := testTable(1, "node-1")
	for id := range pool {
		table.SetMember(partitioner.Member{
			ID: id, Address: "127.0.0.1:" + string(id[5:]), Zone: "zone-1",
			Server: partitioner.Server{ID: "i-" + string(id), Service: "records", Slots: 8},
		})
	}
	p.applyTable(table)
	shares, n := make(map[partitioner.NodeID]float64), 0.0
	reportAt := clock.Now()
	for end := reportAt.Add(d); clock.Now() < end; n++ {
		if clock.Now() >= reportAt {
			r := overseer.HeartbeatReply{IsCoordinator: true, Epoch: table.Epoch}
			for id, s := range pool {
				r.Loads = append(r.Loads, overseer.ServerLoad{Node: id, MeanDuration: s.Value(), RateLimit: s.rateLimit})
			}
			require.NoError(t, p.applyReply(r, clock.Now()))
			reportAt = clock.Now().Add(100 * time.Millisecond)
		}
		_, id, _ := p.Choose(&dispatcher.Call{Service: "records", Objective: 5 * time.Second}, nil)
		require.Contains(t, pool, id)
		shares[id]++
		clock.Advance(pool[id].serve(clock.Now()))
	}
	for id := range shares {
		shares[id] /= n
	}
	return shares
}

// A backend server of a shared pool got no requests, since it had ended none or a slow one before.
func TestIdleServerOfAPoolGetsRequests(t *testing.T) {
	const ms = time.Millisecond
	failing := newPoolServer(400*ms, 4*ms)
	failing.fails = true
	limited := newPoolServer(4*ms, 4*ms)
	limited.rateLimit = 5
	for name, c := range map[string]struct {
		idle               *poolServer
		after              time.Duration
		minShare, maxShare float64
	}{
		"no request ended":          {idle: newPoolServer(0, 4*ms), after: time.Second, minShare: 0.3, maxShare: 0.7},
		"first requests were slow":  {idle: newPoolServer(9*ms, 4*ms), after: 30 * time.Second, minShare: 0.1, maxShare: 0.7},
		"first one took very long":  {idle: newPoolServer(2500*ms, 4*ms), after: time.Minute, minShare: 0.1, maxShare: 0.7},
		"it is four times as slow":  {idle: newPoolServer(16*ms, 16*ms), after: 5 * time.Minute, minShare: 0.0001, maxShare: 0.001},
		"its requests fail":         {idle: failing, after: 5 * time.Minute, minShare: 0.0001, maxShare: 0.001},
		"it limited its rate":       {idle: limited, after: 5 * time.Minute, minShare: 0.0001, maxShare: 0.7},
		"it takes its turn at once": {idle: newPoolServer(4*ms, 4*ms), after: time.Second, minShare: 0.3, maxShare: 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			share := sendOneByOne(t, map[partitioner.NodeID]*poolServer{"node-2": newPoolServer(4*ms, 4*ms), "node-3": c.idle}, c.after)["node-3"]
			require.GreaterOrEqual(t, share, c.minShare)
			require.LessOrEqual(t, share, c.maxShare)
		})
	}
}
