package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// load is a pattern of customer requests to one backend server with 18 slots.
type load struct {
	perSecond float64
	// work returns the duration of a request that starts at a time.
	work func(time.Duration) time.Duration
	// maxRetries is how often a rejected customer retries, and retryAtOnce whether it
	// does so at once rather than at the time it was given.
	maxRetries  int
	retryAtOnce bool
	// abandonShare is the fraction of customers that give up after half their objective.
	abandonShare float64
	// shed is the fraction of requests that the backend server rejects at once.
	shed float64
	// coldAt is when the backend server starts a warm-up of three seconds.
	coldAt time.Duration
	// queueToDeadline queues customers up to their deadline, the naive policy.
	queueToDeadline bool
}

// result counts the outcomes of customers.
type result struct {
	customers, inTime, late, refusals, wasted int
	// longest is the longest time that a rejected customer waited.
	longest time.Duration
	// warmUpStarts are the times of requests sent during the warm-up.
	warmUpStarts []time.Duration
}

const (
	loadSlots      = 18
	loadObjective  = 600 * time.Millisecond
	loadDeadline   = 1200 * time.Millisecond
	loadSpan       = 20 * time.Second
	warmUpDuration = 3 * time.Second
	warmUpRate     = 15.0
)

type visit struct {
	first    timer.Instant // first arrival of the customer
	arrived  timer.Instant
	retries  int
	abandons bool
	until    timer.Instant
	shed     bool
	ticket   *Ticket
}

// abandoned reports whether the customer has given up by now.
func (v *visit) abandoned(now timer.Instant) bool {
	return v.abandons && now.Sub(v.first) > loadObjective/2
}

// player simulates a load against an admitter with its own clock.
type player struct {
	load
	result

	admitter *Admitter
	random   *rand.Rand
	arriving []*visit
	running  []*visit
	waiting  []*visit
}

func play(l load) result {
	p := &player{load: l, admitter: newTestAdmitter(loadSlots), random: rand.New(rand.NewPCG(7, 11))}
	due := 0.0
	const step = time.Millisecond
	for now := timer.Instant(1); now < timer.Instant(loadSpan); now = now.Add(step) {
		if l.coldAt > 0 && now == timer.Instant(l.coldAt)+1 {
			p.admitter.SetCold(now.Add(warmUpDuration), warmUpRate)
		}
		for due += l.perSecond * step.Seconds(); due >= 1; due-- {
			p.customers++
			p.arriving = append(p.arriving, &visit{first: now, arrived: now, abandons: p.random.Float64() < l.abandonShare})
		}
		p.end(now)
		p.admitter.Tick(now)
		p.admit(now)
		p.arrive(now)
	}
	return p.result
}

// end ends requests whose work is done, and those that customers have abandoned.
func (p *player) end(now timer.Instant) {
	left := p.running[:0]
	for _, v := range p.running {
		if v.abandoned(now) {
			p.admitter.Done(v.ticket, false, now) // its work is cancelled
			continue
		}
		if v.until > now {
			left = append(left, v)
			continue
		}
		p.admitter.Done(v.ticket, !v.shed, now)
		switch latency := now.Sub(v.first); {
		case v.shed:
		case now.Sub(v.arrived) > loadDeadline:
			p.wasted++
		case latency <= loadObjective:
			p.inTime++
		default:
			p.late++
		}
	}
	p.running = left
}

func (p *player) admit(now timer.Instant) {
	left := p.waiting[:0]
	for _, v := range p.waiting {
		start, decided := admitted(v.ticket)
		switch {
		case start:
			p.start(v, now)
		case decided:
			p.reject(v, 0, now)
		case v.abandoned(now):
			if !p.admitter.Cancel(v.ticket) {
				p.admitter.Done(v.ticket, false, now)
			}
		default:
			left = append(left, v)
		}
	}
	p.waiting = left
}

func (p *player) start(v *visit, now timer.Instant) {
	if now < timer.Instant(p.coldAt+warmUpDuration) && now > timer.Instant(p.coldAt) && p.coldAt > 0 {
		p.warmUpStarts = append(p.warmUpStarts, time.Duration(now))
	}
	v.shed = p.random.Float64() < p.shed
	v.until = now.Add(time.Millisecond)
	if !v.shed {
		v.until = now.Add(p.work(time.Duration(now)))
	}
	p.running = append(p.running, v)
}

func (p *player) arrive(now timer.Instant) {
	var later []*visit
	for _, v := range p.arriving {
		if v.arrived > now {
			later = append(later, v)
			continue
		}
		v.arrived = now
		objective := loadObjective
		if p.queueToDeadline {
			objective = time.Hour
		}
		t, decision, retry := p.admitter.Offer(Request{Kind: "status", Objective: objective, Deadline: now.Add(loadDeadline)}, now, true)
		v.ticket = t
		switch decision {
		case Start:
			p.start(v, now)
		case Wait:
			p.waiting = append(p.waiting, v)
		case Reject, Busy:
			if back := p.reject(v, retry, now); back != nil {
				later = append(later, back)
			}
		}
	}
	p.arriving = later
}

// reject returns the next visit of a rejected customer, or nil if it does not retry.
func (p *player) reject(v *visit, retry time.Duration, now timer.Instant) *visit {
	p.refusals++
	p.longest = max(p.longest, now.Sub(v.arrived))
	if v.retries >= p.maxRetries {
		return nil
	}
	if p.retryAtOnce {
		retry = time.Millisecond
	}
	return &visit{first: v.first, arrived: now.Add(min(retry, loadDeadline/3)), retries: v.retries + 1, abandons: v.abandons}
}

func steady(d time.Duration) func(time.Duration) time.Duration {
	return func(time.Duration) time.Duration { return d }
}

const (
	usualWork = 300 * time.Millisecond
	// capacity is the number of usual requests that the slots can run in loadSpan.
	capacity = int(loadSlots * loadSpan / usualWork)
)

// perSecondOf returns the rate that is a multiple of the capacity.
func perSecondOf(times float64) float64 { return times * loadSlots / usualWork.Seconds() }

// Twice the capacity for 20 s (burst). Requests up to the capacity must be answered in
// time except at the start, and the others rejected at once. A queue up to the deadline
// answers hardly any in time.
func TestBurstIsAnsweredInTime(t *testing.T) {
	l := load{perSecond: perSecondOf(2), work: steady(usualWork)}
	r := play(l)
	require.Greater(t, r.inTime, capacity*9/10)
	require.Zero(t, r.longest, "rejected at once")
	l.queueToDeadline = true
	require.Less(t, play(l).inTime, capacity/4)
}

// A third of the customers retry at once, three times (retry_abuse). As many requests
// must be served in time as without the retries.
func TestImmediateRetriesDoNotReduceThroughput(t *testing.T) {
	l := load{perSecond: perSecondOf(1.4), work: steady(usualWork)}
	once := play(l)
	l.maxRetries, l.retryAtOnce = 3, true
	abused := play(l)
	require.Greater(t, abused.refusals, 2*once.refusals)
	require.GreaterOrEqual(t, abused.inTime+abused.late, (once.inTime+once.late)*98/100)
	require.GreaterOrEqual(t, abused.inTime, once.inTime*9/10)
}

// A third of the customers give up after half their objective, running or waiting
// (give_up). Their slots must be free at once, and the others served as if these had not
// come.
func TestAbandonedRequestsFreeTheirSlots(t *testing.T) {
	l := load{perSecond: perSecondOf(1.4), work: steady(usualWork), abandonShare: 0.3}
	r := play(l)
	staying := 0.7 * float64(min(capacity, r.customers))
	require.Greater(t, float64(r.inTime), 0.9*staying)
	l.queueToDeadline = true
	require.Less(t, play(l).inTime, r.inTime)
}

// For 9 s, work takes three times as long (srv_slow). Less work must be wasted than with
// a queue up to the deadline, and throughput must recover once work takes its usual
// time.
func TestSlowServerGetsNoLongQueue(t *testing.T) {
	slow := func(now time.Duration) time.Duration {
		if now > 4*time.Second && now < 13*time.Second {
			return 3 * usualWork
		}
		return usualWork
	}
	l := load{perSecond: perSecondOf(0.9), work: slow}
	r := play(l)
	l.queueToDeadline = true
	naive := play(l)
	require.Less(t, r.wasted, naive.wasted, "work that ends after its deadline")
	require.Greater(t, r.inTime, naive.inTime)
	require.Greater(t, float64(r.inTime), 0.9*9/20*float64(capacity), "of the 11 s with the usual work")
}

// The backend server rejects half of all requests at once for the whole time (srv_grey
// shed). Rejections must not count as fast work, or more would be queued than the server
// can run.
func TestRejectionsDoNotCountAsFastWork(t *testing.T) {
	l := load{perSecond: perSecondOf(3), work: steady(usualWork), shed: 0.5}
	r := play(l)
	require.Greater(t, r.inTime, capacity*9/10)
	require.Less(t, r.late, capacity/10)
}

// The backend server restarts cold under full traffic (cold_return). It must get its
// warm-up rate in each second, customers must be rejected at once, and full service must
// follow.
func TestColdRestartUnderLoad(t *testing.T) {
	r := play(load{perSecond: perSecondOf(0.9), work: steady(usualWork), coldAt: 8 * time.Second})
	for i, from := range r.warmUpStarts {
		n := 0
		for _, s := range r.warmUpStarts[i:] {
			if s-from < time.Second {
				n++
			}
		}
		require.LessOrEqual(t, float64(n), warmUpRate)
	}
	require.GreaterOrEqual(t, float64(len(r.warmUpStarts)), 0.9*warmUpRate*warmUpDuration.Seconds(), "the rate is used")
	require.Greater(t, float64(r.inTime), 0.9*0.9*17/20*float64(capacity), "of the 17 s without the warm-up")
}
