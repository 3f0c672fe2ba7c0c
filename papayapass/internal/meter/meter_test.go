package meter

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/wirepb"
)

func TestRequestsAreCountedByOutcome(t *testing.T) {
	m := NewMeter()
	for range 3 {
		m.ObserveRequest("permits", &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_ANSWERED}, time.Millisecond)
	}
	m.ObserveRequest("permits", &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: wirepb.Reason_REASON_OVERLOADED}, 0)
	var b bytes.Buffer
	m.Write(&b)
	require.Contains(t, b.String(), `papayapass_requests_total{pool="permits",outcome="answered",reason="none"} 3`)
	require.Contains(t, b.String(), `papayapass_requests_total{pool="permits",outcome="not-run",reason="overloaded"} 1`)
	require.Contains(t, b.String(), `papayapass_request_seconds_count{pool="permits",outcome="answered"} 3`)
}

func BenchmarkRequest(b *testing.B) {
	m := NewMeter()
	a := &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_ANSWERED}
	b.ReportAllocs()
	for b.Loop() {
		m.ObserveRequest("permits", a, time.Millisecond)
	}
}
