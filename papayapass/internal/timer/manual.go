package timer

import "time"

// ManualClock stands still until it is advanced, for tests.
type ManualClock struct {
	now Instant
}

// Now returns the instant that the clock was advanced to.
func (c *ManualClock) Now() Instant { return c.now }

// Advance moves the clock on.
func (c *ManualClock) Advance(d time.Duration) { c.now = c.now.Add(d) }
