// Package admitter does admission control for a node's local backend server. It limits
// the running requests to the server's slots, limits the rate during a warm-up and to what
// the server accepts, starts more urgent requests first, and rejects requests that cannot
// be served in time. It is pure: callers pass the time.
package admitter

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/estimator"
	"papayapass.dev/papayapass/internal/timer"
)

const (
	// warmUpWindow is the sliding window to which the rate of a warm-up applies.
	warmUpWindow = time.Second
	// warmUpReserve is the fraction of the warm-up rate that is left unused, since
	// requests on their way to the server may bunch up.
	warmUpReserve = 0.0
	// waitShare is the fraction of the time left for waiting that a predicted wait may
	// take, since about half of the requests take longer than the mean.
	waitShare = 0.8
	// minWaitShare is the fraction of its latency objective that a request may wait even
	// when the mean work takes longer than the objective.
	minWaitShare = 0.25
	// shortWorkShare is the fraction of the longest kind of work up to which work counts as
	// short.
	shortWorkShare = 0.3
	// minRetryAfter is the shortest time after which a rejected customer may retry.
	minRetryAfter = 50 * time.Millisecond
)

// Decision is the outcome of Offer.
type Decision int

// Decisions about offered requests.
const (
	// Start means that the request may be sent to the backend server now.
	Start Decision = iota
	// Wait means that the request has been queued.
	Wait
	// Reject means that the request cannot be served in time.
	Reject
	// Busy means that the request would have to wait but may not.
	Busy
)

// Request describes a request to admit.
type Request struct {
	// Kind groups requests of similar duration.
	Kind string
	// CustomerPriority ranks the customer; it precedes Priority, and zero is the most urgent.
	CustomerPriority int
	// Priority ranks the request; zero is the most urgent.
	Priority int
	// Nested is set for a call of a backend server that runs another request.
	Nested bool
	// Objective is the latency within which an answer has its full value.
	Objective time.Duration
	// Deadline is the instant after which an answer is useless.
	Deadline timer.Instant
}

// Ticket is an offered request that runs or waits.
type Ticket struct {
	Request

	arrived timer.Instant
	started timer.Instant
	index   int
	// planned is the duration with which the request was admitted to the queue.
	planned time.Duration
	// isTry is set if only the lost weight of its kind's mean admits the request. One of a kind waits at a
	// time, since the mean counts again when it starts.
	isTry bool
	// admitted receives true when the request may start, and false when it is rejected.
	admitted chan bool
}

// Admitted returns the channel that reports whether a waiting request may start.
func (t *Ticket) Admitted() <-chan bool { return t.admitted }

// Admitter queues the requests for one backend server.
type Admitter struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   queue
	means   map[string]*estimator.Mean
	allWork estimator.Mean
	// warmUpUntil and warmUpRate limit the starts while the backend server warms up.
	warmUpUntil timer.Instant
	warmUpRate  float64
	starts      startLog
	// startsUnknownUntil is until when a warm-up window may hold starts of a former process.
	startsUnknownUntil timer.Instant
	// limit is the rate that the backend server accepts.
	limit rateLimit
	calls callLoad
	turns turns
}

// NewAdmitter returns an admitter of a process that started at an instant. It admits nothing until its
// slots are set.
func NewAdmitter(started timer.Instant) *Admitter {
	return &Admitter{means: make(map[string]*estimator.Mean), startsUnknownUntil: started.Add(warmUpWindow)}
}

// SetSlots sets how many requests the backend server may run at once.
func (a *Admitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = n
}

// SetWarmUp limits the backend server to rate requests per second until an instant.
func (a *Admitter) SetWarmUp(until timer.Instant, rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUpUntil, a.warmUpRate = until, rate
}

// SetRateLimit limits the backend server to rate requests per second.
func (a *Admitter) SetRateLimit(rate float64, now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit.set(rate, now)
}

// RateLimit returns the limit in requests per second, or zero if there is none.
func (a *Admitter) RateLimit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit.rate
}

// ClearRateLimit removes the limit of SetRateLimit and starts the requests that waited for
// it.
func (a *Admitter) ClearRateLimit(now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit.clear()
	a.admit(now)
}

// WarmingUp reports whether the backend server is warming up.
func (a *Admitter) WarmingUp(now timer.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.warmUpUntil
}

// Counts returns the numbers of running and waiting requests.
func (a *Admitter) Counts() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, len(a.queue)
}

// Mean returns the mean duration of requests, or zero when none has ended.
func (a *Admitter) Mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allWork.Value()
}

// Expected returns the expected duration of a request of a kind.
func (a *Admitter) Expected(kind string, now timer.Instant) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cmp.Or(a.expected(kind, now), a.allWork.Value())
}

// expected returns the expected duration of a request of a kind, or zero when none has ended.
func (a *Admitter) expected(kind string, now timer.Instant) time.Duration {
	m, ok := a.means[kind]
	if !ok {
		return 0
	}
	return m.Expected(a.allWork.Value(), now)
}

// planned returns the duration with which a request of a kind is admitted. Unlike expected, it approaches
// zero, as for a kind that has not ended yet: the mean of all work may leave too little time as well.
func (a *Admitter) planned(kind string, now timer.Instant) time.Duration {
	m, ok := a.means[kind]
	if !ok {
		return 0
	}
	return m.Expected(0, now)
}

// Offer asks to admit a request; queue allows it to wait. With Reject and Busy, retry is
// the time after which there will be room.
//
// The queue admits only requests that can still be answered within their latency
// objective. In an overload, a longer queue makes all requests late without raising
// throughput: the backend server is fully used with a short one too.
func (a *Admitter) Offer(r Request, now timer.Instant, queue bool) (t *Ticket, d Decision, retry time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls.observe(r, a.slots)
	a.turns.observe(a.queue, r)
	t = &Ticket{Request: r, arrived: now, admitted: make(chan bool, 1)}
	if len(a.queue) == 0 && a.canStart(now) {
		a.start(t, now)
		return t, Start, 0
	}
	t.planned = a.planned(r.Kind, now)
	wait := a.expectedWait(t, now)
	if !queue && !r.mayQueueAtOnce(wait) {
		return nil, Busy, wait
	}
	excess := max(wait-max(a.maxWait(r, now), a.turnWait(t, wait)), now.Add(wait+t.planned).Sub(r.Deadline))
	if late := now.Add(wait + a.mean(r.Kind)).Sub(r.Deadline); late > 0 {
		if t.isTry = true; a.hasWaitingTry(r.Kind) {
			excess = max(excess, late)
		}
	}
	if excess > 0 {
		return nil, Reject, max(excess, minRetryAfter)
	}
	heap.Push(&a.queue, t)
	return t, Wait, 0
}

// mayQueueAtOnce reports whether a request waits rather than look for a free slot elsewhere.
// A nested call passes customers' requests in the queue, and the search costs it more time.
func (r Request) mayQueueAtOnce(wait time.Duration) bool {
	return r.Nested && float64(wait) <= minWaitShare*float64(r.Objective)
}

// mean returns the mean duration of a kind, or zero when none has ended.
func (a *Admitter) mean(kind string) time.Duration {
	if m, ok := a.means[kind]; ok {
		return m.Value()
	}
	return 0
}

// hasWaitingTry reports whether a try of a kind waits.
func (a *Admitter) hasWaitingTry(kind string) bool {
	return slices.ContainsFunc(a.queue, func(t *Ticket) bool { return t.isTry && t.Kind == kind })
}

// maxWait returns how long a request may wait: to meet its objective, but at least
// minWaitShare of it.
//
// Short work may wait longer. Its wait comes from the long work that fills the slots and
// not from a queue of its own kind, which soon clears. Most of it are nested calls, whose
// rejection wastes the work of the calling request.
func (a *Admitter) maxWait(r Request, now timer.Instant) time.Duration {
	work := a.planned(r.Kind, now)
	wait := max(waitShare*float64(r.Objective-work), minWaitShare*float64(r.Objective))
	longest := time.Duration(0)
	for _, mean := range a.means {
		if mean.Value() > longest {
			longest = max(longest, mean.Expected(a.allWork.Value(), now))
		}
	}
	if work > 0 && float64(work) < shortWorkShare*float64(longest) {
		wait = max(wait, waitShare*float64(r.Deadline.Sub(now)-work))
	}
	return time.Duration(wait)
}

// expectedWait predicts how long a request waits: the slots first run the requests ahead
// of it, and nested calls that come meanwhile; all of them keep to the rates.
func (a *Admitter) expectedWait(t *Ticket, now timer.Instant) time.Duration {
	before, work := a.workUntil(t)
	wait := time.Duration(float64(work) / float64(max(a.slots, 1)) / (1 - a.calls.shareBefore(t.Request)))
	if now < a.warmUpUntil {
		warmUpWait := time.Duration(float64(before) / max(a.warmUpRate, 1) * float64(time.Second))
		wait = max(wait, min(max(warmUpWait, a.startsUnknownUntil.Sub(now)), a.warmUpUntil.Sub(now)))
	}
	return max(wait, a.limit.wait(before, &a.starts, now))
}

func (a *Admitter) canStart(now timer.Instant) bool {
	return a.running < a.slots && a.warmUpAllows(now) && a.limit.wait(1, &a.starts, now) == 0
}

func (a *Admitter) warmUpAllows(now timer.Instant) bool {
	if now >= a.warmUpUntil {
		return true
	}
	return now >= a.startsUnknownUntil && float64(a.starts.within(warmUpWindow, now)) < a.warmUpRate*(1-warmUpReserve)
}

func (a *Admitter) start(t *Ticket, now timer.Instant) {
	a.running++
	a.calls.start(t.Request)
	t.started = now
	kind, ok := a.means[t.Kind]
	if !ok {
		kind = &estimator.Mean{}
		a.means[t.Kind] = kind
	}
	kind.Start(now)
	a.allWork.Start(now)
	a.limit.take(now)
	a.starts.add(now)
}

// Done records the end of a started request; ran is false when its duration does not
// tell how long work takes.
func (a *Admitter) Done(t *Ticket, ran bool, now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.calls.end(t.Request)
	kind := a.means[t.Kind]
	if d := now.Sub(t.started); ran {
		kind.End(d, now)
		a.allWork.End(d, now)
	} else {
		kind.Stop(now)
		a.allWork.Stop(now)
	}
	a.admit(now)
}

// Cancel removes a request from the queue. It returns false when the request has already
// started; the caller must then call Done.
func (a *Admitter) Cancel(t *Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.index < 0 || t.started != 0 {
		return t.started == 0
	}
	heap.Remove(&a.queue, t.index)
	return true
}

// Tick starts waiting requests while slots and the warm-up rate allow it. Requests that can
// no longer meet their deadline are rejected, also while no slot is free.
func (a *Admitter) Tick(now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admit(now)
}

func (a *Admitter) admit(now timer.Instant) {
	a.rejectOverdue(now)
	for len(a.queue) > 0 && a.canStart(now) {
		t := heap.Remove(&a.queue, a.turns.next(a.queue)).(*Ticket)
		a.start(t, now)
		t.admitted <- true
	}
}

// rejectOverdue rejects the waiting requests that would hardly end before their deadline.
func (a *Admitter) rejectOverdue(now timer.Instant) {
	waiting := len(a.queue)
	a.queue = slices.DeleteFunc(a.queue, func(t *Ticket) bool {
		work := t.planned
		if !t.isTry {
			work = a.planned(t.Kind, now)
		}
		overdue := now.Add(work/2) > t.Deadline
		if overdue {
			t.index = -1
			t.admitted <- false
		}
		return overdue
	})
	if len(a.queue) == waiting {
		return
	}
	for i, t := range a.queue {
		t.index = i
	}
	heap.Init(&a.queue)
}
