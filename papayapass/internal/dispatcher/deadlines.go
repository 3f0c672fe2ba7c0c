package dispatcher

import (
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// deadlineWindow is the time after which the longest deadline that customers stated is
	// looked up anew.
	deadlineWindow = 5 * time.Second
	// sameDeadlineShare is the fraction of the longest deadline from which on a stated one
	// counts as the same.
	sameDeadlineShare = 0.97
	// minSameShare is the least fraction of a route's requests that state the longest
	// deadline if the customers of the route have one deadline in common.
	minSameShare = 0.4
	// minDeadlines is how many requests decide that.
	minDeadlines = 10
)

// deadlines estimates how long ago customers first sent their requests. A customer that
// retries states only the time that it has left, so that a request of a route whose
// customers have one deadline in common is as old as its stated time is shorter.
type deadlines struct {
	mu     sync.Mutex
	routes map[string]*deadlineWindows
}

type deadlineWindows struct {
	now, last deadlineCount
	startedAt timer.Instant
}

// deadlineCount counts the requests of a window, and those that state its longest deadline.
type deadlineCount struct {
	longest        time.Duration
	requests, same int
}

func newDeadlines() *deadlines { return &deadlines{routes: make(map[string]*deadlineWindows)} }

// age returns how long ago a customer that states the time left first sent its request, or
// zero if that is unknown.
func (d *deadlines) age(route string, left time.Duration, now timer.Instant) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.routes[route]
	if !ok {
		w = &deadlineWindows{startedAt: now}
		d.routes[route] = w
	}
	if now.Sub(w.startedAt) >= deadlineWindow {
		w.last, w.now, w.startedAt = w.now, deadlineCount{}, now
	}
	w.now.add(left)
	known := w.last
	if w.now.requests >= minDeadlines || w.now.longest > known.longest {
		known = w.now
	}
	if known.requests < minDeadlines || float64(known.same) < minSameShare*float64(known.requests) || known.isSame(left) {
		return 0
	}
	return max(known.longest-left, 0)
}

func (c *deadlineCount) isSame(left time.Duration) bool {
	return float64(left) >= sameDeadlineShare*float64(c.longest)
}

func (c *deadlineCount) add(left time.Duration) {
	c.requests++
	switch {
	case float64(c.longest) < sameDeadlineShare*float64(left):
		c.longest, c.same = left, 1
	case c.isSame(left):
		c.longest = max(c.longest, left)
		c.same++
	}
}
