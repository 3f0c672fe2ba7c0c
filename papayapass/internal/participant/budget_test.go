package participant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// A third of the runs of one service fail because the calls that they make are shed
// by the other. Each repeat of a run makes two calls again, so all nodes together
// must stay under the bound of the service that is called.
func TestBudgetCoversTheCallsOfRepeats(t *testing.T) {
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
		asked, repeats := 0.0, 0.0
		for s := from; s < from+10; s++ {
			asked += requests[s]
			repeats += extra[s]
		}
		require.LessOrEqual(t, repeats, bounds.RetryRatio*asked+bounds.RetrySlack)
		require.Positive(t, repeats, "the budget is there to be used")
	}
}

// Calls are shed for 8 s of each 25 s (grey servers that reject falsely), and the traffic
// falls to a tenth and comes back meanwhile. In any window the repeats stay within the
// ratio of the requests of that window, the one before or the one half before; and most
// of what is allowed is there for the calls.
func TestBudgetHoldsInSlidingWindows(t *testing.T) {
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
	requests, repeats := make([]float64, steps+1), make([]float64, steps+1)
	for s := range steps {
		requests[s+1], repeats[s+1] = requests[s], repeats[s]
		for n, b := range budgets {
			if s%500 > 250 && s%10 != n%10 {
				continue // a tenth of the traffic
			}
			b.countRequest("front")
			b.countRequest("back")
			requests[s+1]++
			if s%500 < 160 || s%500 > 240 {
				if b.tryWithdraw("back", false) {
					repeats[s+1]++
				}
				if b.tryWithdraw("front", true) {
					repeats[s+1] += callsPerRun
				}
			}
		}
		clock.Advance(step)
	}
	between := func(sums []float64, from, to int) float64 { return sums[max(to, 0)] - sums[max(from, 0)] }
	most := 0.0
	for end := window; end <= steps; end++ {
		asked := max(between(requests, end-window, end), between(requests, end-2*window, end-window), between(requests, end-window-half, end-half))
		sent := between(repeats, end-window, end)
		require.LessOrEqual(t, sent, bounds.RetryRatio*asked+bounds.RetrySlack)
		most = max(most, sent/(bounds.RetryRatio*asked+bounds.RetrySlack))
	}
	require.Greater(t, most, 0.7, "the budget is there to be used")
}

// Repeats of runs leave a part of the budget of the services that they call to calls.
func TestRepeatsOfRunsLeaveBudgetForCalls(t *testing.T) {
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

func TestBudgetOfALoneNodeIsAShareOfTheFixedPart(t *testing.T) {
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

// The fixed part is shared by all nodes of a large fleet, also where a service gets
// so few requests that the ratio allows nothing.
func TestBudgetOfALargeFleet(t *testing.T) {
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
