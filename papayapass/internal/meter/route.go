package meter

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// routeKey holds the labels by which customers' requests are counted.
type routeKey struct {
	route   string
	outcome string
	reason  string
	status  int
}

// RouteMeter counts customers' requests by route, at a node of a deployment.
type RouteMeter struct {
	set      *metrics.Set
	requests sync.Map
}

// NewRouteMeter returns a route meter whose metrics are written by m.
func NewRouteMeter(m *Meter) *RouteMeter { return &RouteMeter{set: m.set} }

// ObserveRequest records a request that has ended. Routes come from the configuration,
// which bounds the number of label values.
func (m *RouteMeter) ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration) {
	k := routeKey{route: route, outcome: outcome, reason: reason, status: status}
	found, ok := m.requests.Load(k)
	if !ok {
		found, _ = m.requests.LoadOrStore(k, m.newRequestMetrics(k))
	}
	r := found.(*requestMetrics)
	r.total.Inc()
	r.seconds.Update(elapsed.Seconds())
}

func (m *RouteMeter) newRequestMetrics(k routeKey) *requestMetrics {
	labels := `{route="` + k.route + `",outcome="` + k.outcome + `",reason="` + k.reason + `",status="` + strconv.Itoa(k.status) + `"}`
	return &requestMetrics{
		total:   m.set.GetOrCreateCounter("papayapass_requests_total" + labels),
		seconds: m.set.GetOrCreateHistogram(`papayapass_request_seconds{route="` + k.route + `",outcome="` + k.outcome + `"}`),
	}
}
