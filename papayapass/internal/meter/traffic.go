package meter

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// trafficKey names a sort of ends of customers' requests.
type trafficKey struct {
	route   string
	outcome string
	reason  string
	status  int
}

// RouteMeter counts the ends of customers' requests at a node of a deployment.
type RouteMeter struct {
	set  *metrics.Set
	ends sync.Map
}

// NewRouteMeter returns counts without requests, on a meter's page.
func NewRouteMeter(m *Meter) *RouteMeter { return &RouteMeter{set: m.set} }

// ObserveRequest counts the end of a request. Routes come from the configuration, so that their
// number is bounded.
func (t *RouteMeter) ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration) {
	k := trafficKey{route: route, outcome: outcome, reason: reason, status: status}
	found, ok := t.ends.Load(k)
	if !ok {
		found, _ = t.ends.LoadOrStore(k, t.newEnd(k))
	}
	end := found.(*endMetrics)
	end.total.Inc()
	end.seconds.Update(elapsed.Seconds())
}

func (t *RouteMeter) newEnd(k trafficKey) *endMetrics {
	labels := `{route="` + k.route + `",outcome="` + k.outcome + `",reason="` + k.reason + `",status="` + strconv.Itoa(k.status) + `"}`
	return &endMetrics{
		total:   t.set.GetOrCreateCounter("papayapass_requests_total" + labels),
		seconds: t.set.GetOrCreateHistogram(`papayapass_request_seconds{route="` + k.route + `",outcome="` + k.outcome + `"}`),
	}
}
