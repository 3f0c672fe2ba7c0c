package receiver

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/executor"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/matcher"
	"papayapass.dev/papayapass/internal/meter"
	"papayapass.dev/papayapass/internal/parser"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/announcer"
	"papayapass.dev/shared/hasher"
)

// idleTimeout is how long an idle connection of a caller stays open.
const idleTimeout = time.Minute

// configurationWait is how long a request waits for the first configuration.
const configurationWait = 2 * time.Second

// retryAfterSeconds is the Retry-After value of 503 responses.
const retryAfterSeconds = "1"

// Router answers requests.
type Router interface {
	// Route sends a request to the responsible backend server.
	Route(ctx context.Context, req *wirepb.Request) *wirepb.Answer
}

// ViewSource provides the newest view.
type ViewSource interface {
	// View returns the newest view.
	View() *keeper.View
}

// Limits bound callers' requests and connections.
type Limits struct {
	bodyBytes   int
	bodyTime    time.Duration
	connections int
}

// NewLimits returns limits on the bytes of a body, the time to send a request,
// and the number of connections.
func NewLimits(bodyBytes int, bodyTime time.Duration, connections int) Limits {
	return Limits{bodyBytes: bodyBytes, bodyTime: bodyTime, connections: connections}
}

// versionedRules holds the rules of one version of the configuration.
type versionedRules struct {
	version uint64
	rules   *matcher.RuleSet
}

// Receiver is the HTTP server for callers.
type Receiver struct {
	server      *fasthttp.Server
	router      Router
	views       ViewSource
	meter       *meter.Meter
	tracer      *tracer.Tracer
	logger      zerolog.Logger
	incarnation uint64
	current     atomic.Pointer[versionedRules]
	accounts    accounts
	draining    atomic.Bool
}

// NewReceiver returns a receiver. Serve starts it.
func NewReceiver(r Router, v ViewSource, m *meter.Meter, t *tracer.Tracer, logger zerolog.Logger, incarnation uint64, limits Limits) *Receiver {
	rc := &Receiver{router: r, views: v, meter: m, tracer: t, logger: logger, incarnation: incarnation}
	rc.current.Store(&versionedRules{rules: matcher.NewRuleSet(nil)})
	rc.server = &fasthttp.Server{
		Handler:               rc.handle,
		ErrorHandler:          rc.rejectMalformed,
		MaxRequestBodySize:    limits.bodyBytes,
		ReadTimeout:           limits.bodyTime,
		IdleTimeout:           idleTimeout,
		Concurrency:           limits.connections,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
	}
	return rc
}

// Serve accepts requests until Stop is called.
func (rc *Receiver) Serve(listener net.Listener) error {
	return errors.Wrap(rc.server.Serve(listener), "serve callers")
}

// Drain closes each caller's connection after its next response, so that
// callers reconnect to other nodes before Stop.
func (rc *Receiver) Drain() { rc.draining.Store(true) }

// Stop accepts no new connections and waits for the requests in flight.
func (rc *Receiver) Stop(ctx context.Context) error {
	return rc.server.ShutdownWithContext(ctx)
}

// rules returns the rules of the current configuration. If they cannot be
// parsed, the previous rules stay in force.
func (rc *Receiver) rules() *matcher.RuleSet {
	versioned := rc.current.Load()
	cfg := rc.views.View().Configuration()
	if cfg.GetVersion() == versioned.version {
		return versioned.rules
	}
	rules, err := parser.Parse("configuration", cfg.GetRules())
	if err != nil {
		rc.logger.Error().Err(err).Uint64("version", cfg.GetVersion()).Msg("rules cannot be parsed, the previous ones stay in force")
		rules = versioned.rules
	}
	rc.current.Store(&versionedRules{version: cfg.GetVersion(), rules: rules})
	return rules
}

// waitForConfiguration reports whether the node has a configuration. After a
// start it waits up to configurationWait for the first one.
func (rc *Receiver) waitForConfiguration() bool {
	view := rc.views.View()
	if view.Configuration().GetVersion() > 0 {
		return true
	}
	wait := time.NewTimer(configurationWait)
	defer wait.Stop()
	for view.Configuration().GetVersion() == 0 {
		select {
		case <-view.Changed():
			view = rc.views.View()
		case <-wait.C:
			return false
		}
	}
	return true
}

func (rc *Receiver) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	if rc.draining.Load() {
		ctx.SetConnectionClose()
	}
	if !rc.waitForConfiguration() {
		rc.reject(ctx, fasthttp.StatusServiceUnavailable, wirepb.Reason_REASON_STARTING)
		return
	}
	rule := rc.rules().Match(requestView{ctx: ctx})
	if rule == nil {
		rc.reject(ctx, fasthttp.StatusNotFound, wirepb.Reason_REASON_NO_RULE)
		return
	}
	key, ok := rule.ExtractKey(requestView{ctx: ctx})
	if !ok {
		rc.reject(ctx, fasthttp.StatusBadRequest, wirepb.Reason_REASON_BAD_REQUEST)
		return
	}
	account := accountKey{ruleLine: rule.Line(), account: string(ctx.Request.Header.Peek(announcer.HeaderAccount))}
	if rule.AccountLimit() > 0 {
		if !rc.accounts.acquire(account, rule.AccountLimit()) {
			rc.reject(ctx, fasthttp.StatusTooManyRequests, wirepb.Reason_REASON_LIMIT)
			return
		}
		defer rc.accounts.release(account)
	}
	answer := rc.route(ctx, rule, key)
	rc.meter.ObserveRequest(rule.Pool(), answer, time.Since(started))
	rc.logger.Debug().Uint64("call", answer.GetCall()).Str("pool", rule.Pool()).
		Uint64("keyHash", hasher.Key(key)).Str("outcome", meter.OutcomeName(answer.GetOutcome())).Msg("request")
	rc.write(ctx, answer)
}

func (rc *Receiver) route(ctx *fasthttp.RequestCtx, rule *matcher.Rule, key []byte) *wirepb.Answer {
	limit := rc.timeLimit(ctx, rule)
	routing, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	routing, span, parent := rc.tracer.Start(routing, "request", string(ctx.Request.Header.Peek("Traceparent")), trace.SpanKindServer)
	defer span.End()
	return rc.router.Route(routing, rc.newRequest(ctx, rule, key, limit, parent))
}

// timeLimit returns the rule's deadline, or the caller's own if that is
// shorter.
func (rc *Receiver) timeLimit(ctx *fasthttp.RequestCtx, rule *matcher.Rule) time.Duration {
	limit := rule.Deadline()
	callerMillis, err := strconv.ParseInt(string(ctx.Request.Header.Peek(announcer.HeaderDeadline)), 10, 64)
	if err == nil && callerMillis > 0 && callerMillis < limit.Milliseconds() {
		limit = time.Duration(callerMillis) * time.Millisecond
	}
	return limit
}

// newRequest returns the message for a request. It refers to the memory of the
// HTTP request, which stays valid until the handler returns.
func (rc *Receiver) newRequest(ctx *fasthttp.RequestCtx, rule *matcher.Rule, key []byte, limit time.Duration, parent string) *wirepb.Request {
	caller := ctx.Request.Header.Peek(announcer.HeaderCaller)
	if len(caller) == 0 {
		caller = []byte(ctx.RemoteAddr().String())
	}
	return &wirepb.Request{
		Origin:         rc.incarnation,
		Pool:           rule.Pool(),
		Keyed:          rule.Key().Source() != matcher.KeyNone,
		KeyHash:        hasher.Key(key),
		Method:         ctx.Method(),
		Uri:            ctx.RequestURI(),
		Headers:        executor.RequestHeaders(&ctx.Request.Header),
		Body:           ctx.Request.Body(),
		TimeLeftMicros: uint32(limit.Microseconds()),
		Class:          rule.Class(),
		Idempotent:     rule.Idempotent(string(ctx.Method())),
		Account:        ctx.Request.Header.Peek(announcer.HeaderAccount),
		Caller:         caller,
		TraceParent:    parent,
		IdempotencyKey: ctx.Request.Header.Peek("Idempotency-Key"),
	}
}

func (rc *Receiver) write(ctx *fasthttp.RequestCtx, answer *wirepb.Answer) {
	if answer.GetOutcome() != wirepb.Outcome_OUTCOME_ANSWERED {
		rc.writeFailure(ctx, answer)
		return
	}
	for _, h := range answer.GetHeaders() {
		ctx.Response.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	ctx.Response.Header.Set(announcer.HeaderOutcome, meter.OutcomeName(answer.GetOutcome()))
	ctx.SetStatusCode(int(answer.GetStatus()))
	ctx.Response.SetBodyRaw(answer.GetBody())
}

func (rc *Receiver) writeFailure(ctx *fasthttp.RequestCtx, answer *wirepb.Answer) {
	notRun := answer.GetOutcome() == wirepb.Outcome_OUTCOME_NOT_RUN
	deadline := answer.GetReason() == wirepb.Reason_REASON_DEADLINE
	status := fasthttp.StatusBadGateway
	switch {
	case notRun:
		status = fasthttp.StatusServiceUnavailable
	case deadline:
		status = fasthttp.StatusGatewayTimeout
	}
	rc.writeOutcome(ctx, status, answer.GetOutcome(), answer.GetReason())
}

// reject responds to a request that is not routed.
func (rc *Receiver) reject(ctx *fasthttp.RequestCtx, status int, reason wirepb.Reason) {
	rc.meter.ObserveRequest("", &wirepb.Answer{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Reason: reason}, 0)
	rc.writeOutcome(ctx, status, wirepb.Outcome_OUTCOME_NOT_RUN, reason)
}

func (rc *Receiver) writeOutcome(ctx *fasthttp.RequestCtx, status int, o wirepb.Outcome, reason wirepb.Reason) {
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds)
	}
	ctx.Response.Header.Set(announcer.HeaderOutcome, meter.OutcomeName(o))
	ctx.Response.Header.Set(announcer.HeaderReason, meter.ReasonName(reason))
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(meter.OutcomeName(o) + ": " + meter.ReasonName(reason) + "\n")
}

// rejectMalformed responds to an invalid request: too large, too slow,
// truncated or malformed. No part of it reached a backend server.
func (rc *Receiver) rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	var timeout net.Error
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		rc.reject(ctx, fasthttp.StatusRequestEntityTooLarge, wirepb.Reason_REASON_TOO_LARGE)
	case errors.As(err, &small):
		rc.reject(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, wirepb.Reason_REASON_TOO_LARGE)
	case errors.As(err, &timeout) && timeout.Timeout():
		rc.reject(ctx, fasthttp.StatusRequestTimeout, wirepb.Reason_REASON_DEADLINE)
	default:
		rc.reject(ctx, fasthttp.StatusBadRequest, wirepb.Reason_REASON_BAD_REQUEST)
	}
	ctx.SetConnectionClose()
}
