// Package descriptor defines the platform-independent types that describe a deployment:
// its configuration, heartbeats and stored objects. A platform adapter fills them.
package descriptor

import (
	"sort"
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration: routes, services and
// limits. It is immutable once decoded.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Source is the encoded form, which is forwarded to peers unchanged.
	Source []byte

	byHost map[string][]*Route
}

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	Prefix     string
	Targets    []Target
	Idempotent bool
	// Timeout is the longest time that a customer waits for a response.
	Timeout time.Duration
	// Objective is the target latency of responses.
	Objective time.Duration
	// Attempts is the maximum number of backend servers that one request is sent to.
	Attempts int
	// Priority orders routes under load; zero is the most urgent.
	Priority int
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// WarmUpRate is the rate that a backend server sustains during its warm-up, in
	// requests per second.
	WarmUpRate float64
	// Divided reports whether the service is sharded by key, with one owner for each key.
	Divided bool
	// Grants is how the backend servers of a divided service get their keys; empty if the
	// configuration does not say.
	Grants GrantMethod
}

// Limits are the limits on customers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// BuildIndex builds the index that Match reads; decoders call it once.
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

// Match returns the route of a host with the longest prefix of a path.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
