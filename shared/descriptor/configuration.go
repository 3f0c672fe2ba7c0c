// Package descriptor holds what a deployment tells the product, in the product's
// own words. An adapter fills these types; nothing in them names a platform.
package descriptor

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one version of what operators want: routes, services, limits.
// It is never changed after it was decoded.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Source is the encoded form, for handing it to peers unchanged.
	Source []byte

	byHost map[string][]*Route
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Targets    []Target
	Idempotent bool
	// Timeout is the longest time that a customer is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Attempts is the largest number of backend servers that one request may reach.
	Attempts int
	// Priority is the rank of the route; zero is the most urgent.
	Priority int
}

// Target is a service and its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// WarmUpRate is the number of requests a second that a cold backend server bears.
	WarmUpRate float64
	// Divided says that each key has one owner.
	Divided bool
}

// Limits bound what a customer may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// BuildIndex prepares the configuration for Match; decoders call it once.
func (c *Configuration) BuildIndex() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// Match returns the route with the longest prefix of a path, among those of a host.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
