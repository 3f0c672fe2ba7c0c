// Package summarizer logs what became of requests in one line for each route and
// interval, so that successes are on record while the log stays bounded.
package summarizer

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/timer"
)

// interval is the time between summaries. A route with traffic costs a line each.
const interval = 5 * time.Second

// Counter counts the ends of requests.
type Counter interface {
	ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration)
}

// summary is what became of a route's requests within an interval.
type summary struct {
	ends    map[string]int
	total   int
	elapsed time.Duration
	longest time.Duration
}

// Summarizer passes the ends of requests on, and logs their summaries.
type Summarizer struct {
	next   Counter
	logger zerolog.Logger

	mu     sync.Mutex
	routes map[string]*summary
}

// NewSummarizer returns a summarizer without requests.
func NewSummarizer(next Counter, logger zerolog.Logger) *Summarizer {
	return &Summarizer{next: next, logger: logger, routes: make(map[string]*summary)}
}

// ObserveRequest takes the end of a request.
func (s *Summarizer) ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration) {
	s.next.ObserveRequest(route, outcome, reason, status, elapsed)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.routes[route]
	if !ok {
		r = &summary{ends: make(map[string]int)}
		s.routes[route] = r
	}
	r.ends[outcome]++
	r.total++
	r.elapsed += elapsed
	r.longest = max(r.longest, elapsed)
}

// Run logs summaries until the context ends, and once more then.
func (s *Summarizer) Run(ctx context.Context, timers *timer.Service) error {
	tick := timers.Subscribe(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.Log()
			return nil
		case <-tick.C():
			s.Log()
		}
	}
}

// Log logs the summaries of the interval that ends now.
func (s *Summarizer) Log() {
	s.mu.Lock()
	routes := s.routes
	s.routes = make(map[string]*summary)
	s.mu.Unlock()
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := routes[name]
		ends := zerolog.Dict()
		for outcome, n := range r.ends {
			ends.Int(outcome, n)
		}
		s.logger.Info().Str("route", name).Int("requests", r.total).Dict("outcomes", ends).
			Dur("mean", r.elapsed/time.Duration(r.total)).Dur("longest", r.longest).Msg("requests")
	}
}
