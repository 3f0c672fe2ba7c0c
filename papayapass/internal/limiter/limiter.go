package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// ErrOverloaded means that a call was refused because too many wait.
var ErrOverloaded = errors.New("too many requests wait for the backend server")

// ErrQueueTimeout means that a call waited as long as it may.
var ErrQueueTimeout = errors.New("request waited too long for the backend server")

// queueFactor is the length of the queue for each slot.
const queueFactor = 8

// Limiter admits calls to one backend server.
type Limiter struct {
	clock     timer.Clock
	maxWait   time.Duration
	mu        sync.Mutex
	allowance *Allowance
	queue     queue
	running   int
	peak      int
}

// NewLimiter returns the limiter of a backend server. No call waits longer than
// maxWait.
func NewLimiter(clock timer.Clock, slots int, cold bool, maxWait time.Duration) *Limiter {
	return &Limiter{
		clock:     clock,
		maxWait:   maxWait,
		allowance: NewAllowance(slots, cold, clock.Now()),
		queue:     queue{capacity: queueFactor * slots},
	}
}

// Ticket is a call's place at the backend server.
type Ticket struct {
	limiter        *Limiter
	started        timer.Instant
	runningAtStart int
}

// Acquire waits for a place. An error means that the call has not started.
func (l *Limiter) Acquire(ctx context.Context, class wirepb.Class, caller string) (*Ticket, error) {
	w, ticket, err := l.startOrEnqueue(class, caller)
	if err != nil || ticket != nil {
		return ticket, err
	}
	wait := time.NewTimer(l.maxWait)
	defer wait.Stop()
	select {
	case err := <-w.admitted:
		return l.admittedTicket(err)
	case <-ctx.Done():
		return l.cancelWait(w, ctx.Err())
	case <-wait.C:
		return l.cancelWait(w, ErrQueueTimeout)
	}
}

func (l *Limiter) startOrEnqueue(class wirepb.Class, caller string) (*waiter, *Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.allowance.Limit() && l.queue.length() == 0 {
		return nil, l.startLocked(), nil
	}
	w := &waiter{class: class, caller: caller, admitted: make(chan error, 1)}
	dropped := l.queue.push(w)
	if dropped == w {
		return nil, nil, ErrOverloaded
	}
	if dropped != nil {
		dropped.admitted <- ErrOverloaded
	}
	return w, nil, nil
}

// startLocked counts a call in. The lock is held.
func (l *Limiter) startLocked() *Ticket {
	l.running++
	l.peak = max(l.peak, l.running)
	return &Ticket{limiter: l, started: l.clock.Now(), runningAtStart: l.running}
}

// admittedTicket returns the place that admit counted in.
func (l *Limiter) admittedTicket(err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Ticket{limiter: l, started: l.clock.Now(), runningAtStart: l.running}, nil
}

// cancelWait takes a waiter out; one that was admitted at this moment gives its
// place back.
func (l *Limiter) cancelWait(w *waiter, reason error) (*Ticket, error) {
	l.mu.Lock()
	removed := l.queue.remove(w)
	l.mu.Unlock()
	if removed {
		return nil, reason
	}
	ticket, err := l.admittedTicket(<-w.admitted)
	if err != nil {
		return nil, err
	}
	ticket.Release(ResultIgnored)
	return nil, reason
}

// Release gives the place back with what the call told of the backend server.
func (t *Ticket) Release(r Result) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.running--
	l.allowance.Observe(r, now.Sub(t.started), t.runningAtStart, now)
	l.admitWaiters()
}

// admitWaiters starts waiters while there is room. The lock is held.
func (l *Limiter) admitWaiters() {
	for l.running < l.allowance.Limit() {
		w := l.queue.pop()
		if w == nil {
			return
		}
		l.running++
		l.peak = max(l.peak, l.running)
		w.admitted <- nil
	}
}

// RestartWarmUp starts the ramp anew: the backend server turned cold.
func (l *Limiter) RestartWarmUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance.RestartWarmUp(l.clock.Now())
}

// Usage returns the calls in progress, those that wait, and the allowance.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{
		running: l.running, waiting: l.queue.length(), limit: l.allowance.Limit(),
		peak: l.peak, warm: l.allowance.Warm(),
	}
}

// Usage is the state of a limiter.
type Usage struct {
	running, waiting, limit, peak int
	warm                          bool
}

// Running returns the number of calls in progress.
func (u Usage) Running() int { return u.running }

// Waiting returns the number of calls that wait.
func (u Usage) Waiting() int { return u.waiting }

// Limit returns how many calls may be in progress.
func (u Usage) Limit() int { return u.limit }

// Peak returns the most calls that were in progress.
func (u Usage) Peak() int { return u.peak }

// Warm says whether the backend server gets its full share.
func (u Usage) Warm() bool { return u.warm }
