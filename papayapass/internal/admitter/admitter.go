// Package admitter decides when a request may go to the backend server beside a
// node: within its slots, no faster than it bears while it is cold, more urgent
// work first, and not at all when the request cannot be served in time. It is
// pure: callers pass the time.
package admitter

import (
	"container/heap"
	"sync"
	"time"

	"papayapass.dev/papayapass/internal/timer"
)

const (
	// smoothing is the weight of a new duration in the mean.
	smoothing = 0.1
	// warmUpWindow is the span in which a cold backend server bears its rate.
	warmUpWindow = time.Second
	// warmUpReserve is the part of a cold backend server's rate that is not used, as
	// requests on their way may bunch up.
	warmUpReserve = 0.0
	// waitShare is the part of the time left for waiting that a prediction may
	// use up: work takes longer than the mean for half of the requests.
	waitShare = 0.8
	// minWaitShare is the part of its latency objective that a request may wait even
	// where work takes longer than the objective.
	minWaitShare = 0.25
	// minRetryAfter is the shortest time after which a refused customer may come back.
	minRetryAfter = 50 * time.Millisecond
)

// Decision is what becomes of an offered request.
type Decision int

// Verdicts.
const (
	// Start means that the request may go to the backend server now.
	Start Decision = iota
	// Wait means that the request has been queued.
	Wait
	// Reject means that the request cannot be served in time.
	Reject
	// Busy means that the request would have to wait, and does not want to.
	Busy
)

// Request is what the admitter must know of a request.
type Request struct {
	// Kind tells requests apart that take different times.
	Kind string
	// Priority is the rank; zero is the most urgent.
	Priority int
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Deadline is when an answer is of no use any more.
	Deadline timer.Instant
}

// Ticket is a request at the admitter.
type Ticket struct {
	Request

	arrived timer.Instant
	started timer.Instant
	index   int
	// admitted gets true when the request may start, and false when it may not.
	admitted chan bool
}

// Admitted returns the channel that tells a waiting request whether it may start.
func (t *Ticket) Admitted() <-chan bool { return t.admitted }

// Admitter queues the requests for one backend server.
type Admitter struct {
	mu      sync.Mutex
	slots   int
	running int
	queue   queue
	means   map[string]time.Duration
	mean    time.Duration
	// warmUpUntil and coldRate bound the starts while the backend server is cold.
	warmUpUntil timer.Instant
	warmUpRate  float64
	starts      []timer.Instant
}

// NewAdmitter returns an admitter that admits nothing until its slots are set.
func NewAdmitter() *Admitter {
	return &Admitter{means: make(map[string]time.Duration)}
}

// SetSlots sets how many requests the backend server runs at once.
func (a *Admitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = n
}

// SetCold says that the backend server bears rate requests a second until an instant.
func (a *Admitter) SetCold(until timer.Instant, rate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUpUntil, a.warmUpRate = until, rate
}

// Cold says whether the backend server is cold.
func (a *Admitter) Cold(now timer.Instant) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now < a.warmUpUntil
}

// Counts returns the requests that run and that wait.
func (a *Admitter) Counts() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, len(a.queue)
}

// Mean returns the mean duration of requests, zero when none has ended.
func (a *Admitter) Mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mean
}

// Expected returns how long a request of a kind is expected to run.
func (a *Admitter) Expected(kind string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mean := a.means[kind]; mean > 0 {
		return mean
	}
	return a.mean
}

// Offer asks for a request to be admitted; queue says whether it may wait. After
// Refuse and Busy, retry is the time after which there will be room.
//
// The queue holds what can still be answered within its latency objective. In an
// overload all requests of a longer queue are late, and no more of them are served:
// the backend server works as much as with a short one.
func (a *Admitter) Offer(r Request, now timer.Instant, queue bool) (t *Ticket, v Decision, retry time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t = &Ticket{Request: r, arrived: now, admitted: make(chan bool, 1)}
	if len(a.queue) == 0 && a.canStart(now) {
		a.start(t, now)
		return t, Start, 0
	}
	wait := a.expectedWait(t, now)
	if !queue {
		return nil, Busy, wait
	}
	if excess := max(wait-a.maxWait(r), now.Add(wait+a.means[r.Kind]).Sub(r.Deadline)); excess > 0 {
		return nil, Reject, max(excess, minRetryAfter)
	}
	heap.Push(&a.queue, t)
	return t, Wait, 0
}

// maxWait returns how long a request may wait to be answered within its objective.
func (a *Admitter) maxWait(r Request) time.Duration {
	left := waitShare * float64(r.Objective-a.means[r.Kind])
	return time.Duration(max(left, minWaitShare*float64(r.Objective)))
}

// expectedWait predicts how long a request waits: for the requests before it,
// which the slots work off at the mean duration.
func (a *Admitter) expectedWait(t *Ticket, now timer.Instant) time.Duration {
	before := 1
	for _, q := range a.queue {
		if q.before(t) {
			before++
		}
	}
	wait := time.Duration(float64(a.mean) * float64(before) / float64(max(a.slots, 1)))
	if now < a.warmUpUntil {
		cold := time.Duration(float64(before) / max(a.warmUpRate, 1) * float64(time.Second))
		wait = max(wait, min(cold, a.warmUpUntil.Sub(now)))
	}
	return wait
}

func (a *Admitter) canStart(now timer.Instant) bool {
	return a.running < a.slots && a.warmUpAllows(now)
}

func (a *Admitter) warmUpAllows(now timer.Instant) bool {
	if now >= a.warmUpUntil {
		return true
	}
	n := 0
	for n < len(a.starts) && now.Sub(a.starts[n]) >= warmUpWindow {
		n++
	}
	a.starts = a.starts[n:]
	return float64(len(a.starts)) < a.warmUpRate*(1-warmUpReserve)
}

func (a *Admitter) start(t *Ticket, now timer.Instant) {
	a.running++
	t.started = now
	a.starts = append(a.starts, now)
	const kept = 256 // more than a cold backend server bears in the window
	if len(a.starts) > kept {
		a.starts = a.starts[len(a.starts)-kept:]
	}
}

// Done tells that a started request has ended, and whether its duration says how
// long work takes.
func (a *Admitter) Done(t *Ticket, ran bool, now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if ran {
		d := now.Sub(t.started)
		a.means[t.Kind] = smooth(a.means[t.Kind], d)
		a.mean = smooth(a.mean, d)
	}
	a.admit(now)
}

func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return d
	}
	return mean + time.Duration(smoothing*float64(d-mean))
}

// Cancel takes a request out of the queue. It returns false when the request has
// been started meanwhile; then Done is due.
func (a *Admitter) Cancel(t *Ticket) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.index < 0 || t.started != 0 {
		return t.started == 0
	}
	heap.Remove(&a.queue, t.index)
	return true
}

// Tick starts what may start by now and refuses what has waited past use.
func (a *Admitter) Tick(now timer.Instant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admit(now)
}

func (a *Admitter) admit(now timer.Instant) {
	for len(a.queue) > 0 && a.canStart(now) {
		t := heap.Pop(&a.queue).(*Ticket)
		if now.Add(a.means[t.Kind]/2) > t.Deadline {
			t.admitted <- false
			continue
		}
		a.start(t, now)
		t.admitted <- true
	}
}

// queue orders requests by priority and arrival.
type queue []*Ticket

func (t *Ticket) before(o *Ticket) bool {
	if t.Priority != o.Priority {
		return t.Priority < o.Priority
	}
	return t.arrived <= o.arrived
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a request, for package heap.
func (q *queue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last request, for package heap.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
