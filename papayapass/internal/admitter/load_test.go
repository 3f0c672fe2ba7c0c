package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayapass.dev/papayapass/internal/timer"
)

// load is a pattern of customers and of one backend server with 18 slots.
type load struct {
	perSecond float64
	// work returns how long a request takes that starts at a time.
	work func(time.Duration) time.Duration
	// returns is how often a refused customer comes back, and whether it does so at
	// once instead of when it is told.
	maxRetries  int
	retryAtOnce bool
	// abandons is the share of customers that give up after half their objective.
	abandonShare float64
	// shed is the share of requests that the backend server rejects at once.
	shed float64
	// cold is the time at which the backend server becomes cold, for three seconds.
	coldAt time.Duration
	// patient customers are queued up to their deadline: the naive choice.
	queueToDeadline bool
}

// result counts what became of customers.
type result struct {
	customers, inTime, late, refusals, wasted int
	// longest is the longest time that a refused customer was kept.
	longest time.Duration
	// starts are the times of requests that were sent while cold.
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
	first    timer.Instant // when the customer came first
	arrived  timer.Instant
	retries  int
	abandons bool
	until    timer.Instant
	shed     bool
	ticket   *Ticket
}

// gone says whether the customer has given up by now.
func (v *visit) abandoned(now timer.Instant) bool {
	return v.abandons && now.Sub(v.first) > loadObjective/2
}

// player plays a load against an admitter on a clock of its own.
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

// end ends requests whose work is done, and those whose customers have left.
func (p *player) end(now timer.Instant) {
	left := p.running[:0]
	for _, v := range p.running {
		if v.abandoned(now) {
			p.admitter.Done(v.ticket, false, now) // its work is broken off
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
			p.refuse(v, 0, now)
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
		t, verdict, retry := p.admitter.Offer(Request{Kind: "status", Objective: objective, Deadline: now.Add(loadDeadline)}, now, true)
		v.ticket = t
		switch verdict {
		case Start:
			p.start(v, now)
		case Wait:
			p.waiting = append(p.waiting, v)
		case Reject, Busy:
			if back := p.refuse(v, retry, now); back != nil {
				later = append(later, back)
			}
		}
	}
	p.arriving = later
}

// refuse returns the next visit of a refused customer, if it comes back.
func (p *player) refuse(v *visit, retry time.Duration, now timer.Instant) *visit {
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
	// capacity is what the slots work off of usual work in the span.
	capacity = int(loadSlots * loadSpan / usualWork)
)

// perSecondOf returns the rate that asks for a multiple of the capacity.
func perSecondOf(times float64) float64 { return times * loadSlots / usualWork.Seconds() }

// Twice the usual traffic for 20 s (burst): what the slots work off is answered in time
// but for the first moments; who is refused, is so at once. Queueing up to the deadline
// answers nearly nobody in time.
func TestABurstIsAnsweredInTime(t *testing.T) {
	l := load{perSecond: perSecondOf(2), work: steady(usualWork)}
	r := play(l)
	require.Greater(t, r.inTime, capacity*9/10)
	require.Zero(t, r.longest, "refused at once")
	l.queueToDeadline = true
	require.Less(t, play(l).inTime, capacity/4)
}

// A third of the customers come back at once and three times (retry_abuse): as many are
// served in time as without them.
func TestCustomersWhoRepeatAtOnceTakeNothingAway(t *testing.T) {
	l := load{perSecond: perSecondOf(1.4), work: steady(usualWork)}
	once := play(l)
	l.maxRetries, l.retryAtOnce = 3, true
	abused := play(l)
	require.Greater(t, abused.refusals, 2*once.refusals)
	require.GreaterOrEqual(t, abused.inTime+abused.late, (once.inTime+once.late)*98/100)
	require.GreaterOrEqual(t, abused.inTime, once.inTime*9/10)
}

// A third of the customers leave after half their objective, wherever they are (give_up):
// their places are free at once, and the others are served as if they had not come.
func TestCustomersWhoGiveUpFreeTheirPlaces(t *testing.T) {
	l := load{perSecond: perSecondOf(1.4), work: steady(usualWork), abandonShare: 0.3}
	r := play(l)
	staying := 0.7 * float64(min(capacity, r.customers))
	require.Greater(t, float64(r.inTime), 0.9*staying)
	l.queueToDeadline = true
	require.Less(t, play(l).inTime, r.inTime)
}

// For 9 s work takes three times as long (srv_slow): less is run for nobody than with a
// queue up to the deadline, and the usual pace is back with the usual work.
func TestASlowServerIsNotQueuedAt(t *testing.T) {
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

// The backend server rejects half of all requests at once for the whole span
// (srv_grey shed): what it rejects does not look like fast work, so that no more is
// queued than the rest is worth.
func TestRejectionsAreNotFastWork(t *testing.T) {
	l := load{perSecond: perSecondOf(3), work: steady(usualWork), shed: 0.5}
	r := play(l)
	require.Greater(t, r.inTime, capacity*9/10)
	require.Less(t, r.late, capacity/10)
}

// The backend server comes back cold under full traffic (cold_return): it gets its rate
// in each second, customers are refused at once, and full service is back after it.
func TestAColdReturnUnderLoad(t *testing.T) {
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
	require.Greater(t, float64(r.inTime), 0.9*0.9*17/20*float64(capacity), "of the 17 s that it is warm")
}
