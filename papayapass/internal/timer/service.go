package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service fires periodic subscriptions from a single goroutine.
type Service struct {
	clock      Clock
	mu         sync.Mutex
	queue      subscriptions
	subscribed chan struct{}
}

// NewService returns a service that uses a clock. It fires nothing until Run is called.
func NewService(clock Clock) *Service {
	return &Service{clock: clock, subscribed: make(chan struct{}, 1)}
}

// Now returns the current instant of the service's clock.
func (s *Service) Now() Instant { return s.clock.Now() }

// Subscribe returns a subscription that fires once per interval until it is stopped.
func (s *Service) Subscribe(interval time.Duration) *Subscription {
	sub := &Subscription{
		c:        make(chan Instant, 1),
		interval: interval,
		due:      s.clock.Now().Add(interval),
	}
	s.mu.Lock()
	heap.Push(&s.queue, sub)
	s.mu.Unlock()
	select {
	case s.subscribed <- struct{}{}:
	default:
	}
	return sub
}

// Run fires subscriptions until the context is done.
func (s *Service) Run(ctx context.Context) error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.subscribed:
		case <-wake.C:
		}
		wake.Reset(s.fire())
	}
}

// fire fires the due subscriptions and returns the time until the next one is due.
func (s *Service) fire() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for len(s.queue) > 0 {
		sub := s.queue[0]
		if sub.stopped.Load() {
			heap.Pop(&s.queue)
			continue
		}
		if now.Before(sub.due) {
			return sub.due.Sub(now)
		}
		sub.fire(now)
		heap.Fix(&s.queue, 0)
	}
	return time.Hour
}
