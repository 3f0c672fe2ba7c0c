package dispatcher

import (
	"math"
	"sync"

	"papayapass.dev/shared/descriptor"
)

const (
	// goldenRatio is the step of the sequence by which requests are split, as a fraction of 2^64. Any
	// run of its points is spread evenly, so that a few requests have about the shares of the weights.
	goldenRatio = 0x9E3779B97F4A7C15
	// maxSplitRoutes limits the routes whose sequences are kept.
	maxSplitRoutes = 4096
)

// splitter splits the requests of routes among their targets by weight. Each node starts at a
// point of its own, so that nodes with few requests do not all begin with the same target.
type splitter struct {
	mu     sync.Mutex
	start  func() uint64 // returns the first point of a sequence
	points map[string]uint64
}

func newSplitter(start func() uint64) *splitter {
	return &splitter{start: start, points: make(map[string]uint64)}
}

// next returns the next point of a route's sequence, from 0 to less than 1.
func (s *splitter) next(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	point, ok := s.points[route]
	if !ok {
		if len(s.points) >= maxSplitRoutes {
			clear(s.points) // routes that are gone make room
		}
		point = s.start()
	}
	point += goldenRatio
	s.points[route] = point
	return float64(point>>11) / (1 << 53)
}

// pick returns the service for the next request of a route, or nothing if no target has a weight.
func (s *splitter) pick(r *descriptor.Route) string {
	if len(r.Targets) == 1 && r.Targets[0].Weight > 0 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += math.Max(float64(t.Weight), 0)
	}
	if total <= 0 {
		return ""
	}
	left := s.next(r.Name) * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if last = t.Service; left < float64(t.Weight) {
			return t.Service
		}
		left -= float64(t.Weight)
	}
	return last // the sum of the weights was rounded
}
