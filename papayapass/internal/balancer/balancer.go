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

// Parameters of the selection.
const (
	// sampleSize is the number of random candidates to compare. With two, both are too
	// often stragglers when a third of the pool is slow.
	sampleSize       = 5
	latencySmoothing = 0.2
	initialLatency   = time.Millisecond
	latencyHalfLife  = 5 * time.Second
	failureBackoff   = 250 * time.Millisecond
	sameZoneFactor   = 0.8
)

// serverStats holds a node's statistics of one backend server.
type serverStats struct {
	inFlight         int
	reportedInFlight uint32
	latency          time.Duration
	updated          timer.Instant
	backoffUntil     timer.Instant
}

// Balancer holds a node's statistics of the backend servers.
type Balancer struct {
	clock  timer.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	stats  map[assigner.NodeID]*serverStats
}

// NewBalancer returns a balancer for a node in a zone. The seed makes its random choices
// reproducible.
func NewBalancer(clock timer.Clock, zone string, seed uint64) *Balancer {
	return &Balancer{
		clock: clock, zone: zone, random: rand.New(rand.NewPCG(seed, seed)),
		stats: make(map[assigner.NodeID]*serverStats),
	}
}

// Pick returns the best of sampleSize random candidates and counts the request as in
// flight there. Servers already tried are picked only when there are no others. It
// returns false when there are no candidates.
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

// eligible returns the candidates that are neither tried nor in backoff. When there are
// none, it returns those that are not tried, or else all.
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

// score estimates the response time of a candidate, in seconds. Older observations count
// less, so that a slow server is tried again.
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

// Done records the end of a request: its latency, and how many requests the backend
// server reported in flight when it answered.
func (b *Balancer) Done(id assigner.NodeID, latency time.Duration, reported uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(id)
	s.inFlight--
	s.reportedInFlight = reported
	s.latency += time.Duration(latencySmoothing * float64(latency-s.latency))
	s.updated = b.clock.Now()
}

// Cancelled records a request that was cancelled after the given wait. The wait is a
// lower bound of its latency.
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

// Failed records a request that got no answer. The backend server is in backoff for
// failureBackoff.
func (b *Balancer) Failed(id assigner.NodeID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statsOf(id)
	s.inFlight--
	s.backoffUntil = b.clock.Now().Add(failureBackoff)
}
