// Package classifier tells nested calls, which backend servers make while they run a
// request, from customers' requests. It is pure.
package classifier

import "sync"

const (
	// minRequests is how many requests of a route decide.
	minRequests = 40
	// maxRequests is the number of requests at which the counts of a route are halved, so
	// that newer requests decide.
	maxRequests = 400
	// nestedShare is the least fraction of a route's requests that comes from instances of
	// one service if backend servers make them. Customers are at the instances of all
	// services.
	nestedShare = 0.9
	// maxRoutes limits the routes that are counted.
	maxRoutes = 1024
)

// Classifier counts the requests for one service by route and by the service of the
// instance that received them.
type Classifier struct {
	service string

	mu     sync.Mutex
	routes map[string]*callers
}

type callers struct {
	byService map[string]int
	total     int
	nested    bool
}

// NewClassifier returns a classifier of the requests for a service.
func NewClassifier(service string) *Classifier {
	return &Classifier{service: service, routes: make(map[string]*callers)}
}

// Observe counts a request that an instance of the calling service received. It reports
// whether requests of its route are nested calls, and whether that has changed. Until enough
// were counted, and where the service calls itself, they count as customers' requests.
func (c *Classifier) Observe(route, caller string) (nested, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.routes[route]
	if !ok {
		if len(c.routes) >= maxRoutes {
			clear(c.routes) // routes that are gone make room
		}
		r = &callers{byService: make(map[string]int)}
		c.routes[route] = r
	}
	r.add(caller)
	was := r.nested
	r.nested = r.total >= minRequests && r.comeFromOneOther(c.service)
	return r.nested, r.nested != was
}

// comeFromOneOther reports whether the requests come from one service other than this one.
func (r *callers) comeFromOneOther(this string) bool {
	for service, n := range r.byService {
		if float64(n) >= nestedShare*float64(r.total) {
			return service != this
		}
	}
	return false
}

func (r *callers) add(caller string) {
	r.byService[caller]++
	if r.total++; r.total < maxRequests {
		return
	}
	r.total = 0
	for service, n := range r.byService {
		r.byService[service] = n / 2
		r.total += n / 2
	}
}
