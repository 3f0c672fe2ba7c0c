package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// Times of a request at the node that received it.
const (
	// defaultTimeout is the time for a request if neither it nor its route sets a
	// deadline.
	defaultTimeout = 30 * time.Second
	// responseSlack is how long after the deadline the node still waits for the backend
	// server's own response.
	responseSlack = 150 * time.Millisecond
	// ownerRetryInterval is the time until the second try of a key whose owner is not known
	// yet; it doubles with each try up to maxOwnerRetryInterval.
	ownerRetryInterval    = 25 * time.Millisecond
	maxOwnerRetryInterval = 200 * time.Millisecond
	// maxOwnerWait is how long a request waits for the table to name its owner.
	maxOwnerWait = 800 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a rejected request.
	minRetryAfter = 50 * time.Millisecond
	// freeSlotTries is the number of servers of a shared pool tried for a free slot before
	// a request joins the shortest of their queues.
	freeSlotTries = 3
	// maxQueueTries is the number of queues that may reject a request before it is rejected.
	maxQueueTries = 2
	// absentServerRetryAfter is the shortest Retry-After if the server was absent: a
	// restart or a move of keys takes about as long.
	absentServerRetryAfter = 600 * time.Millisecond
	// retryAfterDivisor limits Retry-After to the time left divided by it, even below
	// minRetryAfter.
	retryAfterDivisor = 3
)

// Cluster is the dispatcher's view of the deployment.
type Cluster interface {
	// Configuration returns the configuration in force, or nil before the first.
	Configuration() *descriptor.Configuration
	// ConfigurationFreshness returns the freshness of the configuration in force.
	ConfigurationFreshness() Freshness
	// Choose returns the server for a call, except those at the tried nodes.
	Choose(c *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason)
	// Server returns the backend server of a node, or nil if the node is not a member.
	Server(id partitioner.NodeID) Server
	// AllowRetry reports whether a call may reach a backend server once more, and charges
	// the retry budget if so. mayHaveRun refers to the previous try.
	AllowRetry(service string, mayHaveRun bool) bool
	// IsQuarantined reports whether a call must reach no backend server, since requests like it
	// have ended several.
	IsQuarantined(c *Call) bool
	// CountRequest counts a request for a service.
	CountRequest(service string)
}

// Counter counts finished requests.
type Counter interface {
	ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration)
}

// Dispatcher serves customers' requests.
type Dispatcher struct {
	cluster Cluster
	codec   HeaderCodec
	clock   timer.Clock
	caller  string
	counter Counter
	memory  *budgeter.Budget
	tracer  *tracer.Tracer
	logger  zerolog.Logger
	// splitter splits the requests of routes among services.
	splitter *splitter
	// quota is nil if customers are not limited.
	quota Quota
	// large are the bodies that are passed on while they arrive.
	large largeBodies
	// stopAt is when a stopping node gives up what is still in flight; zero while it runs.
	stopAt atomic.Int64
}

// NewDispatcher returns a dispatcher; caller is the service of this instance.
func NewDispatcher(cluster Cluster, codec HeaderCodec, clock timer.Clock, caller string, counter Counter,
	memory *budgeter.Budget, t *tracer.Tracer, logger zerolog.Logger,
) *Dispatcher {
	return &Dispatcher{cluster: cluster, codec: codec, clock: clock, caller: caller, counter: counter, memory: memory, tracer: t, logger: logger, splitter: newSplitter(rand.Uint64)}
}

// SetQuota sets what limits the customers' requests; it must be called before the first request.
func (d *Dispatcher) SetQuota(q Quota) { d.quota = q }

// Stop makes the dispatcher accept only requests that can be answered before an instant.
func (d *Dispatcher) Stop(at timer.Instant) { d.stopAt.Store(int64(at)) }

// limitToStop limits the deadline of a call to the end of a stopping node. The result is false if that
// leaves less time than the call's objective: it would be cut off while the backend server runs it.
func (d *Dispatcher) limitToStop(c *Call) bool {
	end := timer.Instant(d.stopAt.Load())
	if end == 0 || c.Deadline <= end {
		return true
	}
	c.Deadline = end
	return end.Sub(d.clock.Now()) >= c.Objective
}

// ServeHTTP serves one request of a customer.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := d.clock.Now()
	fresh := d.cluster.ConfigurationFreshness()
	cfg := d.cluster.Configuration()
	if cfg == nil {
		writeUnavailable(w, http.StatusServiceUnavailable, time.Second)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	enter := newEntrance(cfg, fresh, route, d.codec, r.Header)
	if enter.status != 0 {
		d.rejectEntrance(w, enter, route, arrived)
		return
	}
	memory := d.memory.Lease()
	defer memory.Close()
	limit := max(cfg.Limits.BodyBytes, 1)
	left := d.timeLeft(r.Header, route.Timeout)
	lift := limitRead(w, r, left)
	body, err := d.readBody(w, r, memory, limit)
	defer body.close()
	if err != nil {
		d.rejectBody(w, err, left)
		limitRest(w)
		return
	}
	if body.stream == nil {
		lift()
	} else {
		w.Header().Set("Connection", "close") // the rest of the body may never be read
		defer limitRest(w)
	}
	c := d.newCall(r, route, body.whole, arrived.Add(left))
	c.Memory, c.Stream = memory, body.stream
	if c.Customer = enter.customerName(); c.Customer != "" {
		c.ConfigurationVersion, c.CustomerPriority = cfg.Version, enter.customer.Priority
	}
	if s, ok := cfg.Services[c.Service]; ok && s.Divided {
		c.Divided = true
		if c.Key, ok = d.codec.Key(r.Header); !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.Deadline.Sub(arrived)+responseSlack)
	defer cancel()
	if !d.limitToStop(c) {
		d.respond(w, c, Result{Outcome: NotRun, Reason: ReasonStopping}, arrived, &attemptLog{start: arrived})
		return
	}
	if d.cluster.IsQuarantined(c) {
		d.respond(w, c, Result{Outcome: NotRun, Reason: ReasonQuarantined}, arrived, &attemptLog{start: arrived})
		return
	}
	// The configuration may have become too old while the body was read.
	if enter.customer != nil && d.cluster.ConfigurationFreshness() == Outdated {
		d.respond(w, c, Result{Outcome: NotRun, Reason: ReasonStale}, arrived, &attemptLog{start: arrived})
		return
	}
	// What the node itself refuses, or whose body never arrives, costs its customer nothing.
	credit, reason, retry := d.charge(ctx, enter.customer)
	if reason != ReasonNone {
		d.respond(w, c, Result{Outcome: NotRun, Reason: reason, Retry: retry}, arrived, &attemptLog{start: arrived})
		return
	}
	d.cluster.CountRequest(c.Service)
	ctx, span, parent := d.tracer.Start(ctx, "request", r.Header.Get("Traceparent"), trace.SpanKindServer)
	defer span.End()
	c.Trace = parent
	res, attempts := d.run(ctx, c, route, &enter)
	if res.Outcome == NotRun {
		d.refund(enter.customer, credit)
	}
	if r.Context().Err() != nil {
		res.Reason = ReasonCanceled
	}
	d.respond(w, c, res, arrived, attempts)
}

func (d *Dispatcher) newCall(r *http.Request, route *descriptor.Route, body []byte, deadline timer.Instant) *Call {
	header := endToEnd(r.Header)
	d.codec.RemoveCustomer(header)
	return &Call{
		ID: d.codec.RequestID(r.Header), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: header, Body: body, Route: route.Name, Service: d.splitter.pick(route),
		Idempotent: route.Idempotent, Priority: route.Priority, Objective: route.Objective, Caller: d.caller,
		Deadline: deadline,
	}
}

// run tries backend servers until the outcome of the call is final.
func (d *Dispatcher) run(ctx context.Context, c *Call, route *descriptor.Route, enter *entrance) (Result, *attemptLog) {
	tried := make(map[partitioner.NodeID]bool)
	var waits queueWaits
	attempts := &attemptLog{start: d.clock.Now()}
	last := Result{Outcome: NotRun, Reason: ReasonNoServer}
	for {
		if enter.isRevoked(d.cluster.Configuration()) {
			if last.Outcome == NotRun {
				last.Reason = ReasonRevoked
			}
			return last, attempts
		}
		server, id, reason := d.cluster.Choose(c, tried)
		c.NoQueue = !c.Divided
		if queue, ok := waits.shortest(server == nil); ok {
			server, id, c.NoQueue = d.cluster.Server(queue), queue, false
		}
		if server == nil {
			if last.Outcome != NotRun {
				return last, attempts // an earlier try may have run
			}
			if reason != ReasonNone && last.Reason == ReasonNoServer {
				last.Reason = reason
			}
			if !d.awaitOwner(ctx, c, attempts, last) {
				return last, attempts
			}
			clear(tried)
			continue
		}
		res := attempts.serve(ctx, server, id, c)
		if last.Outcome == NotRun || res.Outcome == Answered {
			last = res
		}
		if ctx.Err() != nil || (res.Outcome == Answered && !d.retryableFailure(res)) {
			return last, attempts
		}
		if res.Reason == ReasonQuarantined || res.Reason == ReasonConnections {
			return last, attempts // the same everywhere
		}
		c.IsSuspect = c.IsSuspect || res.ServerEnded
		if res.Reason == ReasonBusy {
			waits.add(id, res.Retry)
		}
		if res.Reason == ReasonFull && !c.Divided {
			if waits.rejected++; waits.rejected >= maxQueueTries {
				return last, attempts
			}
		}
		if !d.mayRetry(c, route, res, attempts.sent) {
			return last, attempts
		}
		if !c.Divided {
			tried[id] = true
			continue
		}
		if res.Outcome == NotRun && !d.awaitOwner(ctx, c, attempts, res) {
			return last, attempts
		}
	}
}

// retryableFailure reports whether the response is a failure that a retry may avoid.
func (d *Dispatcher) retryableFailure(r Result) bool {
	return r.Response.Status == http.StatusInternalServerError || r.Response.Status == http.StatusBadGateway
}

// mayRetry reports whether a call may be tried again after a result.
func (d *Dispatcher) mayRetry(c *Call, route *descriptor.Route, res Result, sent int) bool {
	left := c.Deadline.Sub(d.clock.Now())
	if left <= 0 || (c.Stream != nil && c.Stream.Consumed()) {
		return false
	}
	if !res.Sent {
		return true
	}
	if res.Outcome != NotRun && !c.Idempotent {
		return false
	}
	if sent >= route.Attempts || left < c.Objective/4 {
		return false
	}
	return d.cluster.AllowRetry(c.Service, res.Outcome != NotRun)
}

// awaitOwner waits before the next try of a key whose owner the table does not name yet,
// and reports whether that try is worthwhile. A key on the move needs no second try: the
// call waits at the next owner.
func (d *Dispatcher) awaitOwner(ctx context.Context, c *Call, attempts *attemptLog, res Result) bool {
	if !c.Divided || res.Reason != ReasonNotOwner {
		return false
	}
	now := d.clock.Now()
	if now.Sub(attempts.start) > maxOwnerWait || c.Deadline.Sub(now) < c.Objective/4 {
		return false
	}
	t := time.NewTimer(attempts.ownerWait())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
