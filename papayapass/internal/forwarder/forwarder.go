// Package forwarder admits requests and forwards them to the local backend server, whose
// heartbeats it receives. No other node connects to that server.
package forwarder

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/admitter"
	"papayapass.dev/papayapass/internal/classifier"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/quarantiner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

const (
	// connectTimeout limits connecting to the local backend server.
	connectTimeout = 300 * time.Millisecond
	// maxIdle is the longest time that an idle connection to the backend server is kept.
	maxIdle = 8 * time.Second
	// maxIdleIdempotent and maxIdleNonIdempotent limit the idle time of a connection
	// before it is used again. A request that must not run twice is not sent on a
	// connection that the backend server may have closed.
	maxIdleIdempotent    = 8 * time.Second
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// maxResponseBytes is the largest body of a response.
	maxResponseBytes = 64 << 20
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which the backend server counts as down.
	maxMissedHeartbeats = 4
	// maxFailedConnects is the number of failed connects in a row after which the backend
	// server counts as down.
	maxFailedConnects = 2
	// timedOutShare is the fraction of its time after which a request counts as timed out:
	// the backend server responds with a time-out a little before the deadline.
	timedOutShare = 0.95
	// grantWait is how much longer than expected a request waits for its key at the owner,
	// and arrivalWait at a node to which the key is moving.
	grantWait   = 300 * time.Millisecond
	arrivalWait = 1500 * time.Millisecond
	// grantCheckInterval is the longest time between checks for the grant; it covers the
	// time that a backend server takes to apply one.
	grantCheckInterval = 25 * time.Millisecond
	// streamSlotDivisor sets the part of the slots for requests whose bodies still arrive.
	streamSlotDivisor = 4
	// streamRetry is the expected time until such a request ends.
	streamRetry = time.Second
	// sharedStopDelay and dividedStopDelay are how long a stopping node accepts requests
	// for its backend server: in a shared pool until all nodes know of the stop, for keys
	// as long as an accepted request can still finish.
	sharedStopDelay  = time.Second
	dividedStopDelay = 2500 * time.Millisecond
)

// Node is what the forwarder needs from the rest of the node.
type Node interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *descriptor.Configuration
	// ZoneOut reports whether operators took the instance's zone out of service; for
	// requests with keys, whether this was long enough ago for the keys to have moved.
	ZoneOut(divided bool) bool
	// TriggerHeartbeat sends a heartbeat to the coordinator without delay.
	TriggerHeartbeat()
}

// StartMonitor tells starts of the backend server apart.
type StartMonitor interface {
	// Observe records that a start has just been heard over a connection.
	Observe(id string, startedAtMillis int64, sender net.Conn)
}

// Forwarder forwards requests to one backend server.
type Forwarder struct {
	address           string
	service           string
	heartbeatInterval time.Duration
	codec             dispatcher.HeaderCodec
	clock             timer.Clock
	granter           *granter.Granter
	admitter          *admitter.Admitter
	exchanger         *exchanger.Exchanger
	node              Node
	monitor           StartMonitor
	tracer            *tracer.Tracer
	logger            zerolog.Logger
	started           timer.Instant
	// timeOfDay returns the Unix time in milliseconds.
	timeOfDay func() int64

	mu              sync.Mutex
	lastHeartbeat   descriptor.Heartbeat
	lastHeartbeatAt timer.Instant
	late            lateHeartbeats
	leaving         leaving
	down            bool
	failedConnects  int
	// warmUpUntil is when the backend server's warm-up ends by its own account.
	warmUpUntil timer.Instant
	// stoppingSince is when the node started to stop.
	stoppingSince timer.Instant
	workByKey     map[uint16]float32
	notice        serverNotice
	ending        ending
	quarantine    *quarantiner.Quarantine
	classifier    *classifier.Classifier
	// sent counts all requests sent to the backend server.
	sent atomic.Uint64
	// streams counts the requests whose bodies are passed on while they arrive.
	streams atomic.Int64
	// ends counts the ends of backend servers that cut off requests.
	ends atomic.Uint64
}

// NewForwarder returns a forwarder that has not received a heartbeat yet.
func NewForwarder(address, service string, heartbeatInterval time.Duration, codec dispatcher.HeaderCodec, clock timer.Clock,
	g *granter.Granter, node Node, t *tracer.Tracer, logger zerolog.Logger,
) *Forwarder {
	matches := func(response, request http.Header) bool {
		return codec.MatchesRequest(response, codec.RequestID(request))
	}
	return &Forwarder{
		address: address, service: service, heartbeatInterval: heartbeatInterval, codec: codec, clock: clock, granter: g,
		admitter:  admitter.NewAdmitter(clock.Now()),
		exchanger: exchanger.NewExchanger(address, connectTimeout, maxIdle, maxResponseBytes, matches),
		node:      node, tracer: t, logger: logger, started: clock.Now(), workByKey: make(map[uint16]float32),
		quarantine: quarantiner.NewQuarantine(clock), classifier: classifier.NewClassifier(service),
		timeOfDay: func() int64 { return time.Now().UnixMilli() },
	}
}

// Heartbeat handles a heartbeat of the backend server that came over a connection. The second result
// reports whether it is acknowledged: one from an earlier start, another service or another address is
// not.
func (f *Forwarder) Heartbeat(h descriptor.Heartbeat, sender net.Conn) (descriptor.HeartbeatReply, bool) {
	if h.Service != f.service || h.Address != f.address {
		return descriptor.HeartbeatReply{}, false
	}
	now := f.clock.Now()
	f.mu.Lock()
	newStart := !f.lastHeartbeat.SameStart(h.ID, h.StartedAtMillis)
	if f.isLate(h, now) {
		f.mu.Unlock()
		if h.Draining {
			f.markLeaving(partitioner.Server{ID: h.ID, StartedAtMillis: h.StartedAtMillis})
		}
		return descriptor.HeartbeatReply{}, !newStart // what it lists may have changed
	}
	if newStart {
		f.ending.confirm(f.lastHeartbeat, "next start", now, maxMissedHeartbeats*f.heartbeatInterval)
		f.leaving.start(h)
		f.notice = serverNotice{}
		f.applyRateLimit(now)
	}
	changed := newStart || f.down || (h.Draining && !f.leaving.now) || f.leaving.goOn(h, now)
	f.lastHeartbeat, f.lastHeartbeatAt, f.down, f.failedConnects = h, now, false, 0
	f.leaving.now = f.leaving.now || h.Draining
	f.mu.Unlock()
	if f.monitor != nil && f.mayGrantByCall() {
		f.monitor.Observe(h.ID, h.StartedAtMillis, sender)
	}
	f.setWarmUp(now, h.WarmUpRemaining)
	f.admitter.SetSlots(h.Slots)
	if changed {
		f.logger.Info().Str("server", h.ID).Int64("born", h.StartedAtMillis).Bool("draining", h.Draining).
			Dur("coldFor", h.WarmUpRemaining).Int64("sequence", h.Sequence).Msg("backend server changed")
		f.granter.SetServer(f.Server())
		f.node.TriggerHeartbeat()
	}
	return f.grantKeys(h, now), true
}

// Limit makes a limit hold for the connections of requests to the backend server; it must be called before the
// first request.
func (f *Forwarder) Limit(l *exchanger.ConnectionLimit) { f.exchanger.Limit(l) }

// SetStartMonitor sets what tells starts of the backend server apart; it must be called before the first
// heartbeat.
func (f *Forwarder) SetStartMonitor(m StartMonitor) { f.monitor = m }

// mayGrantByCall reports whether keys may be granted with calls to the backend server.
func (f *Forwarder) mayGrantByCall() bool {
	cfg := f.node.Configuration()
	return (cfg == nil || cfg.Services[f.service].Divided) && f.granter.IsByCall()
}

// grantKeys returns the response to a heartbeat that lists keys.
func (f *Forwarder) grantKeys(h descriptor.Heartbeat, now timer.Instant) descriptor.HeartbeatReply {
	r := f.granter.HandleHeartbeat(h.Sequence, h.Keys, now)
	if r.Released {
		f.node.TriggerHeartbeat()
	}
	if r.Omitted > 0 {
		f.logger.Warn().Str("server", h.ID).Int("omitted", r.Omitted).Int("granted", len(r.Reply.Grants.Ranges)).
			Msg("too many ranges for one heartbeat response, the rest is not granted")
	}
	return r.Reply
}

// setWarmUp sets how long the backend server is still warming up. Without a configuration
// the warm-up rate is unknown, and the server gets no requests until a configuration
// arrives or the warm-up ends.
func (f *Forwarder) setWarmUp(now timer.Instant, left time.Duration) {
	until := timer.Instant(0)
	if left > 0 {
		until = now.Add(left)
	}
	f.mu.Lock()
	f.warmUpUntil = until
	f.mu.Unlock()
	f.ApplyConfiguration()
}

// ZoneReturned handles a zone that operators put back into service. The backend server may
// have become cold meanwhile, so it counts as warming up until its next heartbeat.
func (f *Forwarder) ZoneReturned() {
	f.setWarmUp(f.clock.Now(), maxMissedHeartbeats*f.heartbeatInterval)
}

// ApplyConfiguration applies the warm-up rate and the way of granting that a new
// configuration sets for the service.
func (f *Forwarder) ApplyConfiguration() {
	rate := 0.0
	if cfg := f.node.Configuration(); cfg != nil {
		s := cfg.Services[f.service]
		rate = s.WarmUpRate
		if s.Grants != "" {
			f.granter.SetMethod(s.Grants)
		}
	}
	f.mu.Lock()
	until := f.warmUpUntil
	f.mu.Unlock()
	f.admitter.SetWarmUp(until, rate)
	f.granter.SetServer(f.Server())
}

// Server returns what is known of the backend server.
func (f *Forwarder) Server() partitioner.Server {
	cfg := f.node.Configuration()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := partitioner.Server{ID: f.lastHeartbeat.ID, StartedAtMillis: f.lastHeartbeat.StartedAtMillis, Service: f.service, Slots: f.lastHeartbeat.Slots, Leaving: f.leaving.now, Down: f.down}
	if left := f.leaving.left; s.ID == "" && left.ID != "" {
		s.ID, s.StartedAtMillis, s.Slots, s.Leaving = left.ID, left.StartedAtMillis, left.Slots, true
	}
	if cfg != nil {
		s.Divided = cfg.Services[f.service].Divided
	}
	return s
}

// namedServer returns the backend server as the coordinator may know it: the former start, which is
// down, while the present one may hold keys by grants for it.
func (f *Forwarder) namedServer() partitioner.Server {
	s := f.Server()
	if former, ok := f.granter.FormerStart(f.clock.Now()); ok {
		s.ID, s.StartedAtMillis, s.Down = former.ID, former.StartedAtMillis, true
	}
	return s
}

// FillHeartbeat fills in the backend server's part of a heartbeat to the coordinator.
func (f *Forwarder) FillHeartbeat(h *overseer.Heartbeat) {
	h.Member.Server = f.namedServer()
	if s := &h.Member.Server; h.Stopping && !s.Divided && !s.Leaving {
		s.Leaving, s.NodeStopping = true, true
	}
	f.FillLoad(h)
	now := f.clock.Now()
	h.Released = f.granter.Released(now)
	h.GrantInDoubt = f.granter.GrantInDoubt(now)
	h.Suspects = f.quarantine.Unpublished()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, w := range f.workByKey {
		h.Work = append(h.Work, overseer.KeyWork{Key: key, Work: w})
	}
	clear(f.workByKey)
}

// Stop announces that the node is stopping, so that other nodes send it no more requests.
func (f *Forwarder) Stop() {
	f.mu.Lock()
	f.stoppingSince = f.clock.Now()
	f.mu.Unlock()
	f.node.TriggerHeartbeat()
}

// stopped reports whether a stopping node no longer accepts requests for its backend
// server.
func (f *Forwarder) stopped(divided bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := sharedStopDelay
	if divided {
		limit = dividedStopDelay
	}
	return f.stoppingSince > 0 && f.clock.Now().Sub(f.stoppingSince) > limit
}

// Load returns the numbers of requests running at the backend server and waiting for it.
func (f *Forwarder) Load() (running, waiting int) { return f.admitter.Counts() }

// FillLoad fills in the load of the backend server.
func (f *Forwarder) FillLoad(h *overseer.Heartbeat) {
	h.WarmingUp = f.admitter.WarmingUp(f.clock.Now())
	h.Running, h.Waiting = f.admitter.Counts()
	h.MeanDuration, h.RateLimit = f.admitter.Mean(), f.admitter.RateLimit()
}

// Tick marks the backend server as down if its heartbeats are missing, and starts waiting
// requests that may run.
func (f *Forwarder) Tick() {
	now := f.clock.Now()
	f.admitter.Tick(now)
	f.reportLimit(now)
	f.reportEnd(now)
	f.mu.Lock()
	silent := now.Sub(max(f.lastHeartbeatAt, f.started)) > maxMissedHeartbeats*f.heartbeatInterval
	changed := silent && !f.down
	f.down = f.down || silent
	f.mu.Unlock()
	if changed {
		f.reportDown("no heartbeat")
	}
}

func (f *Forwarder) reportDown(cause string) {
	f.logger.Warn().Str("cause", cause).Str("server", f.Server().ID).Msg("backend server is down")
	f.granter.SetServer(f.Server())
	f.node.TriggerHeartbeat()
}

// connectFailed counts a failed connect to the backend server.
func (f *Forwarder) connectFailed(err error) {
	f.mu.Lock()
	if errors.Is(err, exchanger.ErrRefused) {
		f.ending.confirm(f.lastHeartbeat, "connection refused", f.clock.Now(), maxMissedHeartbeats*f.heartbeatInterval)
	}
	f.failedConnects++
	changed := f.failedConnects >= maxFailedConnects && !f.down
	f.down = f.down || changed
	f.mu.Unlock()
	if changed {
		f.reportDown("no connection")
	}
}
