// Package worker is a stand-in for a backend server that keeps state for each key.
package worker

import (
	"sync"
	"time"
)

// Parameters of warm-up and overload. A cold server starts with 1/coldDivisor of its
// slots. A server collapses when running requests exceed collapseFactor times its
// limit.
const (
	coldDivisor        = 10
	warmUpStepRequests = 10
	warmUpStepInterval = 200 * time.Millisecond
	collapseFactor     = 2
	collapseDuration   = 3 * time.Second
)

// concurrencyLimiter limits the running requests of a backend server. The limit of
// a cold server is a tenth of its slots. It grows by one after every ten requests
// served, at most once per step interval.
type concurrencyLimiter struct {
	mu             sync.Mutex
	slots          int
	limit          int
	servedInStep   int
	stepStarted    time.Time
	running        int
	peakOverload   float64
	overloads      int
	collapsedUntil time.Time
}

func newConcurrencyLimiter(slots int, cold bool) *concurrencyLimiter {
	l := &concurrencyLimiter{slots: slots, limit: slots, stepStarted: time.Now()}
	if cold {
		l.limit = max(1, slots/coldDivisor)
	}
	return l
}

// restartWarmUp makes the server cold; the node is not informed.
func (l *concurrencyLimiter) restartWarmUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = max(1, l.slots/coldDivisor)
	l.servedInStep = 0
	l.stepStarted = time.Now()
}

// admission is the decision on an arriving request.
type admission int

const (
	admitted admission = iota
	shed
	collapsed
)

// admit decides on an arriving request. Requests above the limit are shed. Above
// collapseFactor times the limit the server collapses: it drops arriving requests
// for collapseDuration and is cold afterwards.
func (l *concurrencyLimiter) admit() admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.collapsedUntil) {
		return collapsed
	}
	l.running++
	l.peakOverload = max(l.peakOverload, float64(l.running)/float64(l.limit))
	if l.running <= l.limit {
		return admitted
	}
	l.overloads++
	if l.running > collapseFactor*l.limit {
		l.collapsedUntil = now.Add(collapseDuration)
		l.limit = max(1, l.slots/coldDivisor)
		l.servedInStep = 0
		l.running--
		return collapsed
	}
	l.running--
	return shed
}

// release ends an admitted request and raises the limit when a warm-up step is
// complete.
func (l *concurrencyLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.servedInStep++
	now := time.Now()
	if l.limit < l.slots && l.servedInStep >= warmUpStepRequests && now.Sub(l.stepStarted) >= warmUpStepInterval {
		l.limit++
		l.servedInStep = 0
		l.stepStarted = now
	}
}

// report returns the state for the report path.
func (l *concurrencyLimiter) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{Limit: l.limit, Running: l.running, Overloads: l.overloads, PeakOverload: l.peakOverload}
}

// Report is the state of a backend server, for a bench.
type Report struct {
	// Server is the server's name, set by the receiver of the report.
	Server string `json:"server"`
	// Limit is the current limit on running requests.
	Limit int `json:"bears"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Overloads is the number of requests that exceeded the limit.
	Overloads int `json:"overloads"`
	// PeakOverload is the largest ratio of running requests to the limit.
	PeakOverload float64 `json:"peakOver"`
}
