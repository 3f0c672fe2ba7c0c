package admitter

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

const far = timer.Instant(time.Hour)

func newTestAdmitter(slots int) *Admitter {
	a := NewAdmitter(-timer.Instant(warmUpWindow))
	a.SetSlots(slots)
	return a
}

// offer offers a request that may wait.
func offer(a *Admitter, priority int, deadline, now timer.Instant) (*Ticket, Decision) {
	t, d, _ := a.Offer(Request{Kind: "route", Priority: priority, Objective: time.Minute, Deadline: deadline}, now, true)
	return t, d
}

func admitted(t *Ticket) (start, decided bool) {
	select {
	case start = <-t.Admitted():
		return start, true
	default:
		return false, false
	}
}

func TestSlotsLimitRunningRequests(t *testing.T) {
	a := newTestAdmitter(2)
	first, d := offer(a, 0, far, 1)
	require.Equal(t, Start, d)
	_, d = offer(a, 0, far, 1)
	require.Equal(t, Start, d)
	waiting, d := offer(a, 0, far, 1)
	require.Equal(t, Wait, d)
	a.Done(first, true, 2)
	start, decided := admitted(waiting)
	require.True(t, decided && start)
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	late, _ := offer(a, 2, far, 2)
	urgent, _ := offer(a, 1, far, 3)
	a.Done(running, true, 4)
	_, decided := admitted(late)
	require.False(t, decided)
	start, decided := admitted(urgent)
	require.True(t, decided && start)
}

// A server that is warming up accepts its rate in any second, not only in seconds
// aligned to the clock. After a restart of a zone, all of its requests arrive at once.
func TestWarmUpRateHoldsInEachWindow(t *testing.T) {
	const rate = 18.0
	a := newTestAdmitter(100)
	a.SetWarmUp(timer.Instant(3*time.Second), rate)
	var starts []timer.Instant
	for now := timer.Instant(1); now < timer.Instant(3*time.Second); now = now.Add(5 * time.Millisecond) {
		ticket, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: now.Add(time.Millisecond)}, now, false)
		if d == Start {
			starts = append(starts, now)
			a.Done(ticket, false, now)
		}
	}
	for i, from := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(from) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate)
	}
	require.Greater(t, float64(len(starts)), 2*rate, "the rate is used")
	_, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, timer.Instant(3*time.Second), false)
	require.Equal(t, Start, d, "the warm-up is over")
}

func TestWarmUpWithoutRateAdmitsNothing(t *testing.T) {
	a := newTestAdmitter(10)
	a.SetWarmUp(timer.Instant(time.Second), 0)
	_, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, 1, false)
	require.Equal(t, Busy, d)
}

// Requests that cannot be served in time are rejected at once, with the time until there
// is room.
func TestRequestsThatCannotMeetDeadlineAreRejectedAtOnce(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	a.Done(running, true, timer.Instant(100*time.Millisecond)) // work takes 100 ms
	now := timer.Instant(200 * time.Millisecond)
	_, d := offer(a, 0, far, now)
	require.Equal(t, Start, d)
	_, d = offer(a, 0, now.Add(250*time.Millisecond), now)
	require.Equal(t, Wait, d)
	_, d, retry := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: now.Add(250 * time.Millisecond)}, now, true)
	require.Equal(t, Reject, d, "200 ms of others' work and 100 ms of its own")
	require.Positive(t, retry)
}

func TestExpiredWaitingRequestsAreRejected(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	expired, _ := offer(a, 0, timer.Instant(time.Second), 1)
	good, _ := offer(a, 0, far, 2)
	a.Done(running, true, timer.Instant(2*time.Second))
	start, decided := admitted(expired)
	require.True(t, decided)
	require.False(t, start)
	start, decided = admitted(good)
	require.True(t, decided && start)
}

// A request that waits longer than its deadline allows is rejected then, and not only once
// a slot is free: its customer would learn too late to come back.
func TestOverdueRequestsDoNotWaitForASlot(t *testing.T) {
	a := newTestAdmitter(1)
	offer(a, 0, far, 1)
	var waiting []*Ticket
	for _, seconds := range []int64{5, 1, 9, 2, 7} {
		w, _ := offer(a, 0, timer.Instant(seconds*int64(time.Second)), timer.Instant(seconds))
		waiting = append(waiting, w)
	}
	a.Tick(timer.Instant(3 * time.Second))
	for i, overdue := range []bool{false, true, false, true, false} {
		start, decided := admitted(waiting[i])
		require.False(t, start)
		require.Equal(t, overdue, decided)
	}
	require.True(t, a.Cancel(waiting[0]), "the others keep their places")
	_, n := a.Counts()
	require.Equal(t, 2, n)
}

// Nested calls of 30 ms, allowed 400 ms, at a server full of other work of 300 ms
// (rolling restarts on the grown Ishikari site, where half of the lookups failed because a
// call of theirs was rejected). The share of rejected calls must be less than half of what it
// is when calls wait only as long as their objective allows, and the other work must fill
// the rest of the slots.
func TestShortCallsWaitBehindLongWork(t *testing.T) {
	const (
		slots, callsPerSecond, othersPerSecond = 13, 120.0, 40.0
		callWork, otherWork                    = 30 * time.Millisecond, 300 * time.Millisecond
	)
	rejected := func(deadline time.Duration) (share float64, others int) {
		a := newTestAdmitter(slots)
		type job struct {
			*Ticket
			isCall bool
			until  timer.Instant
		}
		var running, waiting []*job
		calls, done, due, dueOthers := 0, 0, 0.0, 0.0
		for now := timer.Instant(1); now < timer.Instant(20*time.Second); now = now.Add(time.Millisecond) {
			start := func(j *job) {
				j.until = now.Add(otherWork)
				if j.isCall {
					j.until = now.Add(callWork)
				}
				running = append(running, j)
			}
			add := func(r Request, isCall bool) {
				j := &job{isCall: isCall}
				var d Decision
				switch j.Ticket, d, _ = a.Offer(r, now, true); d {
				case Start:
					start(j)
				case Wait:
					waiting = append(waiting, j)
				case Reject, Busy:
				}
			}
			running = slices.DeleteFunc(running, func(j *job) bool {
				if now < j.until {
					return false
				}
				a.Done(j.Ticket, true, now)
				if j.isCall {
					done++
				} else {
					others++
				}
				return true
			})
			a.Tick(now)
			waiting = slices.DeleteFunc(waiting, func(j *job) bool {
				ok, decided := admitted(j.Ticket)
				if ok {
					start(j)
				}
				return decided
			})
			// Calls come in groups, as the calling requests do.
			if due += callsPerSecond / 1000; due >= 6 {
				for ; due >= 1; due-- {
					calls++
					add(Request{Kind: "call", Objective: 120 * time.Millisecond, Deadline: now.Add(deadline)}, true)
				}
			}
			for dueOthers += othersPerSecond / 1000; dueOthers >= 1; dueOthers-- {
				add(Request{Kind: "other", Priority: 2, Objective: 800 * time.Millisecond, Deadline: now.Add(2 * time.Second)}, false)
			}
		}
		return 1 - float64(done)/float64(calls), others
	}
	share, others := rejected(400 * time.Millisecond)
	naive, _ := rejected(120 * time.Millisecond)
	require.Less(t, share, naive/2)
	capacity := slots*20 - callsPerSecond*20*callWork.Seconds() // slot-seconds left for others
	require.Greater(t, float64(others)*otherWork.Seconds(), 0.9*capacity)
}

func TestCancelRemovesFromQueue(t *testing.T) {
	a := newTestAdmitter(1)
	running, _ := offer(a, 0, far, 1)
	cancelled, _ := offer(a, 0, far, 1)
	require.True(t, a.Cancel(cancelled))
	next, _ := offer(a, 0, far, 1)
	a.Done(running, true, 2)
	start, decided := admitted(next)
	require.True(t, decided && start)
	require.False(t, a.Cancel(next), "it has started, so the caller must call Done")
	n, waiting := a.Counts()
	require.Equal(t, 1, n)
	require.Zero(t, waiting)
}

func TestRequestsThatMayNotQueueAreBusy(t *testing.T) {
	a := newTestAdmitter(1)
	_, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, 1, false)
	require.Equal(t, Start, d)
	_, d, _ = a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, 1, false)
	require.Equal(t, Busy, d)
	_, waiting := a.Counts()
	require.Zero(t, waiting)
}

// simulateSteadyLoad offers requests at a steady rate for one backend server with a fixed
// work time. It counts all requests, those answered within the objective and, as served,
// those answered within the deadline.
func simulateSteadyLoad(a *Admitter, slots int, work, objective, deadline time.Duration, perSecond float64, span time.Duration) (offered, inTime, served int) {
	const step = time.Millisecond
	type running struct {
		t     *Ticket
		until timer.Instant
	}
	var run []running
	waiting := make(map[*Ticket]bool)
	a.SetSlots(slots)
	due := 0.0
	finish := func(t *Ticket, now timer.Instant) {
		latency := now.Sub(t.arrived)
		if latency <= objective {
			inTime++
		}
		if latency <= deadline {
			served++
		}
	}
	for now := timer.Instant(1); now < timer.Instant(span); now = now.Add(step) {
		left := run[:0]
		for _, r := range run {
			if r.until <= now {
				finish(r.t, now)
				a.Done(r.t, true, now)
				continue
			}
			left = append(left, r)
		}
		run = left
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			offered++
			t, d, _ := a.Offer(Request{Kind: "route", Objective: objective, Deadline: now.Add(deadline)}, now, true)
			switch d {
			case Start:
				run = append(run, running{t, now.Add(work)})
			case Wait:
				waiting[t] = true
			case Reject, Busy:
			}
		}
		for t := range waiting {
			start, decided := admitted(t)
			if decided {
				delete(waiting, t)
			}
			if start {
				run = append(run, running{t, now.Add(work)})
			}
		}
	}
	return offered, inTime, served
}

// A load of 1.5 times the capacity for 20 s (scale-2 of the small sites). Requests up to
// the capacity must be answered in time. A queue up to the deadline answers hardly any
// in time and serves no more.
func TestOverloadIsAnsweredInTime(t *testing.T) {
	const slots, work, objective, deadline = 18, 220 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond
	capacity := slots / work.Seconds()
	offered, inTime, served := simulateSteadyLoad(NewAdmitter(-timer.Instant(warmUpWindow)), slots, work, objective, deadline, 1.5*capacity, 20*time.Second)
	require.InDelta(t, 1.5*capacity*20, float64(offered), 2)
	require.Greater(t, float64(inTime), 0.9*capacity*20)

	_, longInTime, longServed := simulateSteadyLoad(NewAdmitter(-timer.Instant(warmUpWindow)), slots, work, deadline, deadline, 1.5*capacity, 20*time.Second)
	require.LessOrEqual(t, float64(longServed), 1.02*float64(served))
	require.LessOrEqual(t, longInTime, longServed)
}

// A node started a whole second's worth of requests at a cold backend server and was killed; its next
// process started as many again in the same second (FAILBACK).
func TestWarmUpRateHoldsAcrossARestart(t *testing.T) {
	const rate = 15.0
	const killed, restarted = timer.Instant(900 * time.Millisecond), timer.Instant(950 * time.Millisecond)
	var starts []timer.Instant
	run := func(a *Admitter, from, to timer.Instant) {
		a.SetSlots(100)
		a.SetWarmUp(timer.Instant(4*time.Second), rate)
		for now := from; now < to; now = now.Add(5 * time.Millisecond) {
			ticket, d, _ := a.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: now.Add(time.Millisecond)}, now, false)
			if d == Start {
				starts = append(starts, now)
				a.Done(ticket, false, now)
			}
		}
	}
	run(NewAdmitter(-timer.Instant(warmUpWindow)), killed-timer.Instant(200*time.Millisecond), killed)
	run(NewAdmitter(restarted), restarted, timer.Instant(4*time.Second))
	for i, from := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(from) < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), rate)
	}
	require.Greater(t, float64(len(starts)), 2*rate, "the rate is used")
	later := NewAdmitter(restarted)
	later.SetSlots(1)
	_, d, _ := later.Offer(Request{Kind: "route", Objective: time.Minute, Deadline: far}, restarted, false)
	require.Equal(t, Start, d, "a warm backend server is used at once")
}
