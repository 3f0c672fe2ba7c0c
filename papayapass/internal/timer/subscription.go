package timer

import (
	"sync/atomic"
	"time"
)

// Subscription is a periodic wake-up, like a time.Ticker on the service's clock.
type Subscription struct {
	c        chan Instant
	interval time.Duration
	due      Instant
	stopped  atomic.Bool
}

// C returns the channel on which the instant of each wake-up is sent. It holds one;
// further ones are dropped until the receiver takes it.
func (s *Subscription) C() <-chan Instant { return s.c }

// Stop ends the subscription.
func (s *Subscription) Stop() { s.stopped.Store(true) }

func (s *Subscription) fire(now Instant) {
	s.due = now.Add(s.interval)
	select {
	case s.c <- now:
	default:
	}
}

// subscriptions is a heap ordered by due time.
type subscriptions []*Subscription

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].due < q[j].due }
func (q subscriptions) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *subscriptions) Push(x any) { *q = append(*q, x.(*Subscription)) }

// Pop implements heap.Interface.
func (q *subscriptions) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
