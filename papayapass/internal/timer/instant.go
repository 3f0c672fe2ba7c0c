// Package timer is the one source of time: a clock that runs through suspend,
// and a service whose subscribers are woken at intervals.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point of a clock, in nanoseconds since it started. Instants of
// two machines or of two starts cannot be compared.
type Instant int64

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration since an earlier instant.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before says whether the instant is earlier than another.
func (i Instant) Before(other Instant) bool { return i < other }

// Clock tells the time.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}

// BootClock reads CLOCK_BOOTTIME, which goes on while the machine sleeps.
type BootClock struct{}

// Now returns the time since the machine started, sleep included.
func (BootClock) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // the clock exists on each supported kernel
	}
	return Instant(ts.Nano())
}
