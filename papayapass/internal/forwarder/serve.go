package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/admitter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
)

// Serve runs a call at the backend server.
func (a *Forwarder) Serve(ctx context.Context, c *dispatcher.Call) dispatcher.Result {
	if r, ok := a.mayServe(c); !ok {
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: r}
	}
	if c.Divided && !a.awaitHold(ctx, c) {
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonNotHeld}
	}
	r := admitter.Request{Kind: c.Route, Priority: c.Priority, Objective: c.Objective, Deadline: c.Deadline}
	ticket, verdict, retry := a.admitter.Offer(r, a.clock.Now(), !c.NoQueue)
	switch verdict {
	case admitter.Start:
	case admitter.Busy:
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonBusy, Retry: retry}
	case admitter.Reject:
		a.countRefused(c)
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonFull, Retry: retry}
	case admitter.Wait:
		_, span, _ := a.tracer.Start(ctx, "queue", c.Trace, trace.SpanKindInternal)
		r, ok := a.await(ctx, c, ticket)
		span.End()
		if !ok {
			return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: r}
		}
	}
	res, ran := a.exchange(ctx, c)
	now := a.clock.Now()
	a.admitter.Done(ticket, ran, now)
	return res
}

// mayServe says whether the backend server may get new work now.
func (a *Forwarder) mayServe(c *dispatcher.Call) (dispatcher.Reason, bool) {
	s := a.Server()
	switch {
	case c.Service != a.service || !s.Up():
		return dispatcher.ReasonNoServer, false
	case a.stopped(c.Divided):
		return dispatcher.ReasonStopping, false
	case a.around.ZoneOut(c.Divided):
		return dispatcher.ReasonZoneOut, false
	case c.Divided && !a.granter.Owns(c.Service, c.Key):
		return dispatcher.ReasonNotOwner, false
	default:
		return dispatcher.ReasonNone, true
	}
}

// awaitHold waits for a key that this node owns to be held by the backend server.
func (a *Forwarder) awaitHold(ctx context.Context, c *dispatcher.Call) bool {
	until := a.clock.Now().Add(holdWait)
	for {
		now := a.clock.Now()
		if _, _, ok := a.granter.Holds(c.Service, c.Key, now); ok {
			return true
		}
		if until < now || !a.granter.Owns(c.Service, c.Key) {
			return false
		}
		t := time.NewTimer(holdCheck)
		select {
		case <-ctx.Done():
			t.Stop()
			return false
		case <-t.C:
		}
	}
}

// await waits for admission and looks again whether the call may run.
func (a *Forwarder) await(ctx context.Context, c *dispatcher.Call, t *admitter.Ticket) (dispatcher.Reason, bool) {
	admitted := false
	select {
	case admitted = <-t.Admitted():
	case <-ctx.Done():
		if a.admitter.Cancel(t) {
			return dispatcher.ReasonCanceled, false
		}
		a.admitter.Done(t, false, a.clock.Now())
		return dispatcher.ReasonCanceled, false
	}
	if !admitted {
		return dispatcher.ReasonDeadline, false
	}
	r, ok := a.mayServe(c)
	if ok && c.Divided {
		if _, _, held := a.granter.Holds(c.Service, c.Key, a.clock.Now()); !held {
			r, ok = dispatcher.ReasonNotHeld, false
		}
	}
	if !ok {
		a.admitter.Done(t, false, a.clock.Now())
	}
	return r, ok
}

// exchange sends a call to the backend server. The second result says whether the
// call's duration tells how long work takes.
func (a *Forwarder) exchange(ctx context.Context, c *dispatcher.Call) (dispatcher.Result, bool) {
	sent := a.clock.Now()
	left := c.Deadline.Sub(sent)
	if left <= 0 {
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonDeadline}, false
	}
	if !c.Idempotent {
		// What may not run twice is not broken off when its customer leaves.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), left+time.Second)
		defer cancel()
	}
	ctx, span, parent := a.tracer.Start(ctx, "backend server", c.Trace, trace.SpanKindClient)
	defer span.End()
	h := c.Header.Clone()
	if a.tracer.Enabled() {
		h.Set("Traceparent", parent)
	}
	a.dialect.SetRequestHeaders(h, a.Server().ID, c.Caller, left)
	fresh := freshOnce
	if c.Idempotent {
		fresh = freshIdempotent
	}
	answer, err := a.exchanger.Do(ctx, exchanger.Request{
		Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, MaxIdle: fresh,
	})
	took := a.clock.Now().Sub(sent)
	a.count(c, took)
	// Work that ran out of time takes at least as long; without it, a server that has
	// become slow would look as fast as its few successes.
	outOfTime := float64(took) >= outOfTimeShare*float64(left)
	switch {
	case errors.Is(err, exchanger.ErrNotSent):
		a.refused()
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonUnreachable}, false
	case err != nil:
		a.logger.Info().Str("request", c.ID).Err(err).Dur("elapsed", a.clock.Now().Sub(sent)).Msg("backend server gave no whole answer")
		return dispatcher.Result{Outcome: dispatcher.Unknown, Reason: dispatcher.ReasonBroken, Sent: true}, outOfTime
	default:
		res, ran := a.judge(c, answer)
		return res, ran || outOfTime
	}
}

// judge says what an answer means.
func (a *Forwarder) judge(c *dispatcher.Call, answer *exchanger.Response) (dispatcher.Result, bool) {
	a.mu.Lock()
	a.refusals = 0
	a.mu.Unlock()
	switch {
	case a.dialect.NotRun(answer.Status, answer.Header):
		a.logger.Info().Str("request", c.ID).Int("status", answer.Status).Uint16("key", c.Key).
			Msg("backend server did not run the request")
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonShed, Sent: true}, false
	case answer.Status < http.StatusMultipleChoices && (!a.dialect.Signed(answer.Header) || answer.Header.Get("Content-Encoding") != ""):
		a.logger.Info().Str("request", c.ID).Int("status", answer.Status).Msg("answer is not the backend server's")
		return dispatcher.Result{Outcome: dispatcher.Unknown, Reason: dispatcher.ReasonBroken, Sent: true}, false
	default:
		return dispatcher.Result{Outcome: dispatcher.Answered, Response: answer, Sent: true}, answer.Status < http.StatusMultipleChoices
	}
}

// countRefused adds the work that a refused request would have brought. A full backend
// server runs as much as it can whether a little more or thrice as much is asked of it;
// keys move away by what is asked. A cold one says nothing of that.
func (a *Forwarder) countRefused(c *dispatcher.Call) {
	if !a.admitter.Cold(a.clock.Now()) {
		a.count(c, a.admitter.Expected(c.Route))
	}
}

// count adds the work of a key to what the coordinator is told.
func (a *Forwarder) count(c *dispatcher.Call, d time.Duration) {
	if !c.Divided {
		return
	}
	a.mu.Lock()
	a.work[c.Key] += float32(d.Seconds())
	a.mu.Unlock()
}
