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
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/timer"
)

// Serve runs a call at the backend server.
func (f *Forwarder) Serve(ctx context.Context, c *dispatcher.Call) dispatcher.Result {
	f.recallNotice(c.Notice)
	res := f.serve(ctx, c)
	res.Notice = f.currentNotice()
	if c.WantsLoad {
		running, waiting := f.admitter.Counts()
		res.Load = &dispatcher.Load{Running: running, Waiting: waiting, MeanDuration: f.admitter.Mean()}
	}
	return res
}

func (f *Forwarder) serve(ctx context.Context, c *dispatcher.Call) dispatcher.Result {
	if r, ok := f.mayServe(c); !ok {
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: r}
	}
	if c.Stream != nil {
		if !f.takeStream() {
			return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonFull, Retry: streamRetry}
		}
		defer f.streams.Add(-1)
	}
	if c.Divided {
		if res, ok := f.awaitKey(ctx, c); !ok {
			return res
		}
	}
	for {
		observed, reason := f.awaitVerdict(ctx, c)
		if reason != dispatcher.ReasonNone {
			return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: reason}
		}
		ticket, res, ok := f.admit(ctx, c)
		if ok && !observed && f.isWatched(c) {
			f.admitter.Done(ticket, false, f.clock.Now())
			continue // it became suspected while it waited
		}
		if ok {
			res = f.start(ctx, c, ticket)
		}
		f.recordRun(c, observed, res)
		return res
	}
}

// takeStream reserves a place for a body that is passed on while it arrives, and reports whether there was
// one. Customers that send slowly must leave most slots to others.
func (f *Forwarder) takeStream() bool {
	if f.streams.Add(1) <= int64(max(f.Server().Slots/streamSlotDivisor, 1)) {
		return true
	}
	f.streams.Add(-1)
	return false
}

// admit waits for admission. Without it, the result says why.
func (f *Forwarder) admit(ctx context.Context, c *dispatcher.Call) (*admitter.Ticket, dispatcher.Result, bool) {
	nested, changed := f.classifier.Observe(c.Route, c.Caller)
	if changed {
		f.logger.Info().Str("route", c.Route).Str("caller", c.Caller).Bool("nested", nested).
			Msg("callers of a route changed, nested calls are admitted before customers' requests of their priority")
	}
	r := admitter.Request{
		Kind: c.Route, CustomerPriority: c.CustomerPriority, Priority: c.Priority, Nested: nested,
		Objective: c.Objective, Deadline: c.Deadline,
	}
	ticket, decision, retry := f.admitter.Offer(r, f.clock.Now(), !c.NoQueue)
	switch decision {
	case admitter.Start:
	case admitter.Busy:
		return nil, dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonBusy, Retry: retry}, false
	case admitter.Reject:
		f.addRejectedWork(c)
		return nil, dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonFull, Retry: retry}, false
	case admitter.Wait:
		_, span, _ := f.tracer.Start(ctx, "queue", c.Trace, trace.SpanKindInternal)
		r := f.awaitAdmission(ctx, ticket)
		span.End()
		if r != dispatcher.ReasonNone {
			return nil, dispatcher.Result{Outcome: dispatcher.NotRun, Reason: r}, false
		}
	}
	return ticket, dispatcher.Result{}, true
}

// start sends an admitted call to the backend server. What held before the waits of the call must
// still hold.
func (f *Forwarder) start(ctx context.Context, c *dispatcher.Call, ticket *admitter.Ticket) dispatcher.Result {
	res, ran := dispatcher.Result{Outcome: dispatcher.NotRun}, false
	if r, ok := f.mayStart(c); ok {
		res, ran = f.exchange(ctx, c)
	} else {
		res.Reason = r
	}
	f.admitter.Done(ticket, ran, f.clock.Now())
	return res
}

// mayServe reports whether the backend server may get the call now, or the reason why not.
func (f *Forwarder) mayServe(c *dispatcher.Call) (dispatcher.Reason, bool) {
	s := f.Server()
	switch {
	case c.Service != f.service || !s.Up():
		return dispatcher.ReasonNoServer, false
	case f.isRevoked(c):
		return dispatcher.ReasonRevoked, false
	case f.stopped(c.Divided):
		return dispatcher.ReasonStopping, false
	case f.node.ZoneOut(c.Divided):
		return dispatcher.ReasonZoneOut, false
	default:
		return dispatcher.ReasonNone, true
	}
}

// isRevoked reports whether the customer of a call was removed since the call was accepted.
func (f *Forwarder) isRevoked(c *dispatcher.Call) bool {
	if c.Customer == "" {
		return false
	}
	cfg := f.node.Configuration()
	return cfg != nil && cfg.Version > c.ConfigurationVersion && cfg.RequiresKeys() && !cfg.HasCustomer(c.Customer)
}

// mayStart reports whether a call may run now, or the reason why not.
func (f *Forwarder) mayStart(c *dispatcher.Call) (dispatcher.Reason, bool) {
	if r, ok := f.mayServe(c); !ok || !c.Divided {
		return r, ok
	}
	if !f.granter.Owns(c.Service, c.Key) {
		return dispatcher.ReasonNotOwner, false
	}
	if _, _, held := f.granter.Holds(c.Service, c.Key, f.clock.Now()); !held {
		return dispatcher.ReasonNotHeld, false
	}
	return dispatcher.ReasonNone, true
}

// awaitKey waits until the backend server holds a key that this node owns, or that is
// moving here. A call that the expected wait leaves too little time is rejected at once,
// with the time until the key is expected.
func (f *Forwarder) awaitKey(ctx context.Context, c *dispatcher.Call) (dispatcher.Result, bool) {
	rejected := dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonNotHeld}
	latest := c.Deadline.Add(-f.admitter.Expected(c.Route, f.clock.Now()))
	custody, expected := granter.Foreign, timer.Instant(0)
	for {
		changed, now := f.granter.Changed(), f.clock.Now()
		if _, _, ok := f.granter.Holds(c.Service, c.Key, now); ok {
			return dispatcher.Result{}, true
		}
		// A key that arrived is expected sooner than its move could tell.
		if is, at := f.granter.HeldBy(c.Service, c.Key, f.heartbeatInterval, now); is != custody {
			custody, expected = is, at
		}
		wait := grantWait
		switch custody {
		case granter.Foreign:
			rejected.Reason = dispatcher.ReasonNotOwner
			return rejected, false
		case granter.Arriving:
			wait = arrivalWait
		case granter.Owned:
		}
		if latest < max(expected, now) || expected.Add(wait) < now {
			rejected.Retry = max(expected.Sub(now), 0)
			return rejected, false
		}
		t := time.NewTimer(grantCheckInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			rejected.Reason = dispatcher.ReasonCanceled
			return rejected, false
		case <-changed:
			t.Stop()
		case <-t.C:
		}
	}
}

// awaitAdmission waits for admission, or returns why there was none.
func (f *Forwarder) awaitAdmission(ctx context.Context, t *admitter.Ticket) dispatcher.Reason {
	admitted := false
	select {
	case admitted = <-t.Admitted():
	case <-ctx.Done():
		if !f.admitter.Cancel(t) {
			f.admitter.Done(t, false, f.clock.Now())
		}
		return dispatcher.ReasonCanceled
	}
	if !admitted {
		return dispatcher.ReasonDeadline
	}
	return dispatcher.ReasonNone
}

// exchange sends a call to the backend server. The second result reports whether the
// call's duration is a valid sample of the service time.
func (f *Forwarder) exchange(ctx context.Context, c *dispatcher.Call) (dispatcher.Result, bool) {
	sent := f.clock.Now()
	left := c.Deadline.Sub(sent)
	if left <= 0 {
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonDeadline}, false
	}
	if !c.Idempotent {
		// A request that must not run twice goes on after its customer disconnects.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), left+time.Second)
		defer cancel()
	}
	ctx, span, parent := f.tracer.Start(ctx, "backend server", c.Trace, trace.SpanKindClient)
	defer span.End()
	h := c.Header.Clone()
	if f.tracer.Enabled() {
		h.Set("Traceparent", parent)
	}
	server := f.Server()
	if c.Customer != "" {
		f.codec.SetCustomer(h, c.Customer)
	}
	f.codec.SetRequestHeaders(h, server.ID, c.Caller, left)
	maxIdleTime := maxIdleNonIdempotent
	if c.Idempotent {
		maxIdleTime = maxIdleIdempotent
	}
	f.countSent()
	response, err := f.exchanger.Do(ctx, exchanger.Request{
		ID: c.ID, OwnConnection: c.ID == "", Method: c.Method, URI: c.URI, Host: c.Host, Header: h, Body: c.Body, Stream: c.Stream,
		MaxIdle: maxIdleTime, Memory: c.Memory,
	})
	took := f.clock.Now().Sub(sent)
	f.addWork(c, took)
	// A request that timed out would have taken at least as long. Without these samples, a
	// server that has become slow would seem as fast as its few successes.
	timedOut := float64(took) >= timedOutShare*float64(left)
	if c.Stream != nil {
		timedOut = false // the customer may have taken the time
	}
	switch {
	case errors.Is(err, exchanger.ErrNoConnections):
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonConnections}, false
	case errors.Is(err, exchanger.ErrNotSent):
		if ctx.Err() == nil { // otherwise the customer gave up, which says nothing of the server
			f.connectFailed(err)
		}
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonUnreachable}, false
	case err != nil:
		f.logger.Info().Str("request", c.ID).Err(err).Dur("elapsed", f.clock.Now().Sub(sent)).Msg("backend server gave no whole answer")
		disconnected := errors.Is(err, exchanger.ErrDisconnected)
		f.addFailure(c, server, sent, disconnected)
		return dispatcher.Result{
			Outcome: dispatcher.Unknown, Reason: dispatcher.ReasonBroken, Sent: true,
			Disconnected: disconnected, ServerEnded: disconnected && f.hasEnded(server),
		}, timedOut
	default:
		f.addAnswer(server, sent)
		if response.Skipped > 0 || response.Followed {
			f.logger.Warn().Str("request", c.ID).Str("server", server.ID).Int("skipped", response.Skipped).Bool("followed", response.Followed).
				Int("status", response.Status).Msg("backend server sent more than the response")
		}
		f.readNotice(response, server, sent)
		res, ran := f.interpret(c, response)
		return res, (ran && c.Stream == nil) || timedOut
	}
}

// interpret returns the result that a response stands for. The second result is as for
// exchange.
func (f *Forwarder) interpret(c *dispatcher.Call, response *exchanger.Response) (dispatcher.Result, bool) {
	f.mu.Lock()
	f.failedConnects = 0
	f.mu.Unlock()
	notRun := f.codec.NotRun(response.Status, response.Header)
	switch {
	case notRun && response.Followed:
		f.logger.Warn().Str("request", c.ID).Int("status", response.Status).
			Msg("more data follows the refusal, the request may have run")
		return dispatcher.Result{Outcome: dispatcher.Unknown, Reason: dispatcher.ReasonBroken, Sent: true}, false
	case notRun:
		f.logger.Info().Str("request", c.ID).Int("status", response.Status).Uint16("key", c.Key).
			Msg("backend server did not run the request")
		return dispatcher.Result{Outcome: dispatcher.NotRun, Reason: dispatcher.ReasonShed, Sent: true}, false
	case response.Status < http.StatusMultipleChoices && (!f.codec.Signed(response.Header) || response.Header.Get("Content-Encoding") != ""):
		f.logger.Info().Str("request", c.ID).Int("status", response.Status).Msg("response was not produced by the backend server")
		return dispatcher.Result{Outcome: dispatcher.Unknown, Reason: dispatcher.ReasonBroken, Sent: true}, false
	default:
		return dispatcher.Result{Outcome: dispatcher.Answered, Response: response, Sent: true}, response.Status < http.StatusMultipleChoices
	}
}

// addRejectedWork adds the work that a rejected request would have caused. A full backend
// server runs the same amount whether demand is slightly too high or three times as high,
// and keys are moved by demand. Rejections during a warm-up do not count.
func (f *Forwarder) addRejectedWork(c *dispatcher.Call) {
	if !f.admitter.WarmingUp(f.clock.Now()) {
		f.addWork(c, f.admitter.Expected(c.Route, f.clock.Now()))
	}
}

// addWork adds the work of a key to the next heartbeat.
func (f *Forwarder) addWork(c *dispatcher.Call, d time.Duration) {
	if !c.Divided {
		return
	}
	f.mu.Lock()
	f.workByKey[c.Key] += float32(d.Seconds())
	f.mu.Unlock()
}
