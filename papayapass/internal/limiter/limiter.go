package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// ErrOverloaded means that a call was rejected because the queue is full.
var ErrOverloaded = errors.New("the queue of the backend server is full")

// ErrQueueTimeout means that a call waited too long in the queue.
var ErrQueueTimeout = errors.New("request timed out in the queue of the backend server")

// queueFactor is the capacity of the queue per slot.
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

// NewLimiter returns the limiter of a backend server. Calls wait at most
// maxWait.
func NewLimiter(clock timer.Clock, slots int, cold bool, maxWait time.Duration) *Limiter {
	return &Limiter{
		clock:     clock,
		maxWait:   maxWait,
		allowance: NewAllowance(slots, cold, clock.Now()),
		queue:     queue{capacity: queueFactor * slots},
	}
}

// Ticket is the slot of a running call.
type Ticket struct {
	limiter        *Limiter
	started        timer.Instant
	runningAtStart int
}

// Acquire waits for a slot. An error means that the call has not started.
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

// startLocked counts a running call. The lock is held.
func (l *Limiter) startLocked() *Ticket {
	l.running++
	l.peak = max(l.peak, l.running)
	return &Ticket{limiter: l, started: l.clock.Now(), runningAtStart: l.running}
}

// admittedTicket returns the ticket of a call that admitWaiters started.
func (l *Limiter) admittedTicket(err error) (*Ticket, error) {
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Ticket{limiter: l, started: l.clock.Now(), runningAtStart: l.running}, nil
}

// cancelWait removes a waiter from the queue. One that was admitted in the
// meantime releases its slot.
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

// Release frees the slot and records the result of the call.
func (t *Ticket) Release(r Result) {
	l := t.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.running--
	l.allowance.Observe(r, now.Sub(t.started), t.runningAtStart, now)
	l.admitWaiters()
}

// admitWaiters starts waiters while there are free slots. The lock is held.
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

// RestartWarmUp resets the allowance to that of a cold backend server.
func (l *Limiter) RestartWarmUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance.RestartWarmUp(l.clock.Now())
}

// Usage returns the current state.
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

// Running returns the number of running calls.
func (u Usage) Running() int { return u.running }

// Waiting returns the number of queued calls.
func (u Usage) Waiting() int { return u.waiting }

// Limit returns how many calls may run at once.
func (u Usage) Limit() int { return u.limit }

// Peak returns the largest number of calls that ran at once.
func (u Usage) Peak() int { return u.peak }

// Warm reports whether the warm-up is complete.
func (u Usage) Warm() bool { return u.warm }
