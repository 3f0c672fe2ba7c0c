package admitter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// routeLoad is the load of a route.
type routeLoad struct {
	work, objective, deadline time.Duration
	every                     time.Duration
	priority                  int
	// slow is how long a request took before the load began; zero if none ran.
	slow time.Duration
}

// routeLoads are the loads of a backend server's routes.
type routeLoads map[string]routeLoad

// run plays the loads for a minute, and returns the number of requests that started, by route.
func (l routeLoads) run(slots int) map[string]int {
	a := newTestAdmitter(slots)
	now := timer.Instant(1)
	routes := make([]string, 0, len(l))
	for name, r := range l {
		routes = append(routes, name)
		if r.slow > 0 {
			now = runOne(a, Request{Kind: name, Objective: r.objective, Deadline: far}, now, r.slow)
		}
	}
	slices.Sort(routes)
	var running, waiting []*Ticket
	starts := make(map[string]int)
	start := func(t *Ticket) {
		running = append(running, t)
		starts[t.Kind]++
	}
	for ms := range time.Minute / time.Millisecond {
		now = now.Add(time.Millisecond)
		running = slices.DeleteFunc(running, func(t *Ticket) bool {
			ended := now.Sub(t.started) >= l[t.Kind].work
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
		for _, name := range routes {
			r := l[name]
			if ms%(r.every/time.Millisecond) != 0 {
				continue
			}
			request := Request{Kind: name, Priority: r.priority, Objective: r.objective, Deadline: now.Add(r.deadline)}
			switch ticket, d, _ := a.Offer(request, now, true); d {
			case Start:
				start(ticket)
			case Wait:
				waiting = append(waiting, ticket)
			case Reject, Busy:
			}
		}
	}
	return starts
}

// runOne runs one request alone and returns when it ends.
func runOne(a *Admitter, r Request, now timer.Instant, d time.Duration) timer.Instant {
	ticket, _, _ := a.Offer(r, now, true)
	now = now.Add(d)
	a.Done(ticket, true, now)
	return now
}

// A backend server was slow for a while and is loaded with other work since. The requests of a route
// whose last ones took longer than its deadline were all rejected, so that the mean never changed.
func TestRouteThatWasSlowIsNotLockedOut(t *testing.T) {
	const ms = time.Millisecond
	short := routeLoad{work: 200 * ms, objective: 500 * ms, deadline: 750 * ms, every: 40 * ms}
	long := routeLoad{work: time.Second, objective: 2 * time.Second, deadline: 3 * time.Second, every: time.Second, slow: 8 * time.Second}
	stillSlow := long
	stillSlow.work = long.deadline
	longer := routeLoad{work: time.Second, objective: 1500 * ms, deadline: 6 * time.Second, every: 55 * ms, priority: 1}
	urgent := routeLoad{work: 55 * ms, objective: 200 * ms, deadline: 600 * ms, every: 500 * ms}
	below, above := urgent, urgent
	below.slow, above.slow = 590*ms, 3*time.Second
	for name, c := range map[string]struct {
		loads routeLoads
		slots int
		least map[string]int
	}{
		"long work beside short work":                {loads: routeLoads{"short": short, "long": long}, slots: 4, least: map[string]int{"long": 20}},
		"urgent work beside longer work":             {loads: routeLoads{"longer": longer, "urgent": above}, slots: 18, least: map[string]int{"urgent": 40}},
		"urgent work, slow by less than longer work": {loads: routeLoads{"longer": longer, "urgent": below}, slots: 18, least: map[string]int{"urgent": 40}},
		// Tries take one of the four slots at most.
		"slow until its deadline": {loads: routeLoads{"short": short, "long": stillSlow}, slots: 4, least: map[string]int{"long": 1, "short": 900}},
	} {
		t.Run(name, func(t *testing.T) {
			starts := c.loads.run(c.slots)
			for route, least := range c.least {
				require.GreaterOrEqual(t, starts[route], least, "%s of %v", route, starts)
			}
		})
	}
}

// Requests that waited behind the first try of a route that was slow were refused when it started, since
// the old mean counted again.
func TestRequestsBehindATryAreRejectedAtOnce(t *testing.T) {
	a := newTestAdmitter(1)
	now := runOne(a, Request{Kind: "slow", Objective: time.Second, Deadline: far}, 1, 8*time.Second)
	for range 600 {
		now = runOne(a, Request{Kind: "other", Objective: time.Second, Deadline: far}, now, 100*time.Millisecond)
	}
	running, _, _ := a.Offer(Request{Kind: "other", Objective: time.Second, Deadline: far}, now, true)
	r := Request{Kind: "slow", Objective: time.Second, Deadline: now.Add(2 * time.Second)}
	first, d, _ := a.Offer(r, now, true)
	require.Equal(t, Wait, d)
	for range 3 {
		_, d, retry := a.Offer(r, now, true)
		require.Equal(t, Reject, d)
		require.Positive(t, retry)
	}
	now = now.Add(100 * time.Millisecond)
	a.Done(running, true, now)
	starts, decided := admitted(first)
	require.True(t, starts && decided)
}

// The mean of a route that gets no requests any more made all other work count as short, which may wait
// until its deadline.
func TestDroppedRouteMakesNoOtherWorkShort(t *testing.T) {
	queued := func(dropped bool) int {
		a, now, n := newTestAdmitter(4), timer.Instant(1), 0
		if dropped {
			now = runOne(a, Request{Kind: "dropped", Objective: time.Second, Deadline: far}, now, 8*time.Second)
		}
		for range 3000 {
			now = runOne(a, Request{Kind: "route", Objective: 500 * time.Millisecond, Deadline: far}, now, 200*time.Millisecond)
		}
		for range 200 {
			if _, d, _ := a.Offer(Request{Kind: "route", Objective: 500 * time.Millisecond, Deadline: now.Add(5 * time.Second)}, now, true); d == Wait {
				n++
			}
		}
		return n
	}
	require.Equal(t, queued(false), queued(true))
}
