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
	// serverConnect bounds connecting on one instance.
	serverConnect = 300 * time.Millisecond
	// serverIdle is how long a connection to the backend server is kept.
	serverIdle = 8 * time.Second
	// freshIdempotent and freshOnce bound the idle time of connections by what may
	// be lost with them: a request that may not run twice is not sent on one that
	// the backend server could have forgotten.
	freshIdempotent = 8 * time.Second
	freshOnce       = 1500 * time.Millisecond
	// maxAnswer is the largest body of an answer.
	maxAnswer = 64 << 20
	// missedBeats is how many heartbeats may be missing before the backend server
	// counts as down.
	missedBeats = 4
	// refusedForDown is how many connections in a row fail before that.
	refusedForDown = 2
	// outOfTimeShare is the part of its time after which a request counts as having run
	// out of it: the backend server answers so a little before its deadline.
	outOfTimeShare = 0.95
	// holdWait is how long a request waits at its owner for keys that are about to
	// be granted.
	holdWait = 300 * time.Millisecond
	// holdCheck is the time between looks at them.
	holdCheck = 10 * time.Millisecond
	// stopShared and stopDivided are how long a stopping node takes requests of
	// others for its backend server: for a shared pool until all know, for keys as
	// long as what it takes can still end.
	stopShared  = time.Second
	stopDivided = 2500 * time.Millisecond
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
	address   string
	service   string
	heartbeat time.Duration
	dialect   dispatcher.HeaderCodec
	clock     timer.Clock
	granter   *granter.Granter
	admitter  *admitter.Admitter
	exchanger *exchanger.Exchanger
	around    Node
	tracer    *tracer.Tracer
	logger    zerolog.Logger
	started   timer.Instant

	mu       sync.Mutex
	last     descriptor.Heartbeat
	heard    timer.Instant
	leaving  bool
	down     bool
	refusals int
	// coldUntil is how long the backend server says that it stays cold.
	coldUntil timer.Instant
	// stoppedAt is when the node began to stop.
	stoppedAt timer.Instant
	work      map[uint16]float32
}

// NewForwarder returns an attendant that has not heard its backend server.
func NewForwarder(address, service string, heartbeat time.Duration, dialect dispatcher.HeaderCodec, clock timer.Clock,
	g *granter.Granter, around Node, t *tracer.Tracer, logger zerolog.Logger,
) *Forwarder {
	belongs := func(answer, request http.Header) bool {
		return dialect.MatchesRequest(answer, dialect.RequestID(request))
	}
	return &Forwarder{
		address: address, service: service, heartbeat: heartbeat, dialect: dialect, clock: clock, granter: g,
		admitter:  admitter.NewAdmitter(),
		exchanger: exchanger.NewExchanger(address, serverConnect, serverIdle, maxAnswer, belongs),
		around:    around, tracer: t, logger: logger, started: clock.Now(), work: make(map[uint16]float32),
	}
}

// Heartbeat takes what the backend server says of itself, and says whether it is
// acknowledged: a report of an earlier life or of another service is not.
func (a *Forwarder) Heartbeat(h descriptor.Heartbeat) bool {
	if h.Service != a.service || h.Address != a.address {
		return false
	}
	now := a.clock.Now()
	a.mu.Lock()
	newLife := h.ID != a.last.ID || h.StartedAtMillis != a.last.StartedAtMillis
	if newLife && h.StartedAtMillis < a.last.StartedAtMillis {
		a.mu.Unlock()
		return false
	}
	if !newLife && h.Sequence < a.last.Sequence {
		a.mu.Unlock()
		return true
	}
	if newLife {
		a.leaving = false
	}
	changed := newLife || a.down || (h.Draining && !a.leaving)
	a.last, a.heard, a.down, a.refusals = h, now, false, 0
	a.leaving = a.leaving || h.Draining
	a.mu.Unlock()
	a.setCold(now, h.WarmUpRemaining)
	a.admitter.SetSlots(h.Slots)
	if changed {
		a.logger.Info().Str("server", h.ID).Int64("born", h.StartedAtMillis).Bool("draining", h.Draining).
			Dur("coldFor", h.WarmUpRemaining).Int64("sequence", h.Sequence).Msg("backend server changed")
		a.granter.SetServer(a.Server())
		a.around.TriggerHeartbeat()
	}
	return true
}

// setCold tells the admitter how long the backend server stays cold. Without a
// configuration its rate is not known, and it gets nothing while it is cold.
func (a *Forwarder) setCold(now timer.Instant, left time.Duration) {
	until := timer.Instant(0)
	if left > 0 {
		until = now.Add(left)
	}
	a.mu.Lock()
	a.coldUntil = until
	a.mu.Unlock()
	a.ApplyConfiguration()
}

// ZoneReturned tells that operators took the zone back into service. Its backend
// servers may have become cold meanwhile: this one counts as cold until its next
// heartbeat says otherwise.
func (a *Forwarder) ZoneReturned() {
	a.setCold(a.clock.Now(), missedBeats*a.heartbeat)
}

// ApplyConfiguration takes what a new configuration says of the backend server's service.
func (a *Forwarder) ApplyConfiguration() {
	rate := 0.0
	if cfg := a.around.Configuration(); cfg != nil {
		rate = cfg.Services[a.service].WarmUpRate
	}
	a.mu.Lock()
	until := a.coldUntil
	a.mu.Unlock()
	a.admitter.SetCold(until, rate)
	a.granter.SetServer(a.Server())
}

// Leave takes the word of the backend server that it is gone for new work.
func (a *Forwarder) Leave(id string) {
	a.mu.Lock()
	if id != a.last.ID {
		a.mu.Unlock()
		return
	}
	changed := !a.leaving
	a.leaving = true
	a.mu.Unlock()
	if changed {
		a.logger.Info().Str("server", id).Msg("backend server leaves")
		a.granter.SetServer(a.Server())
		a.around.TriggerHeartbeat()
	}
}

// Server returns what is known of the backend server.
func (a *Forwarder) Server() partitioner.Server {
	cfg := a.around.Configuration()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := partitioner.Server{ID: a.last.ID, StartedAtMillis: a.last.StartedAtMillis, Service: a.service, Slots: a.last.Slots, Leaving: a.leaving, Down: a.down}
	if cfg != nil {
		s.Divided = cfg.Services[a.service].Divided
	}
	return s
}

// FillHeartbeat fills in what the coordinator is told of the backend server.
func (a *Forwarder) FillHeartbeat(b *overseer.Heartbeat) {
	b.Member.Server = a.Server()
	if b.Stopping && !b.Member.Server.Divided {
		b.Member.Server.Leaving = true
	}
	a.FillLoad(b)
	now := a.clock.Now()
	b.Released = a.granter.Released(now)
	b.GrantInDoubt = a.granter.GrantInDoubt(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, w := range a.work {
		b.Work = append(b.Work, overseer.KeyWork{Key: key, Work: w})
	}
	clear(a.work)
}

// Stop has the other nodes send nothing more, as the node is about to end.
func (a *Forwarder) Stop() {
	a.mu.Lock()
	a.stoppedAt = a.clock.Now()
	a.mu.Unlock()
	a.around.TriggerHeartbeat()
}

// stopped says whether a stopping node takes no more requests for a backend server.
func (a *Forwarder) stopped(divided bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := stopShared
	if divided {
		limit = stopDivided
	}
	return a.stoppedAt > 0 && a.clock.Now().Sub(a.stoppedAt) > limit
}

// Load returns the requests that run at the backend server and that wait for it.
func (a *Forwarder) Load() (running, waiting int) { return a.admitter.Counts() }

// FillLoad fills in the load of the backend server.
func (a *Forwarder) FillLoad(b *overseer.Heartbeat) {
	b.Cold = a.admitter.Cold(a.clock.Now())
	b.Running, b.Waiting = a.admitter.Counts()
	b.MeanDuration = a.admitter.Mean()
}

// Tick looks whether the backend server is still heard, and lets waiting requests
// start that may.
func (a *Forwarder) Tick() {
	now := a.clock.Now()
	a.admitter.Tick(now)
	a.mu.Lock()
	silent := now.Sub(max(a.heard, a.started)) > missedBeats*a.heartbeat
	changed := silent && !a.down
	a.down = a.down || silent
	a.mu.Unlock()
	if changed {
		a.wentDown("no heartbeat")
	}
}

func (a *Forwarder) wentDown(cause string) {
	a.logger.Warn().Str("cause", cause).Str("server", a.Server().ID).Msg("backend server is down")
	a.granter.SetServer(a.Server())
	a.around.TriggerHeartbeat()
}

// refused counts connections that the backend server did not take.
func (a *Forwarder) refused() {
	a.mu.Lock()
	a.refusals++
	changed := a.refusals >= refusedForDown && !a.down
	a.down = a.down || changed
	a.mu.Unlock()
	if changed {
		a.wentDown("no connection")
	}
}
