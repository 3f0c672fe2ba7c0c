package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

// Change is a difference between two configurations that has an effect.
type Change struct {
	Place  string `json:"place"`
	Change string `json:"change"`
}

const (
	added   = "added"
	removed = "removed"
)

// Difference returns what changes when cfg follows the configuration old: routes, services, customers, limits.
// Routes are compared by host and prefix, so that a change tells which requests it is about.
func Difference(old, cfg *descriptor.Configuration) []Change {
	changes := []Change{}
	changes = appendChanges(changes, routesOf(old), routesOf(cfg), compareMatches, routeChanges, func(r descriptor.Route) string { return placeOfRoute(&r) })
	changes = appendChanges(changes, old.Services, cfg.Services, strings.Compare, serviceChanges, func(s descriptor.Service) string { return placeOfService(s.Name) })
	changes = appendChanges(changes, customersOf(old), customersOf(cfg), strings.Compare, customerChanges, func(c descriptor.Customer) string { return placeOfCustomer(c.Name) })
	var f fields
	f.compare("keys required", old.RequiresKeys(), cfg.RequiresKeys())
	if len(f) > 0 {
		changes = append(changes, Change{Place: "customers", Change: strings.Join(f, ", ")})
	}
	if f = limitChanges(old.Limits, cfg.Limits); len(f) > 0 {
		changes = append(changes, Change{Place: placeLimits, Change: strings.Join(f, ", ")})
	}
	return changes
}

// CheckVersion returns an error as a finding if nodes that have the configuration old would not take cfg.
func CheckVersion(old, cfg *descriptor.Configuration) []Finding {
	if cfg.Version > old.Version {
		return nil
	}
	return []Finding{{Severity: Error, Place: "version", Reason: fmt.Sprintf("%d is not above %d, nodes keep the configuration that they have", cfg.Version, old.Version)}}
}

func appendChanges[K comparable, V any](changes []Change, old, next map[K]V, order func(a, b K) int, compare func(a, b V) fields, place func(V) string) []Change {
	keys := slices.Collect(maps.Keys(next))
	for k := range old {
		if _, ok := next[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, order)
	for _, k := range keys {
		a, inOld := old[k]
		b, inNext := next[k]
		switch {
		case !inOld:
			changes = append(changes, Change{Place: place(b), Change: added})
		case !inNext:
			changes = append(changes, Change{Place: place(a), Change: removed})
		default:
			if f := compare(a, b); len(f) > 0 {
				changes = append(changes, Change{Place: place(b), Change: strings.Join(f, ", ")})
			}
		}
	}
	return changes
}

// fields are the changes of one place.
type fields []string

func (f *fields) compare(name string, a, b any) {
	if a != b {
		*f = append(*f, fmt.Sprintf("%s %v to %v", name, a, b))
	}
}

func routeChanges(a, b descriptor.Route) fields {
	var f fields
	f.compare("name", fmt.Sprintf("%q", validator.Excerpt(a.Name)), fmt.Sprintf("%q", validator.Excerpt(b.Name)))
	f.compare("services", shares(a.Targets), shares(b.Targets))
	f.compare("time-out", a.Timeout, b.Timeout)
	f.compare("objective", a.Objective, b.Objective)
	f.compare("attempts", a.Attempts, b.Attempts)
	f.compare("priority", a.Priority, b.Priority)
	f.compare("public", a.Public, b.Public)
	f.compare("idempotent", a.Idempotent, b.Idempotent)
	return f
}

// shares describes the services of a route by name, with the share of the requests that each gets.
func shares(targets []descriptor.Target) string {
	weights, total := make(map[string]float64), 0.0
	for _, t := range targets {
		if t.Weight > 0 {
			weights[t.Service] += float64(t.Weight)
			total += float64(t.Weight)
		}
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		parts = append(parts, fmt.Sprintf("%q %.4g%%", validator.Excerpt(name), 100*weights[name]/total))
	}
	return "(" + strings.Join(parts, " ") + ")"
}

func serviceChanges(a, b descriptor.Service) fields {
	var f fields
	f.compare("divided", a.Divided, b.Divided)
	f.compare("warm-up rate", a.WarmUpRate, b.WarmUpRate)
	f.compare("grants", fmt.Sprintf("%q", validator.Excerpt(string(a.Grants))), fmt.Sprintf("%q", validator.Excerpt(string(b.Grants))))
	return f
}

func customerChanges(a, b descriptor.Customer) fields {
	var f fields
	f.compare("priority", a.Priority, b.Priority)
	f.compare("rate", a.Rate, b.Rate)
	f.compare("burst", a.Burst, b.Burst)
	if n := missing(b.Keys, a.Keys); n > 0 {
		f = append(f, fmt.Sprintf("%d keys added", n))
	}
	if n := missing(a.Keys, b.Keys); n > 0 {
		f = append(f, fmt.Sprintf("%d keys removed", n))
	}
	return f
}

// missing counts the keys that are not among others.
func missing(keys, others []string) int {
	known, n := make(map[string]bool, len(others)), 0
	for _, k := range others {
		known[k] = true
	}
	for _, k := range keys {
		if !known[k] {
			known[k] = true
			n++
		}
	}
	return n
}

func limitChanges(a, b descriptor.Limits) fields {
	var f fields
	f.compare("header bytes", a.HeaderBytes, b.HeaderBytes)
	f.compare("body bytes", a.BodyBytes, b.BodyBytes)
	f.compare("header time-out", a.HeaderTimeout, b.HeaderTimeout)
	f.compare("idle time-out", a.IdleTimeout, b.IdleTimeout)
	return f
}

// routesOf returns the routes that match requests: of several with the same host and prefix the first.
func routesOf(cfg *descriptor.Configuration) map[match]descriptor.Route {
	routes := make(map[match]descriptor.Route, len(cfg.Routes))
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if _, ok := routes[matchOf(r)]; !ok {
			routes[matchOf(r)] = *r
		}
	}
	return routes
}

func compareMatches(a, b match) int {
	if n := strings.Compare(a.host, b.host); n != 0 {
		return n
	}
	return strings.Compare(a.prefix, b.prefix)
}

// customersOf returns the customers as nodes use them.
func customersOf(cfg *descriptor.Configuration) map[string]descriptor.Customer {
	usable, _ := validator.Customers(cfg.Customers)
	customers := make(map[string]descriptor.Customer, len(usable))
	for _, c := range usable {
		customers[c.Name] = c
	}
	return customers
}
