package executor

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/deduplicator"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/limiter"
	"papayapass.dev/papayapass/internal/ranker"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracker"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/announcer"
)

// Durations of announcements and leases.
const (
	// AnnouncementTTL is how long an announcement is valid.
	AnnouncementTTL = 1500 * time.Millisecond
	// leaseMargin is the time before the end of the lease in which no call
	// starts. On a backend server that checks no fencing tokens, calls also end
	// before it.
	leaseMargin = 20 * time.Millisecond
)

// Ownership provides the node's slices, lease and request counters.
type Ownership interface {
	// View returns the newest view.
	View() *keeper.View
	// Now returns the current instant.
	Now() timer.Instant
	// Tracker returns the tracker of requests in flight.
	Tracker() *tracker.Tracker
	// Ranker returns the ranker of hot keys.
	Ranker() *ranker.Ranker
}

// Executor runs requests on the local backend server, for the slices that the
// node owns and up to the concurrency that the limiter allows.
type Executor struct {
	ownership    Ownership
	clock        timer.Clock
	maxWait      time.Duration
	incarnation  string
	deduplicator *deduplicator.Deduplicator
	backend      atomic.Pointer[backend]
	announcedAt  atomic.Int64
	draining     atomic.Bool
	inFlight     atomic.Int64
}

// NewExecutor returns an executor without a backend server. Requests wait at
// most maxWait in the queue.
func NewExecutor(o Ownership, clock timer.Clock, maxWait time.Duration, incarnation uint64) *Executor {
	return &Executor{
		ownership: o, clock: clock, maxWait: maxWait, deduplicator: deduplicator.NewDeduplicator(clock),
		incarnation: strconv.FormatUint(incarnation, 16) + "-",
	}
}

// Announce handles an announcement. A backend server that restarted, or
// announces that it is cold, starts its warm-up.
func (e *Executor) Announce(a announcer.Announcement) {
	e.announcedAt.Store(int64(e.clock.Now()))
	old := e.backend.Load()
	if old != nil && old.announcement.Instance == a.Instance && old.announcement.Address == a.Address {
		if a.Cold && !old.announcement.Cold {
			old.limiter.RestartWarmUp()
		}
		next := *old
		next.announcement = a
		e.backend.Store(&next)
		return
	}
	e.backend.Store(newBackend(a, limiter.NewLimiter(e.clock, a.Slots, a.Cold || old != nil, e.maxWait)))
}

// Server returns the state of the local backend server for the ownership table.
func (e *Executor) Server() assigner.Server {
	b := e.backend.Load()
	if b == nil || e.clock.Now().Sub(timer.Instant(e.announcedAt.Load())) > AnnouncementTTL {
		return assigner.Server{}
	}
	a := b.announcement
	s := assigner.NewServer(a.Pool, uint32(a.Slots), coarseAllowance(b.limiter.Usage().Limit(), a.Slots), a.Divided, a.ChecksTokens)
	if a.Draining || e.draining.Load() {
		s = s.WithState(assigner.ServerDraining)
	}
	return s
}

// allowanceSteps is the number of steps in which a node reports the allowance
// to its cell, so that a warm-up does not change the ownership table all the
// time.
const allowanceSteps = 4

func coarseAllowance(limit, slots int) uint32 {
	steps := (limit*allowanceSteps + slots - 1) / slots
	return uint32(max(1, steps*slots/allowanceSteps))
}

// MarkDraining makes Server report the backend server as draining.
func (e *Executor) MarkDraining() { e.draining.Store(true) }

// InFlight returns the number of requests that are queued or running.
func (e *Executor) InFlight() int { return int(e.inFlight.Load()) }

// Usage returns the state of the limiter and reports whether there is a backend
// server.
func (e *Executor) Usage() (limiter.Usage, bool) {
	b := e.backend.Load()
	if b == nil {
		return limiter.Usage{}, false
	}
	return b.limiter.Usage(), true
}

// Deduplicator returns the record of calls that must not run twice.
func (e *Executor) Deduplicator() *deduplicator.Deduplicator { return e.deduplicator }

// Serve runs a request. The context ends when no caller waits for the answer.
func (e *Executor) Serve(ctx context.Context, req *wirepb.Request) *wirepb.Answer {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if req.GetIdempotent() {
		return e.serve(ctx, req)
	}
	return e.serveOnce(ctx, req, deduplicator.NewCallKey(req.GetOrigin(), req.GetCall()), func() *wirepb.Answer {
		if len(req.GetIdempotencyKey()) == 0 {
			return e.serve(ctx, req)
		}
		key := deduplicator.NewIdempotencyKey(req.GetPool(), req.GetAccount(), req.GetIdempotencyKey())
		return e.serveOnce(ctx, req, key, func() *wirepb.Answer { return e.serve(ctx, req) })
	})
}

// serveOnce runs a call unless one with the same key is running or has run; in
// that case it waits for that call's answer.
func (e *Executor) serveOnce(ctx context.Context, req *wirepb.Request, k deduplicator.Key, run func() *wirepb.Answer) *wirepb.Answer {
	for {
		done, isNew := e.deduplicator.Begin(k)
		if isNew {
			answer := run()
			e.deduplicator.End(k, answer)
			return answer
		}
		select {
		case <-done:
		case <-ctx.Done():
			return unknown(req, wirepb.Reason_REASON_DEADLINE)
		}
		if remembered := e.deduplicator.Result(k); remembered != nil {
			return copyAnswer(req, remembered)
		}
	}
}

// copyAnswer returns a stored answer as the answer to another call.
func copyAnswer(req *wirepb.Request, a *wirepb.Answer) *wirepb.Answer {
	return &wirepb.Answer{
		Call: req.GetCall(), Outcome: a.GetOutcome(), Reason: a.GetReason(), Status: a.GetStatus(),
		Headers: a.GetHeaders(), Body: a.GetBody(),
	}
}

func (e *Executor) serve(ctx context.Context, req *wirepb.Request) *wirepb.Answer {
	b := e.backend.Load()
	if b == nil || b.announcement.Pool != req.GetPool() {
		return notRun(req, wirepb.Reason_REASON_NO_SERVER)
	}
	if !req.GetKeyed() {
		return e.run(ctx, b, req, assigner.Slice{})
	}
	s, last, ok := e.ownedSlice(req)
	if !ok {
		return e.notOwner(req, s)
	}
	keyRange := tracker.NewRange(req.GetPool(), s.Start(), last)
	if !e.ownership.Tracker().Enter(keyRange, req.GetKeyHash(), s.Token()) {
		return e.notOwner(req, s)
	}
	defer e.ownership.Tracker().Leave(keyRange)
	e.ownership.Ranker().Observe(req.GetPool(), req.GetKeyHash())
	return e.run(ctx, b, req, s)
}

// ownedSlice returns the slice of a request's key and the slice's last point,
// and reports whether the node owns it now.
func (e *Executor) ownedSlice(req *wirepb.Request) (assigner.Slice, uint64, bool) {
	v := e.ownership.View()
	s, ok := v.Slice(req.GetPool(), req.GetKeyHash())
	if !ok {
		return s, 0, false
	}
	return s, v.Table().Last(req.GetPool(), s.Start()), s.Owner() == v.Self() && s.Next() == "" && e.ownership.Now().Before(v.LeaseUntil())
}

// notOwner rejects a request and names the slice's owner, or its next owner
// during a move.
func (e *Executor) notOwner(req *wirepb.Request, s assigner.Slice) *wirepb.Answer {
	a := notRun(req, wirepb.Reason_REASON_NOT_OWNER)
	a.OwnerHint = string(s.Owner())
	if s.Next() != "" {
		a.OwnerHint = string(s.Next())
	}
	return a
}

func (e *Executor) run(ctx context.Context, b *backend, req *wirepb.Request, s assigner.Slice) *wirepb.Answer {
	ticket, err := b.limiter.Acquire(ctx, req.GetClass(), string(req.GetAccount())+"/"+string(req.GetCaller()))
	if err != nil {
		return notAdmitted(req, err)
	}
	limit, ok := e.timeLeft(ctx, b, req, s)
	if !ok {
		ticket.Release(limiter.ResultIgnored)
		return e.notOwner(req, s)
	}
	if limit <= 0 {
		ticket.Release(limiter.ResultIgnored)
		return notRun(req, wirepb.Reason_REASON_DEADLINE)
	}
	params := callParams{
		callID: e.incarnation + strconv.FormatUint(req.GetOrigin(), 36) + "-" + strconv.FormatUint(req.GetCall(), 36),
		slice:  s.Start(), token: uint64(s.Token()), timeout: limit,
	}
	stop := context.AfterFunc(ctx, func() { b.cancel(params.callID) })
	answer, result := b.call(req, params)
	stop()
	ticket.Release(result)
	usage := b.limiter.Usage()
	answer.InFlight = uint32(usage.Running() + usage.Waiting())
	answer.Allowance = uint32(usage.Limit())
	return answer
}

// timeLeft returns the time-out of a call and reports whether the node still
// holds the slice; it is the last check before the call. On a backend server
// that checks no fencing tokens, a call must end before the lease does.
func (e *Executor) timeLeft(ctx context.Context, b *backend, req *wirepb.Request, s assigner.Slice) (time.Duration, bool) {
	limit := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline)
	}
	if !req.GetKeyed() {
		return limit, true
	}
	v := e.ownership.View()
	current, ok := v.Slice(req.GetPool(), req.GetKeyHash())
	lease := v.LeaseUntil().Sub(e.ownership.Now())
	if !ok || current.Owner() != v.Self() || current.Token() != s.Token() || lease <= leaseMargin {
		return 0, false
	}
	if !b.announcement.ChecksTokens {
		limit = min(limit, lease-leaseMargin)
	}
	return limit, true
}

func notAdmitted(req *wirepb.Request, err error) *wirepb.Answer {
	if errors.Is(err, limiter.ErrOverloaded) || errors.Is(err, limiter.ErrQueueTimeout) {
		return notRun(req, wirepb.Reason_REASON_OVERLOADED)
	}
	return notRun(req, wirepb.Reason_REASON_DEADLINE)
}
