package meter

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// routeKey names a sort of ends of customers' requests.
type routeKey struct {
	route   string
	outcome string
	reason  string
	status  int
}

// RouteMeter counts the ends of customers' requests at a node of a deployment.
type RouteMeter struct {
	set      *metrics.Set
	requests sync.Map
}

// NewRouteMeter returns counts without requests, on a meter's page.
func NewRouteMeter(m *Meter) *RouteMeter { return &RouteMeter{set: m.set} }

// ObserveRequest counts the end of a request. Routes come from the configuration, so that their
// number is bounded.
func (t *RouteMeter) ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration) {
	k := routeKey{route: route, outcome: outcome, reason: reason, status: status}
	found, ok := t.requests.Load(k)
	if !ok {
		found, _ = t.requests.LoadOrStore(k, t.newRequestMetrics(k))
	}
	end := found.(*requestMetrics)
	end.total.Inc()
	end.seconds.Update(elapsed.Seconds())
}

func (t *RouteMeter) newRequestMetrics(k routeKey) *requestMetrics {
	labels := `{route="` + k.route + `",outcome="` + k.outcome + `",reason="` + k.reason + `",status="` + strconv.Itoa(k.status) + `"}`
	return &requestMetrics{
		total:   t.set.GetOrCreateCounter("papayapass_requests_total" + labels),
		seconds: t.set.GetOrCreateHistogram(`papayapass_request_seconds{route="` + k.route + `",outcome="` + k.outcome + `"}`),
	}
}
