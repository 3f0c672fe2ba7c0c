// Package meter counts what a node does, for its metrics page.
package meter

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayapass.dev/papayapass/internal/wirepb"
)

// requestKey names a sort of ends of requests.
type requestKey struct {
	pool    string
	outcome wirepb.Outcome
	reason  wirepb.Reason
}

// requestMetrics counts one sort of ends.
type requestMetrics struct {
	total   *metrics.Counter
	seconds *metrics.Histogram
}

// Meter holds the metrics of a node.
type Meter struct {
	set      *metrics.Set
	requests sync.Map
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{set: metrics.NewSet()} }

// Gauge adds a metric that is read when the page is.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// ObserveRequest counts the end of a caller's request.
func (m *Meter) ObserveRequest(pool string, a *wirepb.Answer, elapsed time.Duration) {
	k := requestKey{pool: pool, outcome: a.GetOutcome(), reason: a.GetReason()}
	found, ok := m.requests.Load(k)
	if !ok {
		found, _ = m.requests.LoadOrStore(k, m.newRequestMetrics(k))
	}
	end := found.(*requestMetrics)
	end.total.Inc()
	end.seconds.Update(elapsed.Seconds())
}

func (m *Meter) newRequestMetrics(k requestKey) *requestMetrics {
	outcome := OutcomeName(k.outcome)
	labels := `{pool="` + k.pool + `",outcome="` + outcome + `",reason="` + ReasonName(k.reason) + `"}`
	return &requestMetrics{
		total:   m.set.GetOrCreateCounter("papayapass_requests_total" + labels),
		seconds: m.set.GetOrCreateHistogram(`papayapass_request_seconds{pool="` + k.pool + `",outcome="` + outcome + `"}`),
	}
}

// Write writes all metrics in the text form that scrapers read.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// OutcomeName returns the name of an outcome, as callers see it.
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

// ReasonName returns the name of a reason, as callers see it.
func ReasonName(r wirepb.Reason) string {
	name := strings.TrimPrefix(r.String(), "REASON_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}
