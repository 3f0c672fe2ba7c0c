// Package timer provides a clock that includes system suspend, and a service with
// periodic wake-ups.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is the time of a clock, in nanoseconds since it started. Instants of
// different machines or machine starts can't be compared.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration since another instant.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether the instant is earlier than another.
func (i Instant) Before(other Instant) bool { return i < other }

// Clock returns the current time.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}

// BootClock reads CLOCK_BOOTTIME, which includes the time that the machine is suspended.
type BootClock struct{}

// Now returns the time since the machine started, including suspend.
func (BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all supported kernels have this clock
	}
	return Instant(ts.Nano())
}
