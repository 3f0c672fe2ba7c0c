package dispatcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

// Times of a request at the node where it arrived.
const (
	// defaultWait is the deadline of requests that name none on routes without one.
	defaultWait = 30 * time.Second
	// answerSlack is how much longer than its deadline a request waits for the
	// backend server's own answer.
	answerSlack = 150 * time.Millisecond
	// retryPause is the time between looks at an owner that does not hold a key yet.
	retryPause = 25 * time.Millisecond
	// movePatience is how long a request waits for keys that change their owner.
	movePatience = 800 * time.Millisecond
	// leastRetryAfter is the shortest time after which a refused customer comes back.
	leastRetryAfter = 50 * time.Millisecond
	// lookRound is how many servers of a shared pool are asked for a free slot before
	// a request goes into the shortest queue that it was told of.
	lookRound = 3
	// absence is the time after which customers come back whose server was not there:
	// a restart or a move of keys takes about as long.
	absence = 600 * time.Millisecond
	// retryShare is the part of the time left that customers wait at most.
	retryShare = 3
)

// Cluster is what the dispatcher knows of the deployment.
type Cluster interface {
	// Configuration returns the configuration in force, or nil before the first.
	Configuration() *descriptor.Configuration
	// Choose returns the server that a call should go to, leaving some nodes out.
	Choose(c *Call, tried map[partitioner.NodeID]bool) (Server, partitioner.NodeID, Reason)
	// Server returns the server beside a node.
	Server(id partitioner.NodeID) Server
	// AllowRetry says whether a call may reach a backend server once more; ran says that
	// the try before may have run.
	AllowRetry(service string, ran bool) bool
	// CountRequest counts a request for a service.
	CountRequest(service string)
}

// Counter counts the ends of requests.
type Counter interface {
	ObserveRequest(route, outcome, reason string, status int, elapsed time.Duration)
}

// Dispatcher serves customers.
type Dispatcher struct {
	view    Cluster
	dialect HeaderCodec
	clock   timer.Clock
	caller  string
	counter Counter
	tracer  *tracer.Tracer
	logger  zerolog.Logger
}

// NewDispatcher returns a dispatcher; caller is the service of this instance.
func NewDispatcher(view Cluster, dialect HeaderCodec, clock timer.Clock, caller string, counter Counter, t *tracer.Tracer, logger zerolog.Logger) *Dispatcher {
	return &Dispatcher{view: view, dialect: dialect, clock: clock, caller: caller, counter: counter, tracer: t, logger: logger}
}

// ServeHTTP serves one request of a customer.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := d.clock.Now()
	cfg := d.view.Configuration()
	if cfg == nil {
		refuse(w, http.StatusServiceUnavailable, time.Second)
		return
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := cfg.Match(r.Host, path)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(cfg.Limits.BodyBytes, 1)))
	if err != nil {
		d.badBody(w, err)
		return
	}
	c := d.newCall(r, route, body, arrived)
	if s, ok := cfg.Services[c.Service]; ok && s.Divided {
		c.Divided = true
		if c.Key, ok = d.dialect.Key(r.Header); !ok {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	d.view.CountRequest(c.Service)
	ctx, cancel := context.WithTimeout(r.Context(), c.Deadline.Sub(arrived)+answerSlack)
	defer cancel()
	ctx, span, parent := d.tracer.Start(ctx, "request", r.Header.Get("Traceparent"), trace.SpanKindServer)
	defer span.End()
	c.Trace = parent
	res, way := d.run(ctx, c, route)
	if r.Context().Err() != nil {
		res.Reason = ReasonCanceled
	}
	d.finish(w, c, res, arrived, way)
}

func (d *Dispatcher) badBody(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusBadRequest)
}

func (d *Dispatcher) newCall(r *http.Request, route *descriptor.Route, body []byte, arrived timer.Instant) *Call {
	c := &Call{
		ID: d.dialect.RequestID(r.Header), Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: endToEnd(r.Header), Body: body, Route: route.Name, Service: pick(route.Targets),
		Idempotent: route.Idempotent, Priority: route.Priority, Objective: route.Objective, Caller: d.caller,
	}
	wait := route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if left, ok := d.dialect.Deadline(r.Header); ok {
		wait = min(wait, left)
	}
	c.Deadline = arrived.Add(wait)
	return c
}

// pick draws a service by the weights of a route's targets.
func pick(targets []descriptor.Target) string {
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range targets {
		if n -= t.Weight; n < 0 {
			return t.Service
		}
	}
	return ""
}

// trail is the way that a call has taken so far.
type trail struct {
	began timer.Instant
	// reached counts the backend servers that were offered the call.
	reached int
	// asked counts the nodes that were asked to serve it, and last is the last one.
	asked int
	last  partitioner.NodeID
}

// serve asks a node to serve a call.
func (t *trail) serve(ctx context.Context, s Server, id partitioner.NodeID, c *Call) Result {
	t.asked++
	t.last = id
	res := s.Serve(ctx, c)
	if res.Sent {
		t.reached++
	}
	return res
}

// run brings a call to backend servers until its outcome is final.
func (d *Dispatcher) run(ctx context.Context, c *Call, route *descriptor.Route) (Result, *trail) {
	tried := make(map[partitioner.NodeID]bool)
	var queues shortest
	way := &trail{began: d.clock.Now()}
	last := Result{Outcome: NotRun, Reason: ReasonNoServer}
	for {
		server, id, reason := d.view.Choose(c, tried)
		c.NoQueue = !c.Divided
		if queue, ok := queues.take(server == nil); ok {
			server, id, c.NoQueue = d.view.Server(queue), queue, false
		}
		if server == nil {
			if last.Outcome != NotRun {
				return last, way // an earlier try may have run
			}
			if reason != ReasonNone && last.Reason == ReasonNoServer {
				last.Reason = reason
			}
			if !d.await(ctx, c, way, last) {
				return last, way
			}
			clear(tried)
			continue
		}
		res := way.serve(ctx, server, id, c)
		if ctx.Err() != nil || (res.Outcome == Answered && !d.failed(res)) {
			return res, way
		}
		if last.Outcome == NotRun || res.Outcome == Answered {
			last = res
		}
		if res.Reason == ReasonBusy {
			queues.add(id, res.Retry)
		}
		if !d.again(c, route, res, way.reached) {
			return last, way
		}
		if !c.Divided {
			tried[id] = true
			continue
		}
		if res.Outcome == NotRun && !d.await(ctx, c, way, res) {
			return last, way
		}
	}
}

// shortest remembers the queues that a request was told of.
type shortest struct {
	looks int
	waits map[partitioner.NodeID]time.Duration
}

func (s *shortest) add(id partitioner.NodeID, wait time.Duration) {
	if s.waits == nil {
		s.waits = make(map[partitioner.NodeID]time.Duration)
	}
	s.looks++
	s.waits[id] = wait
}

// take returns the shortest queue once enough were looked at, or when there is
// nothing else left.
func (s *shortest) take(last bool) (partitioner.NodeID, bool) {
	if len(s.waits) == 0 || (s.looks < lookRound && !last) {
		return "", false
	}
	var best partitioner.NodeID
	for id, wait := range s.waits {
		if best == "" || wait < s.waits[best] {
			best = id
		}
	}
	delete(s.waits, best)
	return best, true
}

// failed says whether the answer is a failure that another try may mend.
func (d *Dispatcher) failed(r Result) bool {
	return r.Response.Status == http.StatusInternalServerError || r.Response.Status == http.StatusBadGateway
}

// again says whether a call may be tried once more after a result.
func (d *Dispatcher) again(c *Call, route *descriptor.Route, res Result, reached int) bool {
	left := c.Deadline.Sub(d.clock.Now())
	if left <= 0 {
		return false
	}
	if !res.Sent {
		return true
	}
	if res.Outcome != NotRun && !c.Idempotent {
		return false
	}
	if reached >= route.Attempts || left < c.Objective/4 {
		return false
	}
	return d.view.AllowRetry(c.Service, res.Outcome != NotRun)
}

// await waits for keys that are about to be served again, as long as that is of use.
func (d *Dispatcher) await(ctx context.Context, c *Call, way *trail, res Result) bool {
	if !c.Divided {
		return false
	}
	switch res.Reason {
	case ReasonNotHeld, ReasonNotOwner:
	default:
		return false
	}
	now := d.clock.Now()
	if now.Sub(way.began) > movePatience || c.Deadline.Sub(now) < c.Objective/4 {
		return false
	}
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (d *Dispatcher) finish(w http.ResponseWriter, c *Call, res Result, arrived timer.Instant, way *trail) {
	now := d.clock.Now()
	left := c.Deadline.Sub(now)
	status := 0
	switch res.Outcome {
	case Answered:
		status = res.Response.Status
		writeAnswer(w, res.Response)
	case NotRun:
		status = http.StatusServiceUnavailable
		retry := min(max(res.Retry, returnAfter(res.Reason)), max(left, leastRetryAfter)/retryShare)
		refuse(w, status, retry)
	default:
		status = http.StatusBadGateway
		if left <= 0 {
			status = http.StatusGatewayTimeout
		}
		w.WriteHeader(status)
	}
	d.counter.ObserveRequest(c.Route, res.Outcome.String(), string(res.Reason), status, now.Sub(arrived))
	if res.Outcome != Answered || status >= http.StatusInternalServerError {
		d.logger.Info().Str("request", c.ID).Str("route", c.Route).Str("service", c.Service).Uint16("key", c.Key).
			Stringer("outcome", res.Outcome).Str("reason", string(res.Reason)).Int("status", status).
			Str("server", string(way.last)).Int("asked", way.asked).Int("reached", way.reached).
			Dur("elapsed", now.Sub(arrived)).Dur("left", left).Msg("request failed")
	}
}

// returnAfter returns the shortest time after which a refused customer comes back.
// Most come back once only, so that too early is too often.
func returnAfter(r Reason) time.Duration {
	switch r {
	case ReasonUnreachable, ReasonNotOwner, ReasonNotHeld, ReasonNoServer, ReasonStopping, ReasonZoneOut:
		return absence
	default:
		return leastRetryAfter
	}
}

// refuse answers that a request has not run, and when to come back.
func refuse(w http.ResponseWriter, status int, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	w.WriteHeader(status)
}
