// Package forwarder looks after the backend server beside a node: it takes its
// heartbeats, admits requests, and runs them. Only this node reaches it.
package forwarder

import (
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"papayapass.dev/papayapass/internal/admitter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/overseer"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/shared/descriptor"
)

const (
	// connectTimeout bounds connecting on one instance.
	connectTimeout = 300 * time.Millisecond
	// maxIdle is how long a connection to the backend server is kept.
	maxIdle = 8 * time.Second
	// maxIdleIdempotent and freshOnce bound the idle time of connections by what may
	// be lost with them: a request that may not run twice is not sent on one that
	// the backend server could have forgotten.
	maxIdleIdempotent    = 8 * time.Second
	maxIdleNonIdempotent = 1500 * time.Millisecond
	// maxResponseBytes is the largest body of an answer.
	maxResponseBytes = 64 << 20
	// maxMissedHeartbeats is how many heartbeats may be missing before the backend server
	// counts as down.
	maxMissedHeartbeats = 4
	// maxFailedConnects is how many connections in a row fail before that.
	maxFailedConnects = 2
	// timedOutShare is the part of its time after which a request counts as having run
	// out of it: the backend server answers so a little before its deadline.
	timedOutShare = 0.95
	// grantWait is how long a request waits at its owner for keys that are about to
	// be granted.
	grantWait = 300 * time.Millisecond
	// grantCheckInterval is the time between looks at them.
	grantCheckInterval = 10 * time.Millisecond
	// sharedStopDelay and stopDivided are how long a stopping node takes requests of
	// others for its backend server: for a shared pool until all know, for keys as
	// long as what it takes can still end.
	sharedStopDelay  = time.Second
	dividedStopDelay = 2500 * time.Millisecond
)

// Node is what the attendant asks of the rest of the node.
type Node interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *descriptor.Configuration
	// ZoneOut says whether operators took the instance's zone out of service, long
	// enough ago for keys to have moved if the request has one.
	ZoneOut(divided bool) bool
	// TriggerHeartbeat has the coordinator told at once.
	TriggerHeartbeat()
}

// Forwarder looks after one backend server.
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
	tracer            *tracer.Tracer
	logger            zerolog.Logger
	started           timer.Instant

	mu              sync.Mutex
	lastHeartbeat   descriptor.Heartbeat
	lastHeartbeatAt timer.Instant
	leaving         bool
	down            bool
	failedConnects  int
	// warmUpUntil is how long the backend server says that it stays cold.
	warmUpUntil timer.Instant
	// stoppedAt is when the node began to stop.
	stoppedAt timer.Instant
	workByKey map[uint16]float32
}

// NewForwarder returns an attendant that has not heard its backend server.
func NewForwarder(address, service string, heartbeatInterval time.Duration, codec dispatcher.HeaderCodec, clock timer.Clock,
	g *granter.Granter, node Node, t *tracer.Tracer, logger zerolog.Logger,
) *Forwarder {
	matches := func(response, request http.Header) bool {
		return codec.MatchesRequest(response, codec.RequestID(request))
	}
	return &Forwarder{
		address: address, service: service, heartbeatInterval: heartbeatInterval, codec: codec, clock: clock, granter: g,
		admitter:  admitter.NewAdmitter(),
		exchanger: exchanger.NewExchanger(address, connectTimeout, maxIdle, maxResponseBytes, matches),
		node:      node, tracer: t, logger: logger, started: clock.Now(), workByKey: make(map[uint16]float32),
	}
}

// Heartbeat takes what the backend server says of itself, and says whether it is
// acknowledged: a report of an earlier life or of another service is not.
func (f *Forwarder) Heartbeat(h descriptor.Heartbeat) bool {
	if h.Service != f.service || h.Address != f.address {
		return false
	}
	now := f.clock.Now()
	f.mu.Lock()
	newStart := h.ID != f.lastHeartbeat.ID || h.StartedAtMillis != f.lastHeartbeat.StartedAtMillis
	if newStart && h.StartedAtMillis < f.lastHeartbeat.StartedAtMillis {
		f.mu.Unlock()
		return false
	}
	if !newStart && h.Sequence < f.lastHeartbeat.Sequence {
		f.mu.Unlock()
		return true
	}
	if newStart {
		f.leaving = false
	}
	changed := newStart || f.down || (h.Draining && !f.leaving)
	f.lastHeartbeat, f.lastHeartbeatAt, f.down, f.failedConnects = h, now, false, 0
	f.leaving = f.leaving || h.Draining
	f.mu.Unlock()
	f.setWarmUp(now, h.WarmUpRemaining)
	f.admitter.SetSlots(h.Slots)
	if changed {
		f.logger.Info().Str("server", h.ID).Int64("born", h.StartedAtMillis).Bool("draining", h.Draining).
			Dur("coldFor", h.WarmUpRemaining).Int64("sequence", h.Sequence).Msg("backend server changed")
		f.granter.SetServer(f.Server())
		f.node.TriggerHeartbeat()
	}
	return true
}

// setWarmUp tells the admitter how long the backend server stays cold. Without a
// configuration its rate is not known, and it gets nothing while it is cold.
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

// ZoneReturned tells that operators took the zone back into service. Its backend
// servers may have become cold meanwhile: this one counts as cold until its next
// heartbeat says otherwise.
func (f *Forwarder) ZoneReturned() {
	f.setWarmUp(f.clock.Now(), maxMissedHeartbeats*f.heartbeatInterval)
}

// ApplyConfiguration takes what a new configuration says of the backend server's service.
func (f *Forwarder) ApplyConfiguration() {
	rate := 0.0
	if cfg := f.node.Configuration(); cfg != nil {
		rate = cfg.Services[f.service].WarmUpRate
	}
	f.mu.Lock()
	until := f.warmUpUntil
	f.mu.Unlock()
	f.admitter.SetCold(until, rate)
	f.granter.SetServer(f.Server())
}

// Leave takes the word of the backend server that it is gone for new work.
func (f *Forwarder) Leave(id string) {
	f.mu.Lock()
	if id != f.lastHeartbeat.ID {
		f.mu.Unlock()
		return
	}
	changed := !f.leaving
	f.leaving = true
	f.mu.Unlock()
	if changed {
		f.logger.Info().Str("server", id).Msg("backend server leaves")
		f.granter.SetServer(f.Server())
		f.node.TriggerHeartbeat()
	}
}

// Server returns what is known of the backend server.
func (f *Forwarder) Server() partitioner.Server {
	cfg := f.node.Configuration()
	f.mu.Lock()
	defer f.mu.Unlock()
	s := partitioner.Server{ID: f.lastHeartbeat.ID, StartedAtMillis: f.lastHeartbeat.StartedAtMillis, Service: f.service, Slots: f.lastHeartbeat.Slots, Leaving: f.leaving, Down: f.down}
	if cfg != nil {
		s.Divided = cfg.Services[f.service].Divided
	}
	return s
}

// FillHeartbeat fills in what the coordinator is told of the backend server.
func (f *Forwarder) FillHeartbeat(b *overseer.Heartbeat) {
	b.Member.Server = f.Server()
	if b.Stopping && !b.Member.Server.Divided {
		b.Member.Server.Leaving = true
	}
	f.FillLoad(b)
	now := f.clock.Now()
	b.Released = f.granter.Released(now)
	b.GrantInDoubt = f.granter.GrantInDoubt(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, w := range f.workByKey {
		b.Work = append(b.Work, overseer.KeyWork{Key: key, Work: w})
	}
	clear(f.workByKey)
}

// Stop has the other nodes send nothing more, as the node is about to end.
func (f *Forwarder) Stop() {
	f.mu.Lock()
	f.stoppedAt = f.clock.Now()
	f.mu.Unlock()
	f.node.TriggerHeartbeat()
}

// stopped says whether a stopping node takes no more requests for a backend server.
func (f *Forwarder) stopped(divided bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := sharedStopDelay
	if divided {
		limit = dividedStopDelay
	}
	return f.stoppedAt > 0 && f.clock.Now().Sub(f.stoppedAt) > limit
}

// Load returns the requests that run at the backend server and that wait for it.
func (f *Forwarder) Load() (running, waiting int) { return f.admitter.Counts() }

// FillLoad fills in the load of the backend server.
func (f *Forwarder) FillLoad(b *overseer.Heartbeat) {
	b.Cold = f.admitter.Cold(f.clock.Now())
	b.Running, b.Waiting = f.admitter.Counts()
	b.MeanDuration = f.admitter.Mean()
}

// Tick looks whether the backend server is still heard, and lets waiting requests
// start that may.
func (f *Forwarder) Tick() {
	now := f.clock.Now()
	f.admitter.Tick(now)
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

// connectFailed counts connections that the backend server did not take.
func (f *Forwarder) connectFailed() {
	f.mu.Lock()
	f.failedConnects++
	changed := f.failedConnects >= maxFailedConnects && !f.down
	f.down = f.down || changed
	f.mu.Unlock()
	if changed {
		f.reportDown("no connection")
	}
}
