package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

func TestAgeOfRetriedRequests(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		stated []time.Duration
		left   time.Duration
		want   time.Duration
	}{
		"a retry":                      {[]time.Duration{1000 * ms, 1000 * ms, 800 * ms}, 700 * ms, 300 * ms},
		"a first attempt":              {[]time.Duration{1000 * ms, 1000 * ms, 800 * ms}, 1000 * ms, 0},
		"a little less time":           {[]time.Duration{1000 * ms}, 980 * ms, 0},
		"customers of many deadlines":  {[]time.Duration{1000 * ms, 900 * ms, 700 * ms, 500 * ms}, 500 * ms, 0},
		"more time than anyone before": {[]time.Duration{1000 * ms}, 3 * time.Second, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeadlines()
			require.Zero(t, d.age("route", tt.left, 1), "unknown at first")
			d = newDeadlines()
			for i := range 60 {
				d.age("route", tt.stated[i%len(tt.stated)], timer.Instant(i))
			}
			require.Equal(t, tt.want, d.age("route", tt.left, 60))
		})
	}
}

// The longest deadline changes with the customers: after two windows, no request counts as
// old by a deadline that nobody states any more.
func TestAgeForgetsFormerDeadlines(t *testing.T) {
	d, now := newDeadlines(), timer.Instant(0)
	for ; now < timer.Instant(deadlineWindow); now = now.Add(100 * time.Millisecond) {
		d.age("route", 3*time.Second, now)
	}
	require.Equal(t, 2*time.Second, d.age("route", time.Second, now))
	for ; now < timer.Instant(2*deadlineWindow); now = now.Add(100 * time.Millisecond) {
		d.age("route", time.Second, now)
	}
	require.Zero(t, d.age("route", time.Second, now))
}
