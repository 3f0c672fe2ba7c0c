package router

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Parameters of hedging.
const (
	// hedgeQuantile is the share of answers that arrive before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeRatio is the share of requests that may be hedged.
	hedgeRatio = 0.05
	// maxHedgeTokens bounds the hedges in a burst after low traffic.
	maxHedgeTokens = 20
	// quantileStep scales how far an answer moves the estimated quantile, as a
	// share of the estimate.
	quantileStep      = 0.05
	initialHedgeDelay = 50 * time.Millisecond
	minHedgeDelay     = time.Millisecond
)

// hedgeDelays estimates the hedgeQuantile latency of each shared pool and holds
// the hedge budget.
type hedgeDelays struct {
	mu     sync.Mutex
	pools  map[string]time.Duration
	tokens float64
}

func newHedgeDelays() *hedgeDelays {
	return &hedgeDelays{pools: make(map[string]time.Duration), tokens: maxHedgeTokens}
}

// observe moves the pool's estimate towards the latency of an answer and adds
// to the hedge budget. Steps up and down cancel out once hedgeQuantile of the
// answers are faster than the estimate.
func (d *hedgeDelays) observe(pool string, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokens = min(maxHedgeTokens, d.tokens+hedgeRatio)
	q, ok := d.pools[pool]
	if !ok {
		q = initialHedgeDelay
	}
	step := float64(q) * quantileStep
	if latency > q {
		q += time.Duration(step * hedgeQuantile)
	} else {
		q -= time.Duration(step * (1 - hedgeQuantile))
	}
	d.pools[pool] = max(minHedgeDelay, q)
}

// delay returns how long to wait for an answer before sending a hedge.
func (d *hedgeDelays) delay(pool string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if q, ok := d.pools[pool]; ok {
		return q
	}
	return initialHedgeDelay
}

// tryWithdraw takes the token of one hedge and reports whether there was one.
func (d *hedgeDelays) tryWithdraw() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// hedgeResult is the answer to one request of a hedged pair.
type hedgeResult struct {
	target assigner.Member
	answer *wirepb.Answer
}

// sendHedged sends an idempotent request of a shared pool to a server and, if
// no answer arrives within the hedge delay, to a second one. The first to be
// answered wins; the other request is cancelled.
func (r *Router) sendHedged(ctx context.Context, view *keeper.View, target assigner.Member, a *attempts) (assigner.Member, *wirepb.Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgeResult, 2)
	r.sendAsync(ctx, view, target, a.req, results)
	timer := time.NewTimer(r.delays.delay(a.req.GetPool()))
	defer timer.Stop()
	select {
	case first := <-results:
		return first.target, first.answer
	case <-timer.C:
	}
	second, ok := r.pickHedgeTarget(view, target, a)
	if !ok {
		first := <-results
		return first.target, first.answer
	}
	r.sendAsync(ctx, view, second, a.req, results)
	first := <-results
	if first.answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED {
		return first.target, first.answer
	}
	last := <-results
	return last.target, last.answer
}

// pickHedgeTarget picks another server for the hedge, within the hedge budget.
func (r *Router) pickHedgeTarget(view *keeper.View, first assigner.Member, a *attempts) (assigner.Member, bool) {
	tried := append([]assigner.NodeID{first.ID()}, a.tried...)
	list := candidates(view, a.req.GetPool())
	if len(list) <= len(tried) || !r.delays.tryWithdraw() {
		return assigner.Member{}, false
	}
	second, ok := r.balancer.Pick(list, tried)
	if ok && second.ID() == first.ID() {
		r.balancer.Failed(second.ID())
		return assigner.Member{}, false
	}
	return second, ok
}

// sendAsync sends a clone of a request, since the losing request of a pair
// outlives the caller's request and its memory.
func (r *Router) sendAsync(ctx context.Context, view *keeper.View, target assigner.Member, req *wirepb.Request, results chan<- hedgeResult) {
	req = proto.CloneOf(req)
	req.Call = r.calls.Add(1)
	go func() {
		started := r.clock.Now()
		answer := r.send(ctx, view, target, req)
		latency := r.clock.Now().Sub(started)
		r.report(target.ID(), answer, latency)
		if answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED {
			r.delays.observe(req.GetPool(), latency)
		}
		results <- hedgeResult{target: target, answer: answer}
	}()
}
