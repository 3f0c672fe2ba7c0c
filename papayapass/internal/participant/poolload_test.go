package participant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
)

// poolServer is a backend server of a shared pool: the mean duration that it reports, how long requests
// take, and how many it has served.
type poolServer struct {
	mean, duration time.Duration
	served         int
}

// serve records a request, and returns how long it took.
func (s *poolServer) serve() time.Duration {
	s.served++
	d := s.duration + time.Duration(s.served%7)*10*time.Microsecond
	if s.mean == 0 {
		s.mean = d
	}
	s.mean += (d - s.mean) / 5
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
				r.Loads = append(r.Loads, overseer.ServerLoad{Node: id, MeanDuration: s.mean})
			}
			require.NoError(t, p.applyReply(r, clock.Now()))
			reportAt = clock.Now().Add(100 * time.Millisecond)
		}
		_, id, _ := p.Choose(&dispatcher.Call{Service: "records", Objective: 5 * time.Second}, nil)
		require.Contains(t, pool, id)
		shares[id]++
		clock.Advance(pool[id].serve())
	}
	for id := range shares {
		shares[id] /= n
	}
	return shares
}

// A backend server of a shared pool got no requests, since it had ended none or a slow one before.
func TestIdleServerOfAPoolGetsRequests(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		idle               poolServer
		after              time.Duration
		minShare, maxShare float64
	}{
		"no request ended":          {idle: poolServer{duration: 4 * ms}, after: time.Second, minShare: 0.3, maxShare: 0.7},
		"first requests were slow":  {idle: poolServer{mean: 9 * ms, duration: 4 * ms}, after: 30 * time.Second, minShare: 0.0001, maxShare: 0.7},
		"it is four times as slow":  {idle: poolServer{mean: 16 * ms, duration: 16 * ms}, after: 5 * time.Minute, minShare: 0.0001, maxShare: 0.02},
		"it takes its turn at once": {idle: poolServer{mean: 4 * ms, duration: 4 * ms}, after: time.Second, minShare: 0.3, maxShare: 0.7},
	} {
		t.Run(name, func(t *testing.T) {
			pool := map[partitioner.NodeID]*poolServer{"node-2": {mean: 4 * ms, duration: 4 * ms}, "node-3": &c.idle}
			share := sendOneByOne(t, pool, c.after)["node-3"]
			require.GreaterOrEqual(t, share, c.minShare)
			require.LessOrEqual(t, share, c.maxShare)
		})
	}
}

// A backend server with running requests is not idle, however long they take.
func TestMeanOfABusyServerKeepsItsWeight(t *testing.T) {
	slow := overseer.ServerLoad{Node: "node-2", MeanDuration: 8 * time.Second, Running: 1}
	loads := make(poolLoads)
	p, clock := newTestParticipant(t, &fakeStore{})
	for range 100 {
		clock.Advance(100 * time.Millisecond)
		loads = loads.next([]overseer.ServerLoad{slow}, p.timers.Now())
	}
	require.Equal(t, 8*time.Second, loads["node-2"].expectedMean(time.Second))
	slow.Running = 0
	for range 50 {
		clock.Advance(100 * time.Millisecond)
		loads = loads.next([]overseer.ServerLoad{slow}, p.timers.Now())
	}
	require.InDelta(t, 4.5, loads["node-2"].expectedMean(time.Second).Seconds(), 0.1)
}
