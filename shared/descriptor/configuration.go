// Package descriptor defines the platform-independent types that describe a deployment:
// its configuration, heartbeats and stored objects. A platform adapter fills them.
package descriptor

import (
	"slices"
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
	// Customers are those whose requests are accepted.
	Customers []Customer
	// KeysRequired is set if requests need a key even though there are no customers.
	KeysRequired bool
	// Source is the encoded form, which is forwarded to peers unchanged.
	Source []byte

	byHost map[string][]*Route
	byKey  map[string]*Customer
	byName map[string]*Customer
}

// MaxKeyBytes is the longest API key of a customer.
const MaxKeyBytes = 256

// Customer is a customer of the deployment. Its requests carry one of its API keys.
type Customer struct {
	Name string
	Keys []string
	// Priority precedes the priority of routes; zero is the most urgent.
	Priority int
	// Rate limits the requests of the customer at all nodes together, in requests per second,
	// and Burst is how many may come at once beyond it. A rate of zero means no limit.
	Rate  float64
	Burst float64
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
	// Public is set if requests need no key of a customer.
	Public bool
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

// RequiresKeys reports whether requests for routes that are not public must carry a customer's key.
func (c *Configuration) RequiresKeys() bool { return c.KeysRequired || len(c.Customers) > 0 }

// SetCustomers replaces the customers. Whether keys are required stays as it is.
func (c *Configuration) SetCustomers(customers []Customer) {
	c.KeysRequired = c.RequiresKeys()
	c.Customers = customers
	c.indexKeys()
}

// HasQuotas reports whether any customer has a limit.
func (c *Configuration) HasQuotas() bool {
	return slices.ContainsFunc(c.Customers, func(c Customer) bool { return c.Rate > 0 })
}

// CustomerOf returns the customer that holds a key.
func (c *Configuration) CustomerOf(key string) (*Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// HasCustomer reports whether there is a customer with a name.
func (c *Configuration) HasCustomer(name string) bool { return c.byName[name] != nil }

// BuildIndex builds the indexes that Match and CustomerOf read; decoders call it once.
func (c *Configuration) BuildIndex() {
	c.indexKeys()
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

func (c *Configuration) indexKeys() {
	c.byKey, c.byName = make(map[string]*Customer), make(map[string]*Customer)
	for i := range c.Customers {
		c.byName[c.Customers[i].Name] = &c.Customers[i]
		for _, key := range c.Customers[i].Keys {
			if key != "" {
				c.byKey[key] = &c.Customers[i]
			}
		}
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
