// Package worker is a stand-in for a backend server with state for each key.
package worker

import (
	"sync"
	"time"
)

// Parameters of a cold start and of overload.
const (
	coldDivisor        = 10
	warmUpStepRequests = 10
	warmUpStepInterval = 200 * time.Millisecond
	collapseFactor     = 2
	collapseDuration   = 3 * time.Second
)

// concurrencyLimiter is how much the backend server can bear at the moment. A cold one
// bears a tenth of its slots, and one more with each ten requests that it ran,
// but not before a step's time has passed.
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
	w := &concurrencyLimiter{slots: slots, limit: slots, stepStarted: time.Now()}
	if cold {
		w.limit = max(1, slots/coldDivisor)
	}
	return w
}

// restartWarmUp makes the backend server cold without telling anyone.
func (w *concurrencyLimiter) restartWarmUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = max(1, w.slots/coldDivisor)
	w.servedInStep = 0
	w.stepStarted = time.Now()
}

// admission is what becomes of a request at its arrival.
type admission int

const (
	admitted admission = iota
	shed
	collapsed
)

// admit counts a request in. A little too much is shed; far too much makes the
// server fall over: it answers nothing for a while and is cold afterwards.
func (w *concurrencyLimiter) admit() admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.collapsedUntil) {
		return collapsed
	}
	w.running++
	w.peakOverload = max(w.peakOverload, float64(w.running)/float64(w.limit))
	if w.running <= w.limit {
		return admitted
	}
	w.overloads++
	if w.running > collapseFactor*w.limit {
		w.collapsedUntil = now.Add(collapseDuration)
		w.limit = max(1, w.slots/coldDivisor)
		w.servedInStep = 0
		w.running--
		return collapsed
	}
	w.running--
	return shed
}

// release counts an admitted request out.
func (w *concurrencyLimiter) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.servedInStep++
	now := time.Now()
	if w.limit < w.slots && w.servedInStep >= warmUpStepRequests && now.Sub(w.stepStarted) >= warmUpStepInterval {
		w.limit++
		w.servedInStep = 0
		w.stepStarted = now
	}
}

// report returns the state for the control page.
func (w *concurrencyLimiter) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{Limit: w.limit, Running: w.running, Overloads: w.overloads, PeakOverload: w.peakOverload}
}

// Report is what a backend server tells a test bench of itself.
type Report struct {
	// Server is the name, filled in by who asked.
	Server string `json:"server"`
	// Limit is the number of requests that it bears at once now.
	Limit int `json:"bears"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Overloads is how often it was given more than it bore.
	Overloads int `json:"overloads"`
	// PeakOverload is the largest ratio of what it was given to what it bore.
	PeakOverload float64 `json:"peakOver"`
}
