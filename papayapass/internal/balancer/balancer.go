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
	// choices is how many random candidates are compared. Of two, both are
	// stragglers too often when a third of the pool is.
	choices       = 5
	latencyGain   = 0.2
	startLatency  = time.Millisecond
	forgetHalf    = 5 * time.Second
	failurePause  = 250 * time.Millisecond
	zoneAdvantage = 0.8
)

// state is what a node has seen of one backend server.
type state struct {
	outstanding int
	reported    uint32
	latency     time.Duration
	updated     timer.Instant
	pausedUntil timer.Instant
}

// Balancer keeps what this node has seen of the backend servers.
type Balancer struct {
	clock  timer.Clock
	zone   string
	mu     sync.Mutex
	random *rand.Rand
	states map[assigner.NodeID]*state
}

// NewBalancer returns a balancer of a node in a zone. The seed fixes its random
// choices.
func NewBalancer(clock timer.Clock, zone string, seed uint64) *Balancer {
	return &Balancer{
		clock: clock, zone: zone, random: rand.New(rand.NewPCG(seed, seed)),
		states: make(map[assigner.NodeID]*state),
	}
}

// Pick chooses the best of some random candidates, and counts the request to
// it. Tried ones are left out while there are others. It says false when there
// is no candidate.
func (b *Balancer) Pick(candidates []assigner.Member, tried []assigner.NodeID) (assigner.Member, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	open := b.open(candidates, tried, now)
	if len(open) == 0 {
		return assigner.Member{}, false
	}
	b.random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	chosen := open[0]
	for _, m := range open[1:min(choices, len(open))] {
		if b.score(m, now) < b.score(chosen, now) {
			chosen = m
		}
	}
	b.state(chosen.ID()).outstanding++
	return chosen, true
}

// open returns the candidates that are neither tried nor paused, or those that
// are not tried, or all.
func (b *Balancer) open(candidates []assigner.Member, tried []assigner.NodeID, now timer.Instant) []assigner.Member {
	var fresh, untried []assigner.Member
	for _, m := range candidates {
		if contains(tried, m.ID()) {
			continue
		}
		untried = append(untried, m)
		if !now.Before(b.state(m.ID()).pausedUntil) {
			fresh = append(fresh, m)
		}
	}
	switch {
	case len(fresh) > 0:
		return fresh
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

func (b *Balancer) state(id assigner.NodeID) *state {
	s, ok := b.states[id]
	if !ok {
		s = &state{latency: startLatency}
		b.states[id] = s
	}
	return s
}

// score estimates the time until a candidate would answer, in seconds. What was
// seen long ago counts less, so that a slow server is tried again.
func (b *Balancer) score(m assigner.Member, now timer.Instant) float64 {
	s := b.state(m.ID())
	age := now.Sub(s.updated)
	weight := math.Exp2(-float64(age) / float64(forgetHalf))
	latency := float64(startLatency) + weight*float64(s.latency-startLatency)
	load := float64(s.outstanding) + weight*float64(s.reported)
	score := latency * (1 + load/float64(max(1, m.Server().Slots())))
	if m.Zone() == b.zone {
		score *= zoneAdvantage
	}
	return score / float64(time.Second)
}

// Done takes the end of a request: its latency, and how many the backend server
// had in progress when it answered.
func (b *Balancer) Done(id assigner.NodeID, latency time.Duration, reported uint32) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.outstanding--
	s.reported = reported
	s.latency += time.Duration(latencyGain * float64(latency-s.latency))
	s.updated = b.clock.Now()
}

// Cancelled takes the end of a request whose answer was not waited for. It took at
// least as long as it was waited for.
func (b *Balancer) Cancelled(id assigner.NodeID, waited time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.outstanding--
	if waited > s.latency {
		s.latency += time.Duration(latencyGain * float64(waited-s.latency))
	}
	s.updated = b.clock.Now()
}

// Failed takes the end of a request that was not answered. The backend server
// gets no other for a moment.
func (b *Balancer) Failed(id assigner.NodeID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.outstanding--
	s.pausedUntil = b.clock.Now().Add(failurePause)
}
