// Package meter collects the metrics of a node.
package meter

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayapass.dev/papayapass/internal/wirepb"
)

// requestKey holds the labels by which requests are counted.
type requestKey struct {
	pool    string
	outcome wirepb.Outcome
	reason  wirepb.Reason
}

// requestMetrics holds the metrics of the requests with the same labels.
type requestMetrics struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

// Meter holds the metrics of a node and counts requests by pool.
type Meter struct {
	set      *metrics.Set
	requests sync.Map
}

// NewMeter returns a meter without metrics.
func NewMeter() *Meter { return &Meter{set: metrics.NewSet()} }

// Gauge registers a gauge whose value is read on each scrape.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// ObserveRequest records a caller's request that has ended.
func (m *Meter) ObserveRequest(pool string, a *wirepb.Answer, elapsed time.Duration) {
	k := requestKey{pool: pool, outcome: a.GetOutcome(), reason: a.GetReason()}
	found, ok := m.requests.Load(k)
	if !ok {
		found, _ = m.requests.LoadOrStore(k, m.newRequestMetrics(k))
	}
	r := found.(*requestMetrics)
	r.total.Inc()
	r.seconds.Update(elapsed.Seconds())
}

func (m *Meter) newRequestMetrics(k requestKey) *requestMetrics {
	outcome := OutcomeName(k.outcome)
	labels := `{pool="` + k.pool + `",outcome="` + outcome + `",reason="` + ReasonName(k.reason) + `"}`
	return &requestMetrics{
		total:   m.set.GetOrCreateCounter("papayapass_requests_total" + labels),
		seconds: m.set.GetOrCreateHistogram(`papayapass_request_seconds{pool="` + k.pool + `",outcome="` + outcome + `"}`),
	}
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// OutcomeName returns the name of an outcome in response headers and metrics.
func OutcomeName(o wirepb.Outcome) string {
	switch o {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		return "not-run"
	default:
		return "unknown"
	}
}

// ReasonName returns the name of a reason in response headers and metrics.
func ReasonName(r wirepb.Reason) string {
	name := strings.TrimPrefix(r.String(), "REASON_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}
