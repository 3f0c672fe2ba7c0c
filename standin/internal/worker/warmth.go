// Package worker is a stand-in for a backend server with state for each key.
package worker

import (
	"sync"
	"time"
)

// Parameters of a cold start and of overload.
const (
	coldShare       = 10
	requestsPerStep = 10
	timePerStep     = 200 * time.Millisecond
	collapseFactor  = 2
	collapseTime    = 3 * time.Second
)

// warmth is how much the backend server can bear at the moment. A cold one
// bears a tenth of its slots, and one more with each ten requests that it ran,
// but not before a step's time has passed.
type warmth struct {
	mu        sync.Mutex
	slots     int
	bears     int
	served    int
	stepped   time.Time
	running   int
	peakOver  float64
	overloads int
	fallen    time.Time
}

func newWarmth(slots int, cold bool) *warmth {
	w := &warmth{slots: slots, bears: slots, stepped: time.Now()}
	if cold {
		w.bears = max(1, slots/coldShare)
	}
	return w
}

// chill makes the backend server cold without telling anyone.
func (w *warmth) chill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bears = max(1, w.slots/coldShare)
	w.served = 0
	w.stepped = time.Now()
}

// admission is what becomes of a request at its arrival.
type admission int

const (
	admitted admission = iota
	shed
	fallen
)

// enter counts a request in. A little too much is shed; far too much makes the
// server fall over: it answers nothing for a while and is cold afterwards.
func (w *warmth) enter() admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Before(w.fallen) {
		return fallen
	}
	w.running++
	w.peakOver = max(w.peakOver, float64(w.running)/float64(w.bears))
	if w.running <= w.bears {
		return admitted
	}
	w.overloads++
	if w.running > collapseFactor*w.bears {
		w.fallen = now.Add(collapseTime)
		w.bears = max(1, w.slots/coldShare)
		w.served = 0
		w.running--
		return fallen
	}
	w.running--
	return shed
}

// leave counts an admitted request out.
func (w *warmth) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.served++
	now := time.Now()
	if w.bears < w.slots && w.served >= requestsPerStep && now.Sub(w.stepped) >= timePerStep {
		w.bears++
		w.served = 0
		w.stepped = now
	}
}

// report returns the state for the control page.
func (w *warmth) report() Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{Bears: w.bears, Running: w.running, Overloads: w.overloads, PeakOver: w.peakOver}
}

// Report is what a backend server tells a test bench of itself.
type Report struct {
	// Server is the name, filled in by who asked.
	Server string `json:"server"`
	// Bears is the number of requests that it bears at once now.
	Bears int `json:"bears"`
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Overloads is how often it was given more than it bore.
	Overloads int `json:"overloads"`
	// PeakOver is the largest ratio of what it was given to what it bore.
	PeakOver float64 `json:"peakOver"`
}
