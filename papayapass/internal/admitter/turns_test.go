package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// replayClasses replays a steady overload and returns the share of each customer priority's requests that
// were answered before their deadline.
func replayClasses(slots int, work time.Duration, perSecond []float64) []float64 {
	type job struct {
		t     *Ticket
		until timer.Instant
	}
	a, random := newTestAdmitter(slots), rand.New(rand.NewPCG(11, 13))
	asked, served := make([]float64, len(perSecond)), make([]float64, len(perSecond))
	var running, waiting, next []job
	for now := timer.Instant(1); now < timer.Instant(60*time.Second); now = now.Add(time.Millisecond) {
		for _, j := range running {
			if now < j.until {
				next = append(next, j)
				continue
			}
			a.Done(j.t, true, now)
			if now <= j.t.Deadline {
				served[j.t.CustomerPriority]++
			}
		}
		running, next = next, nil
		a.Tick(now)
		for _, j := range waiting {
			if ok, decided := admitted(j.t); ok {
				running = append(running, job{j.t, now.Add(work)})
			} else if !decided {
				next = append(next, j)
			}
		}
		waiting, next = next, nil
		for class, rate := range perSecond {
			if random.Float64() >= rate/1000 {
				continue
			}
			asked[class]++
			r := Request{Kind: "route", CustomerPriority: class, Objective: 300 * time.Millisecond, Deadline: now.Add(1200 * time.Millisecond)}
			switch t, d, _ := a.Offer(r, now, true); d {
			case Start:
				running = append(running, job{t, now.Add(work)})
			case Wait:
				waiting = append(waiting, job{t: t})
			case Reject, Busy:
			}
		}
	}
	for i := range served {
		served[i] /= asked[i]
	}
	return served
}

// In a steady overload, urgent customers come first, and the others get at least a quarter of the share
// that all would get alike.
func TestUrgentCustomersLeaveTurns(t *testing.T) {
	for name, tt := range map[string]struct {
		slots     int
		work      time.Duration
		perSecond []float64
	}{
		"urgent ones alone fill the server": {4, 40 * time.Millisecond, []float64{200, 100}},
		"at ten times its rate":             {4, 40 * time.Millisecond, []float64{900, 100}},
		"few urgent ones":                   {4, 40 * time.Millisecond, []float64{110, 600}},
		"three priorities":                  {4, 40 * time.Millisecond, []float64{200, 100, 100}},
		"slow work":                         {5, 140 * time.Millisecond, []float64{80, 30}},
		"one slot":                          {1, 60 * time.Millisecond, []float64{40, 10}},
	} {
		t.Run(name, func(t *testing.T) {
			all := 0.0
			for _, rate := range tt.perSecond {
				all += rate
			}
			fair := float64(tt.slots) / tt.work.Seconds() / all
			served := replayClasses(tt.slots, tt.work, tt.perSecond)
			t.Logf("served %.3f, alike %.3f", served, fair)
			for _, share := range served[1:] {
				require.Greater(t, share, fair/4)
				require.Greater(t, served[0], share)
			}
		})
	}
}
