// Package router sends each request to the node with the responsible backend
// server, and retries or hedges it where that is safe.
package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/balancer"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Limits of attempts.
const (
	// maxRetryPause is the longest wait for a new view before a retry.
	maxRetryPause = 25 * time.Millisecond
	// maxServersTried is how many servers of a shared pool a request tries
	// before it pauses or is rejected.
	maxServersTried = 3
	// dialTimeout bounds the opening of a link for a request.
	dialTimeout = 500 * time.Millisecond
)

// ViewSource provides the newest view.
type ViewSource interface {
	// View returns the newest view.
	View() *keeper.View
}

// LocalExecutor runs requests on the local backend server.
type LocalExecutor interface {
	// Serve runs a request.
	Serve(ctx context.Context, req *wirepb.Request) *wirepb.Answer
}

// LinkProvider provides links to peers.
type LinkProvider interface {
	// Link returns an open link to an address.
	Link(ctx context.Context, address string) (*messenger.Link, error)
}

// Router routes callers' requests.
type Router struct {
	views    ViewSource
	local    LocalExecutor
	links    LinkProvider
	balancer *balancer.Balancer
	clock    timer.Clock
	budget   *RetryBudget
	delays   *hedgeDelays
	calls    atomic.Uint64
}

// NewRouter returns a router.
func NewRouter(v ViewSource, local LocalExecutor, links LinkProvider, b *balancer.Balancer, clock timer.Clock) *Router {
	return &Router{views: v, local: local, links: links, balancer: b, clock: clock, budget: NewRetryBudget(), delays: newHedgeDelays()}
}

// decision is the next step after an attempt.
type decision int

const (
	decisionReturn decision = iota
	// decisionRetryLater retries after a change of the view or a pause.
	decisionRetryLater
	// decisionRetryNow retries immediately.
	decisionRetryNow
)

// attempts is the state of a request across its attempts.
type attempts struct {
	req        *wirepb.Request
	ownerHint  assigner.NodeID
	tried      []assigner.NodeID
	overloads  int
	maybeRan   bool
	lastAnswer *wirepb.Answer
}

// finalAnswer returns the answer to a request after its last attempt. If an
// earlier attempt may have run, a rejection of the last one leaves the outcome
// unknown.
func (a *attempts) finalAnswer() *wirepb.Answer {
	if a.maybeRan && a.lastAnswer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN {
		a.lastAnswer.Outcome = wirepb.Outcome_OUTCOME_UNKNOWN
	}
	return a.lastAnswer
}

// Route sends a request until its outcome is final or the context ends.
func (r *Router) Route(ctx context.Context, req *wirepb.Request) *wirepb.Answer {
	r.budget.Deposit()
	a := &attempts{req: req, lastAnswer: notRun(req, wirepb.Reason_REASON_NO_SERVER)}
	for {
		view := r.views.View()
		next := r.try(ctx, view, a)
		if next == decisionReturn || ctx.Err() != nil {
			return a.finalAnswer()
		}
		if next == decisionRetryLater && !waitForChange(ctx, view) {
			return a.finalAnswer()
		}
		updateTimeLeft(ctx, req)
	}
}

// waitForChange waits for a change of the view, at most maxRetryPause. It
// reports whether the context is still active.
func waitForChange(ctx context.Context, view *keeper.View) bool {
	t := time.NewTimer(maxRetryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-view.Changed():
	case <-t.C:
	}
	return true
}

// updateTimeLeft sets the request's remaining time from the context's deadline.
func updateTimeLeft(ctx context.Context, req *wirepb.Request) {
	if deadline, ok := ctx.Deadline(); ok {
		req.TimeLeftMicros = uint32(max(1, time.Until(deadline).Microseconds()))
	}
}

func (r *Router) try(ctx context.Context, view *keeper.View, a *attempts) decision {
	a.req.Call = r.calls.Add(1)
	target, ok := r.target(view, a)
	if !ok {
		a.lastAnswer = notRun(a.req, wirepb.Reason_REASON_NO_SERVER)
		return decisionRetryLater
	}
	switch {
	case a.req.GetKeyed():
		a.lastAnswer = r.send(ctx, view, target, a.req)
	case a.req.GetIdempotent():
		target, a.lastAnswer = r.sendHedged(ctx, view, target, a)
	default:
		started := r.clock.Now()
		a.lastAnswer = r.send(ctx, view, target, a.req)
		r.report(target.ID(), a.lastAnswer, r.clock.Now().Sub(started))
	}
	return r.decide(target, a)
}

func (r *Router) report(id assigner.NodeID, answer *wirepb.Answer, latency time.Duration) {
	switch {
	case answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED:
		r.balancer.Done(id, latency, answer.GetInFlight())
	case answer.GetReason() == wirepb.Reason_REASON_DEADLINE:
		r.balancer.Cancelled(id, latency)
	default:
		r.balancer.Failed(id)
	}
}

// decide returns the next step after an attempt. A request that is not
// idempotent is retried only if the last attempt certainly ran no part of it.
func (r *Router) decide(target assigner.Member, a *attempts) decision {
	a.ownerHint = ""
	switch a.lastAnswer.GetOutcome() {
	case wirepb.Outcome_OUTCOME_ANSWERED:
		return decisionReturn
	case wirepb.Outcome_OUTCOME_NOT_RUN:
		return r.decideAfterRejection(target, a)
	default:
		a.maybeRan = true
		if a.req.GetIdempotent() && a.lastAnswer.GetReason() == wirepb.Reason_REASON_LOST_CONNECTION && r.budget.TryWithdraw() {
			return decisionRetryLater
		}
		return decisionReturn
	}
}

func (r *Router) decideAfterRejection(target assigner.Member, a *attempts) decision {
	switch a.lastAnswer.GetReason() {
	case wirepb.Reason_REASON_NOT_OWNER:
		hint := assigner.NodeID(a.lastAnswer.GetOwnerHint())
		if hint != "" && hint != target.ID() && len(a.tried) == 0 {
			a.ownerHint = hint
			a.tried = append(a.tried, target.ID())
			return decisionRetryNow
		}
		a.tried = nil
		return decisionRetryLater
	case wirepb.Reason_REASON_OVERLOADED:
		a.overloads++
		a.tried = append(a.tried, target.ID())
		if a.req.GetKeyed() || a.overloads >= maxServersTried {
			return decisionReturn
		}
		return decisionRetryNow
	case wirepb.Reason_REASON_DRAINING, wirepb.Reason_REASON_NO_SERVER, wirepb.Reason_REASON_LOST_CONNECTION:
		if !a.req.GetKeyed() && len(a.tried) < maxServersTried {
			a.tried = append(a.tried, target.ID())
			return decisionRetryNow
		}
		a.tried = nil
		return decisionRetryLater
	default:
		return decisionReturn
	}
}

// target returns the node to send a request to.
func (r *Router) target(view *keeper.View, a *attempts) (assigner.Member, bool) {
	t := view.Table()
	if t == nil {
		return assigner.Member{}, false
	}
	if !a.req.GetKeyed() {
		return r.balancer.Pick(candidates(view, a.req.GetPool()), a.tried)
	}
	if a.ownerHint != "" {
		return t.Member(a.ownerHint)
	}
	s, ok := view.Slice(a.req.GetPool(), a.req.GetKeyHash())
	if !ok || s.Owner() == "" {
		return assigner.Member{}, false
	}
	return t.Member(s.Owner())
}

// candidates returns the members that may serve a shared pool.
func candidates(view *keeper.View, pool string) []assigner.Member {
	members := view.Table().Members()
	out := make([]assigner.Member, 0, len(members))
	for _, m := range members {
		if m.Server().Pool() == pool && view.Eligible(m) {
			out = append(out, m)
		}
	}
	return out
}

func (r *Router) send(ctx context.Context, view *keeper.View, target assigner.Member, req *wirepb.Request) *wirepb.Answer {
	if target.ID() == view.Self() {
		return r.local.Serve(ctx, req)
	}
	link, err := r.link(ctx, target.Address())
	if err != nil {
		return notRun(req, wirepb.Reason_REASON_LOST_CONNECTION)
	}
	answer, err := link.Call(ctx, req)
	switch {
	case err == nil:
		return answer
	case errors.Is(err, messenger.ErrLinkClosed):
		return notRun(req, wirepb.Reason_REASON_LOST_CONNECTION)
	case errors.Is(err, messenger.ErrSendQueueFull):
		return notRun(req, wirepb.Reason_REASON_OVERLOADED)
	case errors.Is(err, messenger.ErrLinkLost):
		return r.resolve(ctx, target, req)
	default:
		return &wirepb.Answer{Call: req.GetCall(), Reason: wirepb.Reason_REASON_DEADLINE}
	}
}

// resolve asks the peer, over a new link, for the outcome of a call whose link
// was lost. An idempotent request is retried instead.
func (r *Router) resolve(ctx context.Context, target assigner.Member, req *wirepb.Request) *wirepb.Answer {
	lost := &wirepb.Answer{Call: req.GetCall(), Reason: wirepb.Reason_REASON_LOST_CONNECTION}
	if req.GetIdempotent() {
		return lost
	}
	link, err := r.link(ctx, target.Address())
	if err != nil {
		return lost
	}
	answer, err := link.Resolve(ctx, req)
	if err != nil {
		return lost
	}
	return answer
}

func (r *Router) link(ctx context.Context, address string) (*messenger.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return r.links.Link(ctx, address)
}

func notRun(req *wirepb.Request, reason wirepb.Reason) *wirepb.Answer {
	return &wirepb.Answer{Call: req.GetCall(), Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: reason}
}
