package loader

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency      = time.Minute
	histogramDigits = 3
)

// Percentiles are latencies of answered requests, in milliseconds.
type Percentiles struct {
	P50Millis  float64 `json:"p50Millis"`
	P99Millis  float64 `json:"p99Millis"`
	P999Millis float64 `json:"p999Millis"`
	MaxMillis  float64 `json:"maxMillis"`
}

// KindReport counts the requests of one kind by outcome.
type KindReport struct {
	Kind        string         `json:"kind"`
	Sent        int            `json:"sent"`
	Answered    int            `json:"answered"`
	NotRun      int            `json:"notRun"`
	Unknown     int            `json:"unknown"`
	Failed      int            `json:"failed"`
	Reasons     map[string]int `json:"reasons"`
	Percentiles Percentiles    `json:"percentiles"`
	histogram   *hdrhistogram.Histogram
}

// Report is the result of a run. Wrong counts responses to another request, Short
// those with a wrong checksum, and Skipped the requests not sent because too many
// were in flight. The gaps are the longest times between answered requests of a
// key: the median and the maximum over the watched keys.
type Report struct {
	Kinds          []*KindReport `json:"kinds"`
	Wrong          int           `json:"wrong"`
	Short          int           `json:"short"`
	Skipped        int           `json:"skipped"`
	GapP50Millis   float64       `json:"gapP50Millis"`
	GapMaxMillis   float64       `json:"gapMaxMillis"`
	NotRunNonces   []string      `json:"-"`
	mu             sync.Mutex
	watchKeys      int
	lastAnswered   map[string]time.Time
	gaps           map[string]time.Duration
	overall        *hdrhistogram.Histogram
	OverallLatency Percentiles `json:"overallLatency"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)
}

func newReport(kinds []Kind, watchKeys int) *Report {
	r := &Report{
		watchKeys:    watchKeys,
		lastAnswered: make(map[string]time.Time), gaps: make(map[string]time.Duration), overall: newHistogram(),
	}
	for _, k := range kinds {
		r.Kinds = append(r.Kinds, &KindReport{Kind: k.name, Reasons: make(map[string]int), histogram: newHistogram()})
	}
	return r
}

// result is the result of one request.
type result struct {
	request request
	outcome string
	reason  string
	wrong   bool
	short   bool
	latency time.Duration
}

// record adds the result of a request.
func (r *Report) record(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.Kinds[res.request.kind]
	k.Sent++
	if res.wrong {
		r.Wrong++
	}
	if res.short {
		r.Short++
	}
	switch res.outcome {
	case "answered":
		k.Answered++
		_ = k.histogram.RecordValue(min(res.latency, maxLatency).Microseconds())
		_ = r.overall.RecordValue(min(res.latency, maxLatency).Microseconds())
		if res.request.rank < r.watchKeys {
			r.recordGap(res.request.key)
		}
	case "not-run":
		k.NotRun++
		k.Reasons[res.reason]++
		r.NotRunNonces = append(r.NotRunNonces, res.request.nonce)
	case "unknown":
		k.Unknown++
		k.Reasons[res.reason]++
	default:
		k.Failed++
		k.Reasons[res.reason]++
	}
}

// recordGap updates the longest time between answered requests of a key.
func (r *Report) recordGap(key string) {
	now := time.Now()
	last, ok := r.lastAnswered[key]
	r.lastAnswered[key] = now
	if ok {
		r.gaps[key] = max(r.gaps[key], now.Sub(last))
	}
}

func (r *Report) summarize() {
	for _, k := range r.Kinds {
		k.Percentiles = percentiles(k.histogram)
	}
	r.OverallLatency = percentiles(r.overall)
	gaps := make([]time.Duration, 0, len(r.gaps))
	for _, g := range r.gaps {
		gaps = append(gaps, g)
	}
	sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
	if len(gaps) > 0 {
		r.GapP50Millis = millis(gaps[len(gaps)/2].Microseconds())
		r.GapMaxMillis = millis(gaps[len(gaps)-1].Microseconds())
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50Millis:  millis(h.ValueAtQuantile(50)),   //nolint:mnd // a percentile
		P99Millis:  millis(h.ValueAtQuantile(99)),   //nolint:mnd // a percentile
		P999Millis: millis(h.ValueAtQuantile(99.9)), //nolint:mnd // a percentile
		MaxMillis:  millis(h.Max()),
	}
}

const microsPerMilli = 1000.0

func millis(micros int64) float64 { return float64(micros) / microsPerMilli }

// Totals returns the counts and latencies over all kinds, without reasons.
func (r *Report) Totals() KindReport {
	t := KindReport{Kind: "all", Reasons: make(map[string]int), Percentiles: r.OverallLatency}
	for _, k := range r.Kinds {
		t.Sent += k.Sent
		t.Answered += k.Answered
		t.NotRun += k.NotRun
		t.Unknown += k.Unknown
		t.Failed += k.Failed
	}
	return t
}
