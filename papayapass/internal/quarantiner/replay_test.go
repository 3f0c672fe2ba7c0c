package quarantiner

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	replayStep = 20 * time.Millisecond
	// runDuration is how long ordinary requests run; a deadly one ends its server in the
	// middle of that.
	runDuration = 200 * time.Millisecond
	// awayDuration is how long a backend server that ended is away.
	awayDuration = 3 * time.Second
	// spreadDuration is how long it takes until all nodes know what one knows.
	spreadDuration = 300 * time.Millisecond

	deadly  = 1
	popular = 2
)

// replayServer is a backend server beside a node.
type replayServer struct {
	quarantine *Quarantine
	awayUntil  timer.Instant
	runs       []replayRun
}

type replayRun struct {
	fingerprint uint64
	ends        timer.Instant
	observed    bool
}

// fleet replays requests at the backend servers of one shared pool.
type fleet struct {
	r       *rand.Rand
	now     timer.Instant
	naive   bool
	servers []*replayServer
	spread  timer.Instant
	// ended holds when deadly runs ended, arrived when they began; rejected counts popular
	// requests that were rejected.
	ended, arrived []timer.Instant
	rejected       int
}

// Now returns the time of the replay.
func (f *fleet) Now() timer.Instant { return f.now }

func newFleet(seed uint64, n int, naive bool) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 5)), now: timer.Instant(time.Hour), naive: naive}
	for range n {
		f.servers = append(f.servers, &replayServer{quarantine: NewQuarantine(f)})
	}
	return f
}

// send sends a request to a random server that is up. A request whose server ended is retried
// once, like an idempotent one.
func (f *fleet) send(fingerprint uint64, isSuspect bool) {
	s := f.servers[f.r.IntN(len(f.servers))]
	if f.now < s.awayUntil {
		return
	}
	run := replayRun{fingerprint: fingerprint, ends: f.now.Add(runDuration)}
	if !f.naive {
		switch v, _ := s.quarantine.Admit(fingerprint, isSuspect); v {
		case Run:
		case RunObserved:
			run.observed = true
		case Wait, Reject:
			if fingerprint == popular && v == Reject {
				f.rejected++
			}
			return
		}
	}
	if fingerprint == deadly {
		run.ends = f.now.Add(runDuration / 2)
		f.arrived = append(f.arrived, f.now)
	}
	s.runs = append(s.runs, run)
}

// end ends a server and all runs there.
func (f *fleet) end(s *replayServer) {
	runs := s.runs
	s.runs, s.awayUntil = nil, f.now.Add(awayDuration)
	for _, run := range runs {
		if run.observed {
			s.quarantine.EndObserved(run.fingerprint, true)
		} else {
			s.quarantine.Suspect(run.fingerprint)
		}
		if run.fingerprint == deadly {
			f.ended = append(f.ended, f.now)
		}
	}
	for _, run := range runs {
		f.send(run.fingerprint, true)
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(replayStep)
	for _, s := range f.servers {
		var left []replayRun
		for _, run := range s.runs {
			switch {
			case f.now < run.ends:
				left = append(left, run)
			case run.fingerprint == deadly:
				f.end(s)
				left = nil
			default:
				if run.observed {
					s.quarantine.EndObserved(run.fingerprint, false)
				}
				s.quarantine.Clear(run.fingerprint)
			}
			if f.now < s.awayUntil {
				break
			}
		}
		s.runs = left
	}
	if f.now >= f.spread {
		f.spread = f.now.Add(spreadDuration)
		var all []partitioner.Suspect
		for _, s := range f.servers {
			all = append(all, s.quarantine.Unpublished()...)
		}
		for _, s := range f.servers {
			s.quarantine.Merge(all)
		}
	}
}

// lateArrivals counts the deadly requests that reached a server later than a delay after the
// third of them had ended one.
func (f *fleet) lateArrivals(delay time.Duration) int {
	n := 0
	for _, at := range f.arrived {
		if len(f.ended) >= 3 && at.Sub(f.ended[2]) > delay {
			n++
		}
	}
	return n
}

// A request that ends its server comes seven times a second for 20 s, at all nodes (incident
// 0016). At most three of them may reach a server 3 s after the third has ended one.
func TestDeadlyRequestsAreQuarantined(t *testing.T) {
	for seed := range uint64(20) {
		results := make(map[bool]*fleet)
		for _, naive := range []bool{true, false} {
			f := newFleet(seed, 9, naive)
			for i := range 1000 {
				if i%7 == 0 {
					f.send(deadly, false)
				}
				f.send(uint64(1000+i), false)
				f.step()
			}
			results[naive] = f
		}
		require.Greater(t, results[true].lateArrivals(3*time.Second), 3, "seed %d without quarantine", seed)
		require.LessOrEqual(t, results[false].lateArrivals(3*time.Second), 3, "seed %d", seed)
		require.Less(t, 3*len(results[false].ended), len(results[true].ended), "seed %d", seed)
	}
}

// A third of the servers is lost at once while many customers send the same harmless request.
// It was running at all of them and must be served by the others.
func TestPopularRequestOutlivesLostServers(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 12, false)
		for i := range 500 {
			f.send(popular, false)
			f.send(popular, false)
			f.step()
			if i == 100 || i == 130 || i == 250 {
				for _, s := range f.servers[:4] {
					f.end(s)
				}
			}
			if i == 300 {
				f.rejected = 0
			}
		}
		require.Zero(t, f.rejected, "seed %d: rejected a second after the last loss", seed)
		require.False(t, f.servers[5].quarantine.Rejects(popular), "seed %d", seed)
	}
}
