package admitter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// A backend server was slow for a while and is loaded with short work since. The requests of a route
// whose last ones took longer than its deadline were all rejected, so that the mean never changed.
func TestRouteThatWasSlowIsNotLockedOut(t *testing.T) {
	for name, c := range map[string]struct {
		work               time.Duration
		minLong, minShorts int
	}{
		"it is fast again": {work: time.Second, minLong: 20},
		// Tries take one of the four slots at most.
		"it stays slow until the deadline": {work: 3 * time.Second, minLong: 1, minShorts: 900},
	} {
		t.Run(name, func(t *testing.T) {
			runs := runsAfterSlowWork(c.work)
			require.GreaterOrEqual(t, runs["long"], c.minLong, "of 60 requests")
			require.GreaterOrEqual(t, runs["short"], c.minShorts, "of 1500 requests")
		})
	}
}

// runsAfterSlowWork returns the number of requests that start in a minute in which long ones take the
// given time.
func runsAfterSlowWork(long time.Duration) map[string]int {
	works := map[string]time.Duration{"long": long, "short": 200 * time.Millisecond}
	objectives := map[string]time.Duration{"long": 2 * time.Second, "short": 500 * time.Millisecond}
	a := newTestAdmitter(4)
	now := timer.Instant(1)
	slow, _, _ := a.Offer(Request{Kind: "long", Objective: 2 * time.Second, Deadline: far}, now, true)
	now = now.Add(8 * time.Second)
	a.Done(slow, true, now)

	var running, waiting []*Ticket
	runs := make(map[string]int)
	start := func(t *Ticket) {
		running = append(running, t)
		runs[t.Kind]++
	}
	arrive := func(kind string) {
		ticket, d, _ := a.Offer(Request{Kind: kind, Objective: objectives[kind], Deadline: now.Add(3 * objectives[kind] / 2)}, now, true)
		switch d {
		case Start:
			start(ticket)
		case Wait:
			waiting = append(waiting, ticket)
		case Reject, Busy:
		}
	}
	for ms := range int(time.Minute / time.Millisecond) {
		now = now.Add(time.Millisecond)
		running = slices.DeleteFunc(running, func(t *Ticket) bool {
			ended := now.Sub(t.started) >= works[t.Kind]
			if ended {
				a.Done(t, true, now)
			}
			return ended
		})
		a.Tick(now)
		waiting = slices.DeleteFunc(waiting, func(t *Ticket) bool {
			admits, decided := admitted(t)
			if admits {
				start(t)
			}
			return decided
		})
		if ms%40 == 0 {
			arrive("short")
		}
		if ms%1000 == 0 {
			arrive("long")
		}
	}
	return runs
}
