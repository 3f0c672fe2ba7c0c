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
	// hedgeQuantile is the part of answers that come before a second request is
	// sent.
	hedgeQuantile = 0.95
	// hedgeShare is the part of requests that may be sent a second time.
	hedgeShare = 0.05
	// hedgeBurst bounds how many may be sent at once after a quiet time.
	hedgeBurst = 20
	// quantileStep is how far the learnt quantile moves with an answer, as a part
	// of itself.
	quantileStep  = 0.05
	startQuantile = 50 * time.Millisecond
	minHedgeDelay = time.Millisecond
)

// delayTable learns, for each shared pool, the latency that most answers keep.
type delayTable struct {
	mu     sync.Mutex
	pools  map[string]time.Duration
	budget float64
}

func newDelayTable() *delayTable {
	return &delayTable{pools: make(map[string]time.Duration), budget: hedgeBurst}
}

// learn moves the quantile of a pool towards the latency of an answer, and earns
// budget. Steps up and down balance where the wanted part of answers is below.
func (t *delayTable) learn(pool string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget = min(hedgeBurst, t.budget+hedgeShare)
	q, ok := t.pools[pool]
	if !ok {
		q = startQuantile
	}
	step := float64(q) * quantileStep
	if latency > q {
		q += time.Duration(step * hedgeQuantile)
	} else {
		q -= time.Duration(step * (1 - hedgeQuantile))
	}
	t.pools[pool] = max(minHedgeDelay, q)
}

// delay returns how long to wait for an answer before a second request.
func (t *delayTable) delay(pool string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q, ok := t.pools[pool]; ok {
		return q
	}
	return startQuantile
}

// spend takes a second request from the budget.
func (t *delayTable) spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.budget < 1 {
		return false
	}
	t.budget--
	return true
}

// reply is the end of one of the requests of a hedged pair.
type reply struct {
	target assigner.Member
	answer *wirepb.Answer
}

// sendHedged sends idempotent work of a shared pool to a server, and, when the
// answer is later than most, to a second one as well. The first answer counts and
// the other request is cancelled.
func (r *Router) sendHedged(ctx context.Context, view *keeper.View, target assigner.Member, a *attempt) (assigner.Member, *wirepb.Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, 2)
	r.launch(ctx, view, target, a.req, replies)
	timer := time.NewTimer(r.delays.delay(a.req.GetPool()))
	defer timer.Stop()
	select {
	case first := <-replies:
		return first.target, first.answer
	case <-timer.C:
	}
	second, ok := r.second(view, target, a)
	if !ok {
		first := <-replies
		return first.target, first.answer
	}
	r.launch(ctx, view, second, a.req, replies)
	first := <-replies
	if first.answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED {
		return first.target, first.answer
	}
	last := <-replies
	return last.target, last.answer
}

// second picks another server for the second request, within the budget.
func (r *Router) second(view *keeper.View, first assigner.Member, a *attempt) (assigner.Member, bool) {
	tried := append([]assigner.NodeID{first.ID()}, a.tried...)
	list := candidates(view, a.req.GetPool())
	if len(list) <= len(tried) || !r.delays.spend() {
		return assigner.Member{}, false
	}
	second, ok := r.balancer.Pick(list, tried)
	if ok && second.ID() == first.ID() {
		r.balancer.Failed(second.ID())
		return assigner.Member{}, false
	}
	return second, ok
}

// launch sends a copy of a request: the loser of a pair outlives the caller's
// request and its memory.
func (r *Router) launch(ctx context.Context, view *keeper.View, target assigner.Member, req *wirepb.Request, replies chan<- reply) {
	req = proto.CloneOf(req)
	req.Call = r.calls.Add(1)
	go func() {
		begun := r.clock.Now()
		answer := r.send(ctx, view, target, req)
		latency := r.clock.Now().Sub(begun)
		r.report(target.ID(), answer, latency)
		if answer.GetOutcome() == wirepb.Outcome_OUTCOME_ANSWERED {
			r.delays.learn(req.GetPool(), latency)
		}
		replies <- reply{target: target, answer: answer}
	}()
}
