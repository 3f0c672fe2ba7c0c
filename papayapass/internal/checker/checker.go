// Package checker finds the faults of a deployment's configuration before it comes into force, and tells
// how it differs from another one. Nothing that it returns contains a customer's key.
package checker

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

const (
	// maxTimeout is the longest plausible time-out of a route.
	maxTimeout = 10 * time.Minute
	// minRate is the lowest plausible limit of a customer, in requests per second.
	minRate = 0.1
)

const placeLimits = "limits"

// Checker collects the findings of one configuration.
type Checker struct {
	cfg      *descriptor.Configuration
	findings []Finding
}

// Check returns the findings in the order of the configuration: routes, services by name, customers, limits.
func Check(cfg *descriptor.Configuration) []Finding {
	c := &Checker{cfg: cfg}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	c.checkLimits()
	return c.findings
}

func (c *Checker) add(s Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: place, Reason: fmt.Sprintf(format, args...)})
}

func (c *Checker) checkRoutes() {
	first := make(map[match]*descriptor.Route, len(c.cfg.Routes))
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		if other := first[matchOf(r)]; other != nil {
			c.add(Error, placeOfRoute(r), "never matches: route %q before it has the same host and prefix", validator.Excerpt(other.Name))
		} else {
			first[matchOf(r)] = r
		}
		if r.Host == "" {
			c.add(Error, placeOfRoute(r), "no host")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(Error, placeOfRoute(r), "the prefix does not begin and end with a slash")
		}
		c.checkTargets(r)
		c.checkTimes(r)
	}
}

func (c *Checker) checkTargets(r *descriptor.Route) {
	weighted := slices.ContainsFunc(r.Targets, func(t descriptor.Target) bool { return t.Weight > 0 })
	if !weighted {
		c.add(Error, placeOfRoute(r), "no service with a weight above zero")
	}
	for _, t := range r.Targets {
		name := validator.Excerpt(t.Service)
		if _, ok := c.cfg.Services[t.Service]; !ok {
			c.add(Error, placeOfRoute(r), "service %q is not defined", name)
		}
		switch {
		case t.Weight < 0:
			c.add(Error, placeOfRoute(r), "service %q has the negative weight %d", name, t.Weight)
		case t.Weight == 0 && weighted:
			c.add(Warning, placeOfRoute(r), "service %q has the weight zero and gets no requests", name)
		}
	}
}

func (c *Checker) checkTimes(r *descriptor.Route) {
	if r.Attempts < 1 {
		c.add(Error, placeOfRoute(r), "%d attempts, at least 1 is needed", r.Attempts)
	}
	switch {
	case r.Timeout <= 0:
		c.add(Error, placeOfRoute(r), "no time-out")
	case r.Objective > r.Timeout:
		c.add(Warning, placeOfRoute(r), "the objective %s is above the time-out %s", r.Objective, r.Timeout)
	}
	if r.Timeout > maxTimeout {
		c.add(Warning, placeOfRoute(r), "the time-out %s is above %s", r.Timeout, maxTimeout)
	}
}

func (c *Checker) checkServices() {
	used := make(map[string]bool)
	for _, r := range c.cfg.Routes {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.cfg.Services)) {
		if !used[name] {
			c.add(Warning, placeOfService(name), "no route uses it")
		}
		if rate := c.cfg.Services[name].WarmUpRate; rate < 0 || math.IsNaN(rate) {
			c.add(Error, placeOfService(name), "warm-up rate %g", rate)
		}
	}
}

func (c *Checker) checkCustomers() {
	_, errs := validator.Customers(c.cfg.Customers)
	for _, err := range errs {
		c.add(Error, "customers", "%v", err)
	}
	for _, customer := range c.cfg.Customers {
		if customer.Name == "" {
			continue
		}
		place := placeOfCustomer(customer.Name)
		if len(customer.Keys) == 0 {
			c.add(Warning, place, "no keys, it can send no requests")
		}
		switch {
		case customer.Rate == 0 && customer.Burst > 0:
			c.add(Warning, place, "burst %g without a rate, the customer has no limit", customer.Burst)
		case customer.Rate > 0 && customer.Rate < minRate:
			c.add(Warning, place, "rate %g is below one request in %s", customer.Rate, time.Duration(float64(time.Second)/minRate))
		}
	}
}

func (c *Checker) checkLimits() {
	l := c.cfg.Limits
	c.checkLimit("header bytes", int64(l.HeaderBytes), "the nodes' own limit applies")
	c.checkLimit("body bytes", l.BodyBytes, "bodies above one byte are rejected")
	c.checkLimit("header time-out", int64(l.HeaderTimeout), "the nodes' own limit applies")
	c.checkLimit("idle time-out", int64(l.IdleTimeout), "the nodes' own limit applies")
	if l.BodyBytes > 0 && int64(l.HeaderBytes) > l.BodyBytes {
		c.add(Warning, placeLimits, "header bytes %d are above body bytes %d", l.HeaderBytes, l.BodyBytes)
	}
}

func (c *Checker) checkLimit(name string, value int64, effect string) {
	switch {
	case value < 0:
		c.add(Error, placeLimits, "%s: negative", name)
	case value == 0:
		c.add(Warning, placeLimits, "%s: zero, %s", name, effect)
	}
}

// match is what requests of a route have in common.
type match struct{ host, prefix string }

func matchOf(r *descriptor.Route) match { return match{host: r.Host, prefix: r.Prefix} }

func placeOfRoute(r *descriptor.Route) string {
	return fmt.Sprintf("route %q, host %q, prefix %q", validator.Excerpt(r.Name), validator.Excerpt(r.Host), validator.Excerpt(r.Prefix))
}

func placeOfService(name string) string { return fmt.Sprintf("service %q", validator.Excerpt(name)) }

func placeOfCustomer(name string) string { return fmt.Sprintf("customer %q", validator.Excerpt(name)) }
