package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// startsUnderLimit offers a request every interval and returns when requests started.
func startsUnderLimit(a *Admitter, interval, span time.Duration) []timer.Instant {
	var starts []timer.Instant
	for now := timer.Instant(1); now < timer.Instant(span); now = now.Add(interval) {
		if ticket, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, now, false); d == Start {
			starts = append(starts, now)
			a.Done(ticket, false, now)
		}
	}
	return starts
}

// A backend server in need accepts a few requests per second while several times as many
// arrive (incident 0013).
func TestRateLimitHoldsInEachWindow(t *testing.T) {
	for name, rate := range map[string]float64{"usual": 26.9, "low": 1.1, "less than one": 0.5, "zero": 0} {
		t.Run(name, func(t *testing.T) {
			const span, window = 40 * time.Second, 4 * time.Second
			a := newTestAdmitter(100)
			a.SetRateLimit(rate, 1)
			starts := startsUnderLimit(a, 5*time.Millisecond, span)
			effective := max(rate, minRateLimit)
			for i, from := range starts {
				n := 0
				for _, s := range starts[i:] {
					if s.Sub(from) < window {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), effective*(window+burstWindow).Seconds()+1)
			}
			require.Greater(t, float64(len(starts)), 0.95*effective*span.Seconds()-1, "the rate is used")
		})
	}
}

func TestRateLimitAfterAPauseAdmitsAShortBurst(t *testing.T) {
	a := newTestAdmitter(100)
	a.SetRateLimit(40, 1)
	now := timer.Instant(time.Minute)
	started := 0
	for range 50 {
		if _, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, now, false); d == Start {
			started++
		}
	}
	require.Equal(t, 10, started, "the requests of burstWindow")
}

// Requests that the limit would hold up for too long are rejected at once, with the time
// until there is room.
func TestRateLimitRejectsWhatWouldWaitTooLong(t *testing.T) {
	a := newTestAdmitter(100)
	a.SetRateLimit(2, 1)
	r := Request{Kind: "route", Objective: time.Second, Deadline: far}
	waiting, d, _ := a.Offer(r, 1, true)
	require.Equal(t, Wait, d)
	_, d, retry := a.Offer(r, 1, true)
	require.Equal(t, Reject, d, "the second one would start after a second")
	require.Greater(t, retry, 100*time.Millisecond)
	a.Tick(timer.Instant(501 * time.Millisecond))
	start, decided := admitted(waiting)
	require.True(t, start && decided)
}

func TestEndOfRateLimitStartsWaitingRequests(t *testing.T) {
	a := newTestAdmitter(100)
	a.SetRateLimit(1, 1)
	waiting, d := offer(a, 0, far, 1)
	require.Equal(t, Wait, d)
	a.ClearRateLimit(2)
	start, decided := admitted(waiting)
	require.True(t, start && decided)
}

func TestRaisedRateLimitKeepsNoOlderBurst(t *testing.T) {
	a := newTestAdmitter(100)
	a.SetRateLimit(40, 1)
	now := timer.Instant(time.Minute)
	a.SetRateLimit(4, now)
	require.LessOrEqual(t, a.limit.tokens, 1.0)
	a.SetRateLimit(40, now)
	require.LessOrEqual(t, a.limit.tokens, 1.0)
}

// A backend server that named 1.2 requests per second had got 29 per second before; with
// those, it got 16 in 4 s when 12 were allowed.
func TestRateLimitCountsRequestsFromBeforeIt(t *testing.T) {
	for name, rates := range map[string]struct{ before, limit float64 }{
		"a tenth": {29, 1.2}, "a half": {40, 20}, "slightly less": {40, 38}, "zero": {29, 0},
	} {
		t.Run(name, func(t *testing.T) {
			const named, settled, window = 5 * time.Second, 3 * time.Second, 4 * time.Second
			a := newTestAdmitter(100)
			starts := startsUnderLimit(a, time.Duration(float64(time.Second)/rates.before), named)
			a.SetRateLimit(rates.limit, timer.Instant(named))
			for now := timer.Instant(named); now < timer.Instant(named+20*time.Second); now = now.Add(10 * time.Millisecond) {
				if ticket, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, now, false); d == Start {
					starts = append(starts, now)
					a.Done(ticket, false, now)
				}
			}
			after := 0
			for i, end := range starts {
				if end < timer.Instant(named) {
					continue
				}
				after++
				n := 0
				for _, s := range starts[:i+1] {
					if end.Sub(s) < window {
						n++
					}
				}
				if end >= timer.Instant(named+settled) {
					require.LessOrEqual(t, float64(n), 1.5*rates.limit*window.Seconds()+5)
				}
			}
			require.Greater(t, float64(after), 0.8*rates.limit*20-1, "the rate is used")
		})
	}
}
