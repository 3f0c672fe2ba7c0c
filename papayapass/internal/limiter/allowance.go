// Package limiter limits the concurrency of calls to a backend server and
// orders the queue of waiting calls.
package limiter

import (
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

// Result is what a call showed about the state of the backend server.
type Result int

// Results of calls.
const (
	// ResultOK is a call that was answered.
	ResultOK Result = iota
	// ResultShed is a call that the backend server rejected as overloaded.
	ResultShed
	// ResultFailed is a call whose connection failed.
	ResultFailed
	// ResultIgnored is a call that shows nothing about the backend server.
	ResultIgnored
)

// Parameters of the warm-up and the adaptation.
const (
	coldDivisor       = 10
	raiseSuccesses    = 16
	raiseInterval     = 250 * time.Millisecond
	cutInterval       = 100 * time.Millisecond
	cutDivisor        = 2
	slowLatencyFactor = 2
	slowCutFactor     = 0.8
	recentWeight      = 1.0 / 16
	baselineWeight    = 1.0 / 256
	coldFailures      = 3
)

// Allowance is the number of calls that may run at once on a backend server. A
// cold server starts with a small share of its slots; each step up requires
// answers at the current limit. Rejections, slow answers and repeated failures
// reduce it.
type Allowance struct {
	slots           int
	limit           float64
	warm            bool
	successes       int
	failures        int
	recentLatency   time.Duration
	baselineLatency time.Duration
	raisedAt        timer.Instant
	cutAt           timer.Instant
}

// NewAllowance returns the allowance of a cold or warm backend server.
func NewAllowance(slots int, cold bool, now timer.Instant) *Allowance {
	a := &Allowance{slots: slots, limit: float64(slots), warm: true}
	if cold {
		a.RestartWarmUp(now)
	}
	return a
}

// Limit returns how many calls may run at once.
func (a *Allowance) Limit() int { return max(1, int(a.limit)) }

// Warm reports whether the warm-up is complete.
func (a *Allowance) Warm() bool { return a.warm }

// RestartWarmUp resets the allowance to that of a cold backend server.
func (a *Allowance) RestartWarmUp(now timer.Instant) {
	a.limit = float64(max(1, a.slots/coldDivisor))
	a.warm = false
	a.successes = 0
	a.failures = 0
	a.raisedAt = now
}

// Observe handles the result of a call. running is the number of calls that
// were running when it started: only answers at the full limit show that the
// server sustains it.
func (a *Allowance) Observe(r Result, latency time.Duration, running int, now timer.Instant) {
	switch r {
	case ResultOK:
		a.failures = 0
		a.observeLatency(latency, running, now)
	case ResultShed:
		a.cutAfterShed(now)
	case ResultFailed:
		a.failures++
		if a.failures >= coldFailures {
			a.RestartWarmUp(now)
		}
	case ResultIgnored:
	}
}

func (a *Allowance) cutAfterShed(now timer.Instant) {
	if now.Sub(a.cutAt) < cutInterval {
		return
	}
	a.cutAt = now
	a.limit = max(1, a.limit/cutDivisor)
	a.successes = 0
	a.raisedAt = now
}

func (a *Allowance) observeLatency(latency time.Duration, running int, now timer.Instant) {
	a.updateLatency(latency)
	if a.recentLatency > slowLatencyFactor*a.baselineLatency && now.Sub(a.cutAt) >= cutInterval && a.limit > float64(a.slots/cutDivisor) {
		a.cutAt = now
		a.limit = max(1, a.limit*slowCutFactor)
		a.successes = 0
		return
	}
	if running < a.Limit() {
		return
	}
	a.successes++
	if a.successes < max(raiseSuccesses, a.Limit()) || now.Sub(a.raisedAt) < raiseInterval {
		return
	}
	a.raise(now)
}

// raise takes one step up: one slot during warm-up, limit/coldDivisor for a
// warm server that regains lost slots.
func (a *Allowance) raise(now timer.Instant) {
	a.successes = 0
	a.raisedAt = now
	step := 1.0
	if a.warm {
		step = max(1, a.limit/coldDivisor)
	}
	a.limit = min(float64(a.slots), a.limit+step)
	if a.limit >= float64(a.slots) {
		a.warm = true
	}
}

// updateLatency updates the moving averages of recent and baseline latency.
func (a *Allowance) updateLatency(latency time.Duration) {
	if a.baselineLatency == 0 {
		a.baselineLatency, a.recentLatency = latency, latency
		return
	}
	a.recentLatency += time.Duration(recentWeight * float64(latency-a.recentLatency))
	a.baselineLatency += time.Duration(baselineWeight * float64(latency-a.baselineLatency))
}
