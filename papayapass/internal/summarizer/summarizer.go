// Package summarizer logs the outcomes of requests in one line per route and interval, so
// that successes are logged too and the log stays bounded.
package summarizer

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/timer"
)

// summaryInterval is the time between summaries; each route with traffic logs one line.
const summaryInterval = 5 * time.Second

// Counter counts finished requests.
type Counter interface {
	ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration)
}

// summary holds the outcomes of a route's requests in one interval.
type summary struct {
	outcomes map[string]int
	requests int
	elapsed  time.Duration
	longest  time.Duration
}

// Summarizer forwards finished requests to a counter and logs summaries of them.
type Summarizer struct {
	next   Counter
	logger zerolog.Logger

	mu     sync.Mutex
	routes map[string]*summary
}

// NewSummarizer returns a summarizer that forwards requests to next.
func NewSummarizer(next Counter, logger zerolog.Logger) *Summarizer {
	return &Summarizer{next: next, logger: logger, routes: make(map[string]*summary)}
}

// ObserveRequest records a finished request.
func (s *Summarizer) ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration) {
	s.next.ObserveRequest(route, outcome, reason, status, elapsed)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.routes[route]
	if !ok {
		r = &summary{outcomes: make(map[string]int)}
		s.routes[route] = r
	}
	r.outcomes[outcome]++
	r.requests++
	r.elapsed += elapsed
	r.longest = max(r.longest, elapsed)
}

// Run logs a summary at each interval until ctx is done, and then a last one.
func (s *Summarizer) Run(ctx context.Context, timers *timer.Service) error {
	tick := timers.Subscribe(summaryInterval)
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

// Log logs and resets the summaries.
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
		outcomes := zerolog.Dict()
		for outcome, n := range r.outcomes {
			outcomes.Int(outcome, n)
		}
		s.logger.Info().Str("route", name).Int("requests", r.requests).Dict("outcomes", outcomes).
			Dur("mean", r.elapsed/time.Duration(r.requests)).Dur("longest", r.longest).Msg("requests")
	}
}
