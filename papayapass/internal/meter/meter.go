// Package meter counts what a node does, for its metrics page.
package meter

import (
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"papayapass.dev/papayapass/internal/wirepb"
)

// Meter holds the metrics of a node.
type Meter struct {
	set *metrics.Set
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{set: metrics.NewSet()} }

// Gauge adds a metric that is read when the page is.
func (m *Meter) Gauge(name string, read func() float64) { m.set.NewGauge(name, read) }

// Request counts the end of a caller's request.
func (m *Meter) Request(pool string, a *wirepb.Answer, elapsed time.Duration) {
	outcome := OutcomeName(a.GetOutcome())
	labels := `{pool="` + pool + `",outcome="` + outcome + `",reason="` + ReasonName(a.GetReason()) + `"}`
	m.set.GetOrCreateCounter("papayapass_requests_total" + labels).Inc()
	m.set.GetOrCreateHistogram(`papayapass_request_seconds{pool="` + pool + `",outcome="` + outcome + `"}`).Update(elapsed.Seconds())
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
