package admitter

import (
	"slices"
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

// startLog holds the times of the requests started in the last limitWindow, oldest first.
type startLog []timer.Instant

// add records a start and drops those that no window contains any more.
func (l *startLog) add(now timer.Instant) {
	recent := l.within(limitWindow, now)
	*l = append((*l)[len(*l)-recent:], now)
}

// within returns the number of starts in a window that ends now.
func (l *startLog) within(window time.Duration, now timer.Instant) int {
	i, _ := slices.BinarySearchFunc(*l, now.Add(-window), func(s, end timer.Instant) int {
		if s <= end {
			return -1
		}
		return 1
	})
	return len(*l) - i
}

// wait returns the time until fewer than limit starts are in a window.
func (l *startLog) wait(limit int, window time.Duration, now timer.Instant) time.Duration {
	if len(*l) < limit {
		return 0
	}
	return max(0, (*l)[len(*l)-limit].Add(window).Sub(now))
}
