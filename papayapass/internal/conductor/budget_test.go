package conductor

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
	var budgets []*budget
	for range nodes {
		budgets = append(budgets, newBudget(bounds, clock))
	}
	requests, extra := make([]float64, seconds), make([]float64, seconds)
	for s := range seconds {
		for range perSecond {
			for _, b := range budgets {
				b.count("front")
				b.count("back")
				requests[s]++
				if b.spend("front", true) {
					extra[s] += callsOfRun
				}
				if b.spend("back", false) {
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

func TestBudgetOfALoneNodeIsAShareOfTheFixedPart(t *testing.T) {
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 64}
	clock := &timer.ManualClock{}
	b := newBudget(bounds, clock)
	b.count("front")
	spent := 0
	for b.spend("front", false) {
		spent++
	}
	require.LessOrEqual(t, float64(spent), bounds.RetrySlack/slackNodes)
	clock.Advance(11 * time.Second)
	require.True(t, b.spend("front", false), "the window has passed")
}

// The fixed part is shared by all nodes of a large fleet, also where a service gets
// so few requests that the ratio allows nothing.
func TestBudgetOfALargeFleet(t *testing.T) {
	const nodes = 300
	bounds := Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 640}
	clock := &timer.ManualClock{}
	spent := 0
	for range nodes {
		b := newBudget(bounds, clock)
		b.setNodes(nodes)
		for b.spend("front", false) {
			spent++
		}
	}
	require.Positive(t, spent)
	require.LessOrEqual(t, float64(spent), bounds.RetrySlack)
}
