package timer

import "time"

// ManualClock is a clock for tests that only moves when it is advanced.
type ManualClock struct {
	now Instant
}

// Now returns the current instant.
func (c *ManualClock) Now() Instant { return c.now }

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d time.Duration) { c.now = c.now.Add(d) }
