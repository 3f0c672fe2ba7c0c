// Package balancer chooses a backend server of a shared pool for each request.
package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/timer"
)

// Parameters of the choice.
const (
	// sampleSize is how many random candidates are compared. Of two, both are
	// stragglers too often when a third of the pool is.
	sampleSize       = 5
	latencySmoothing = 0.2
	initialLatency   = time.Millisecond
	latencyHalfLife  = 5 * time.Second
	failureBackoff   = 250 * time.Millisecond
	sameZoneFactor   = 0.8
)

// serverStats is what a node has seen of one backend server.
type serverStats struct {
	inFlight         int
	reportedInFlight uint32
	latency          time.Duration
	updated          timer.Instant
	backoffUntil     timer.Instant
}

// Balancer keeps what this node has seen of the backend servers.
type Balancer struct {
	clock  timer.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	stats  map[assigner.NodeID]*serverStats
}

// NewBalancer returns a balancer of a node in a zone. The seed fixes its random
// sampleSize.
func NewBalancer(clock timer.Clock, zone string, seed uint64) *Balancer {
	return &Balancer{
		clock: clock, zone: zone, random: rand.New(rand.NewPCG(seed, seed)),
		stats: make(map[assigner.NodeID]*serverStats),
	}
}

// Pick chooses the best of some random candidates, and counts the request to
// it. Tried ones are left out while there are others. It says false when there
// is no candidate.
func (b *Balancer) Pick(candidates []assigner.Member, tried []assigner.NodeID) (assigner.Member, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	eligible := b.eligible(candidates, tried, now)
	if len(eligible) == 0 {
		return assigner.Member{}, false
	}
	b.random.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	chosen := eligible[0]
	for _, m := range eligible[1:min(sampleSize, len(eligible))] {
		if b.score(m, now) < b.score(chosen, now) {
			chosen = m
		}
	}
	b.statsOf(chosen.ID()).inFlight++
	return chosen, true
}

// eligible returns the candidates that are neither tried nor paused, or those that
// are not tried, or all.
func (b *Balancer) eligible(candidates []assigner.Member, tried []assigner.NodeID, now timer.Instant) []assigner.Member {
	var available, untried []assigner.Member
	for _, m := range candidates {
		if contains(tried, m.ID()) {
			continue
		}
		untried = append(untried, m)
		if !now.Before(b.statsOf(m.ID()).backoffUntil) {
			available = append(available, m)
		}
	}
	switch {
	case len(available) > 0:
		return available
	case len(untried) > 0:
		return untried
	default:
		return append([]assigner.Member(nil), candidates...)
	}
}

func contains(list []assigner.NodeID, id assigner.NodeID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

func (b *Balancer) statsOf(id assigner.NodeID) *serverStats {
	s, ok := b.stats[id]
	if !ok {
		s = &serverStats{latency: initialLatency}
		b.stats[id] = s
	}
	return s
}

// score estimates the time until a candidate would answer, in seconds. What was
// seen long ago counts less, so that a slow server is tried again.
func (b *Balancer) score(m assigner.Member, now timer.Instant) float64 {
	s := b.statsOf(m.ID())
	age := now.Sub(s.updated)
	weight := math.Exp2(-float64(age) / float64(latencyHalfLife))
	latency := float64(initialLatency) + weight*float64(s.latency-initialLatency)
	load := float64(s.inFlight) + weight*float64(s.reportedInFlight)
	score := latency * (1 + load/float64(max(1, m.Server().Slots())))
	if m.Zone() == b.zone {
		score *= sameZoneFactor
	}
	return score / float64(time.Second)
}

// Done takes the end of a request: its latency, and how many the backend server
// had in progress when it answered.
func (b *Balancer) Done(id assigner.NodeID, latency time.Duration, reported uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(id)
	s.inFlight--
	s.reportedInFlight = reported
	s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
	s.updated = b.clock.Now()
}

// Cancelled takes the end of a request whose answer was not waited for. It took at
// least as long as it was waited for.
func (b *Balancer) Cancelled(id assigner.NodeID, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(id)
	s.inFlight--
	if waited > s.latency {
		s.latency += time.Duration(latencySmoothing * float64(waited-s.latency))
	}
	s.updated = b.clock.Now()
}

// Failed takes the end of a request that was not answered. The backend server
// gets no other for a moment.
func (b *Balancer) Failed(id assigner.NodeID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(id)
	s.inFlight--
	s.backoffUntil = b.clock.Now().Add(failureBackoff)
}
