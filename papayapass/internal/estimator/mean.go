// Package estimator estimates how long work takes from the durations measured so far.
package estimator

import (
	"math"
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// halfLife is the idle time in which a measured mean loses half of its weight.
	halfLife = 5 * time.Second
	// smoothing is the weight of a new duration in the mean of work that is not idle.
	smoothing = 0.1
)

// Weight returns the weight of a mean after an idle time, between one and zero.
func Weight(idle time.Duration) float64 { return math.Exp2(-float64(idle) / float64(halfLife)) }

// Expected returns the duration to expect after a mean that has kept a weight. Work that is avoided
// because it took long shows no other duration, so its mean approaches the typical one.
func Expected(mean, typical time.Duration, weight float64) time.Duration {
	if mean <= typical {
		return mean
	}
	return typical + time.Duration(weight*float64(mean-typical))
}

// Mean is the smoothed mean duration of work.
type Mean struct {
	value   time.Duration
	running int
	usedAt  timer.Instant
	// weight is the weight that the mean had when the present work started.
	weight float64
}

// Value returns the mean, or zero before the first measurement.
func (m *Mean) Value() time.Duration { return m.value }

// Expected returns the duration to expect, which approaches the typical one while no work runs.
func (m *Mean) Expected(typical time.Duration, now timer.Instant) time.Duration {
	if m.running > 0 {
		return m.value
	}
	return Expected(m.value, typical, Weight(now.Sub(m.usedAt)))
}

// Start records the start of work.
func (m *Mean) Start(now timer.Instant) {
	if m.running == 0 {
		m.weight = Weight(now.Sub(m.usedAt))
	}
	m.running++
}

// Stop records the end of work whose duration tells nothing.
func (m *Mean) Stop(now timer.Instant) {
	m.running--
	m.usedAt = now
}

// End records the end of work and its duration.
func (m *Mean) End(d time.Duration, now timer.Instant) {
	m.Stop(now)
	switch {
	case m.value == 0:
		m.value = d
	case d < m.value:
		m.value += time.Duration(max(smoothing, 1-m.weight) * float64(d-m.value))
	default: // single requests may take long at any time
		m.value += time.Duration(smoothing * float64(d-m.value))
	}
	m.weight = 1
}
