package dispatcher

import (
	"net/http"

	"papayapass.dev/shared/descriptor"
)

// entrance is the decision whether a request enters, by its customer's key.
type entrance struct {
	// status is that of the response to a request that does not enter, else zero.
	status int
	reason Reason
	// customer is nil if the request needs no key.
	customer *descriptor.Customer
	key      string
}

// newEntrance decides about a request for a route. The freshness must have been determined before the
// configuration was loaded, so that a pause between the two makes no configuration seem fresher than it is.
func newEntrance(cfg *descriptor.Configuration, fresh Freshness, route *descriptor.Route, codec HeaderCodec, h http.Header) entrance {
	if !cfg.RequiresKeys() || route.Public {
		return entrance{}
	}
	key, ok := codec.CustomerKey(h)
	if !ok || len(key) > descriptor.MaxKeyBytes {
		return entrance{status: http.StatusBadRequest, reason: ReasonKey}
	}
	customer, ok := cfg.CustomerOf(key)
	switch {
	case fresh == Outdated || (!ok && fresh != Current):
		return entrance{status: http.StatusServiceUnavailable, reason: ReasonStale}
	case !ok:
		return entrance{status: http.StatusUnauthorized, reason: ReasonKey}
	default:
		return entrance{customer: customer, key: key}
	}
}

// customerName returns the name of the customer, or nothing.
func (e *entrance) customerName() string {
	if e.customer == nil {
		return ""
	}
	return e.customer.Name
}

// isRevoked reports whether the key was taken from its customer since the request has entered.
func (e *entrance) isRevoked(cfg *descriptor.Configuration) bool {
	if e.customer == nil || !cfg.RequiresKeys() {
		return false
	}
	holder, ok := cfg.CustomerOf(e.key)
	return !ok || holder.Name != e.customer.Name
}
