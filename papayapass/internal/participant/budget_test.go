package participant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// A third of the runs of one service fail because the other service sheds the calls that
// they make. Each retried run makes two calls again, so the retries of all nodes together
// must stay within the called service's budget. The test tries to retry every request.
func TestRetryBudgetCoversNestedCalls(t *testing.T) {
	const nodes, seconds, perSecond = 9, 20, 20
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58}
	clock := &timer.ManualClock{}
	var budgets []*retryBudget
	for range nodes {
		budgets = append(budgets, newRetryBudget(bounds, clock))
	}
	requests, extra := make([]float64, seconds), make([]float64, seconds)
	for s := range seconds {
		for range perSecond {
			for _, b := range budgets {
				b.countRequest("front")
				b.countRequest("back")
				requests[s]++
				if b.tryWithdraw("front", true) {
					extra[s] += callsPerRun
				}
				if b.tryWithdraw("back", false) {
					extra[s]++
				}
			}
			clock.Advance(time.Second / perSecond)
		}
	}
	for from := 0; from+10 <= seconds; from++ {
		requested, retries := 0.0, 0.0
		for s := from; s < from+10; s++ {
			requested += requests[s]
			retries += extra[s]
		}
		require.LessOrEqual(t, retries, bounds.RetryRatio*requested+bounds.RetrySlack)
		require.Positive(t, retries, "part of the budget is used")
	}
}

// Servers in a grey failure falsely shed calls for the first 8 s and after 12 s of each
// 25 s, and the traffic falls to a tenth in the second half. In any window the retries stay
// within the ratio of the requests of that window, of the one before or of the one half a
// window earlier, and most of the budget can be used.
func TestRetryBudgetHoldsInSlidingWindows(t *testing.T) {
	const (
		nodes, step, steps = 16, 50 * time.Millisecond, 1200
		window, half       = 200, 100 // in steps
	)
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60}
	clock := &timer.ManualClock{}
	var budgets []*retryBudget
	for range nodes {
		budgets = append(budgets, newRetryBudget(bounds, clock))
	}
	requests, retries := make([]float64, steps+1), make([]float64, steps+1)
	for s := range steps {
		requests[s+1], retries[s+1] = requests[s], retries[s]
		for n, b := range budgets {
			if s%500 > 250 && s%10 != n%10 {
				continue // a tenth of the traffic
			}
			b.countRequest("front")
			b.countRequest("back")
			requests[s+1]++
			if s%500 < 160 || s%500 > 240 {
				if b.tryWithdraw("back", false) {
					retries[s+1]++
				}
				if b.tryWithdraw("front", true) {
					retries[s+1] += callsPerRun
				}
			}
		}
		clock.Advance(step)
	}
	between := func(sums []float64, from, to int) float64 { return sums[max(to, 0)] - sums[max(from, 0)] }
	most := 0.0
	for end := window; end <= steps; end++ {
		requested := max(between(requests, end-window, end), between(requests, end-2*window, end-window), between(requests, end-window-half, end-half))
		sent := between(retries, end-window, end)
		require.LessOrEqual(t, sent, bounds.RetryRatio*requested+bounds.RetrySlack)
		most = max(most, sent/(bounds.RetryRatio*requested+bounds.RetrySlack))
	}
	require.Greater(t, most, 0.7, "most of the budget must be usable")
}

// Retries of runs must leave part of the called services' budget to retries of single
// calls.
func TestRunRetriesLeaveBudgetForCalls(t *testing.T) {
	b := newRetryBudget(Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second}, &timer.ManualClock{})
	for range 1000 {
		b.countRequest("front")
		b.countRequest("back")
	}
	runs, calls := 0, 0
	for b.tryWithdraw("front", true) {
		runs++
	}
	for b.tryWithdraw("back", false) {
		calls++
	}
	require.Positive(t, runs)
	require.Equal(t, 90, callsPerRun*runs)
	require.Equal(t, 90, calls)
}

func TestRetryBudgetOfLoneNode(t *testing.T) {
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 64}
	clock := &timer.ManualClock{}
	b := newRetryBudget(bounds, clock)
	b.countRequest("front")
	spent := 0
	for b.tryWithdraw("front", false) {
		spent++
	}
	require.LessOrEqual(t, float64(spent), bounds.RetrySlack/minSlackNodes)
	clock.Advance(11 * time.Second)
	require.True(t, b.tryWithdraw("front", false), "the window has passed")
}

// All nodes of a large fleet share RetrySlack, even if a service gets so few requests that
// the ratio allows no retry.
func TestRetryBudgetOfLargeFleet(t *testing.T) {
	const nodes = 300
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 640}
	clock := &timer.ManualClock{}
	spent := 0
	for range nodes {
		b := newRetryBudget(bounds, clock)
		b.setNodes(nodes)
		for b.tryWithdraw("front", false) {
			spent++
		}
	}
	require.Positive(t, spent)
	require.LessOrEqual(t, float64(spent), bounds.RetrySlack)
}
