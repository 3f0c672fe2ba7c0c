package selector

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
)

// The replay's pool, traffic and reports.
const (
	zones, serversPerZone, choosersPerZone = 3, 10, 30
	reportInterval                         = 250 * time.Millisecond
	slowInterval                           = 400 * time.Millisecond
	window                                 = 100 * time.Millisecond
	work                                   = 60 * time.Millisecond

	objective                  = 400 * time.Millisecond
	burstInterval, burstLength = time.Second, 100 * time.Millisecond
	burstFactor                = 1.7
	freeSlotTries              = 3
	played                     = 20 * time.Second
)

// event is a step of the replay at an instant.
type event struct {
	at  timer.Instant
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// server is a backend server with a queue.
type server struct {
	zone, slots, running int
	speed                float64
	slow                 bool
	mean                 estimator.Mean
	queue                []func()
	reported             overseer.ServerLoad
}

// replay is a pool, its choosers and what became of their requests.
type replay struct {
	random  *rand.Rand
	now     timer.Instant
	events  events
	servers []*server
	loads   [][]Load
	flights [][]int

	requests, missed, waited, rejected, remote int
	age, duration                              time.Duration
	spread                                     float64
	windows                                    int
}

func (r *replay) after(d time.Duration, run func()) { heap.Push(&r.events, event{r.now.Add(d), run}) }

func (r *replay) every(phase, d time.Duration, run func()) {
	r.after(phase, func() {
		run()
		r.every(d, d, run)
	})
}

func newReplay(seed uint64, use float64) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, seed)), now: timer.Instant(time.Hour)}
	capacity := 0.0
	for i := range zones * serversPerZone {
		s := &server{zone: i % zones, slots: 5 + r.random.IntN(14), speed: []float64{0.6, 1, 1.4}[r.random.IntN(3)]}
		s.reported.Node = partitioner.NodeID(rune('A' + i))
		r.servers = append(r.servers, s)
		capacity += float64(s.slots) * s.speed / work.Seconds() / 1.4 // slow a fifth of the time, by three
		r.every(r.spell(reportInterval), reportInterval, func() { s.reported = s.load() })
		r.every(r.spell(slowInterval), slowInterval, func() { s.slow = r.random.Float64() < 0.2 })
	}
	r.every(window, window, r.endWindow)
	for i := range zones * choosersPerZone {
		defer r.report(i)
		r.loads, r.flights = append(r.loads, make([]Load, len(r.servers))), append(r.flights, make([]int, len(r.servers)))
		r.every(r.spell(reportInterval), reportInterval, func() { r.report(i) })
		r.arrive(i, use*capacity/(zones*choosersPerZone))
	}
	return r
}

func (r *replay) spell(d time.Duration) time.Duration {
	return time.Duration(r.random.Float64() * float64(d))
}

func (s *server) load() overseer.ServerLoad {
	return overseer.ServerLoad{Node: s.reported.Node, Running: s.running, Waiting: len(s.queue), MeanDuration: s.mean.Value()}
}

// report sends the loads of its zone to a chooser.
func (r *replay) report(chooser int) {
	for i, s := range r.servers {
		if s.zone == chooser%zones {
			r.loads[chooser][i] = Load{ServerLoad: s.reported, UsedAt: r.now, ReportedAt: r.now, InFlight: r.flights[chooser][i]}
		}
	}
}

func (r *replay) arrive(chooser int, rate float64) {
	now := rate
	if time.Duration(r.now)%burstInterval < burstLength {
		now *= burstFactor
	}
	r.after(time.Duration(r.random.ExpFloat64()/now*float64(time.Second)), func() {
		r.requests++
		r.try(chooser, map[int]bool{}, r.now)
		r.arrive(chooser, rate)
	})
}

// try chooses a server with a free slot, and the shortest of the queues seen after some tries.
func (r *replay) try(chooser int, tried map[int]bool, arrived timer.Instant) {
	var pool []Candidate
	var ids []int
	for i, s := range r.servers {
		if tried[i] {
			continue
		}
		c := Candidate{Load: r.loads[chooser][i], Slots: s.slots, InFlight: r.flights[chooser][i], IsRemote: s.zone != chooser%zones}
		if i == chooser {
			c.Load = Load{ServerLoad: s.load(), UsedAt: r.now, ReportedAt: r.now}
			c.InFlight, c.IsOwn = 0, true
		}
		pool, ids = append(pool, c), append(ids, i)
	}
	d := Choose(pool, Request{Objective: objective, IsRetry: len(tried) > 0}, r.random.Float64, r.now)
	r.age += d.ReportAge
	if pool[d.Index].IsRemote {
		r.remote++
	}
	id := ids[d.Index]
	r.flights[chooser][id]++
	r.after(r.hop(chooser, id), func() {
		s := r.servers[id]
		switch {
		case s.running < s.slots:
			r.start(chooser, id, arrived)
		case len(tried) < freeSlotTries-1:
			r.missed += r.free()
			tried[id] = true
			r.after(r.hop(chooser, id), func() {
				r.flights[chooser][id]--
				r.learn(chooser, id)
				r.try(chooser, tried, arrived)
			})
		default:
			tried[id] = true
			r.flights[chooser][id]--
			r.missed += r.free()
			r.queue(chooser, tried, arrived)
		}
	})
}

// learn keeps the load that a result carries, if it comes from the chooser's zone.
func (r *replay) learn(chooser, id int) {
	if s := r.servers[id]; s.zone == chooser%zones {
		r.loads[chooser][id] = Load{ServerLoad: s.load(), UsedAt: r.now, ReportedAt: r.now, InFlight: r.flights[chooser][id]}
	}
}

// free is one while some server has a free slot.
func (r *replay) free() int {
	for _, s := range r.servers {
		if s.running < s.slots {
			return 1
		}
	}
	return 0
}

func (r *replay) hop(chooser, id int) time.Duration {
	switch {
	case chooser == id:
		return 0
	case r.servers[id].zone == chooser%zones:
		return 200 * time.Microsecond
	}
	return 1400 * time.Microsecond
}

func (r *replay) queue(chooser int, tried map[int]bool, arrived timer.Instant) {
	best, shortest := -1, math.MaxFloat64
	for id := range r.servers {
		s := r.servers[id]
		if wait := float64(s.mean.Value()) * float64(len(s.queue)+1) / float64(s.slots); tried[id] && wait < shortest {
			best, shortest = id, wait
		}
	}
	r.flights[chooser][best]++
	s := r.servers[best]
	switch {
	case s.running < s.slots:
		r.start(chooser, best, arrived)
	case shortest > 0.8*float64(objective-s.mean.Value()):
		r.rejected += r.free()
		r.flights[chooser][best]--
	default:
		r.waited += r.free()
		s.queue = append(s.queue, func() { r.start(chooser, best, arrived) })
	}
}

func (r *replay) start(chooser, id int, arrived timer.Instant) {
	s := r.servers[id]
	s.running++
	s.mean.Start(r.now)
	d := float64(work) * (0.7 + 0.6*r.random.Float64()) / s.speed
	if s.slow {
		d *= 3
	}
	took := time.Duration(d)
	r.after(took, func() {
		s.running--
		s.mean.End(took, r.now)
		r.flights[chooser][id]--
		r.learn(chooser, id)
		r.duration += r.now.Sub(arrived)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			next()
		}
	})
}

// endWindow adds the deviation between the servers' uses.
func (r *replay) endWindow() {
	sum, squares := 0.0, 0.0
	for _, s := range r.servers {
		use := float64(s.running+len(s.queue)) / float64(s.slots)
		sum, squares = sum+use, squares+use*use
	}
	n := float64(len(r.servers))
	r.spread += math.Sqrt(max(0, squares/n-sum/n*sum/n))
	r.windows++
}

func (r *replay) play() {
	for end := r.now.Add(played); r.now < end; {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// Nodes with equally old loads overran the same server, while others of the pool were idle.
func TestOldLoadsSpreadRequests(t *testing.T) {
	type measures struct{ tries, waits, deviation float64 }
	for name, c := range map[string]struct {
		seed   uint64
		use    float64
		target measures
		// former are the measures of the choice of the least estimated cost among all servers.
		former measures
	}{
		"half of the slots busy": {seed: 1, use: 0.5, target: measures{0.1, 0.02, 0.25}, former: measures{1.52, 0.359, 0.63}},
		"most slots busy":        {seed: 2, use: 0.75, target: measures{0.3, 0.05, 0.3}, former: measures{2.26, 0.639, 0.81}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplay(c.seed, c.use)
			r.play()
			n := float64(r.requests)
			got := measures{float64(r.missed) / n, float64(r.waited+r.rejected) / n, r.spread / float64(r.windows)}
			t.Logf("%d requests: %.4f tries missed, %.4f waited, %.4f rejected while another server was free; deviation %.3f; to other zones %.3f; mean %v, age %v",
				r.requests, got.tries, float64(r.waited)/n, float64(r.rejected)/n, got.deviation, float64(r.remote)/n, r.duration/time.Duration(r.requests), r.age/time.Duration(r.requests))
			t.Run("target of tries", func(t *testing.T) { require.LessOrEqual(t, got.tries, c.target.tries) })
			t.Run("target of waits", func(t *testing.T) { require.LessOrEqual(t, got.waits, c.target.waits) })
			t.Run("target of the deviation", func(t *testing.T) { require.LessOrEqual(t, got.deviation, c.target.deviation) })
			t.Run("gain over the former choice", func(t *testing.T) {
				require.LessOrEqual(t, got.tries, c.former.tries/4)
				require.LessOrEqual(t, got.waits, c.former.waits/4)
				require.LessOrEqual(t, got.deviation, c.former.deviation/2)
			})
		})
	}
}
