package launcher

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/dispatcher"
	"papayapass.dev/papayapass/internal/drainer"
	"papayapass.dev/papayapass/internal/enveloper"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/forwarder"
	"papayapass.dev/papayapass/internal/granter"
	"papayapass.dev/papayapass/internal/meter"
	"papayapass.dev/papayapass/internal/participant"
	"papayapass.dev/papayapass/internal/partitioner"
	"papayapass.dev/papayapass/internal/pipeliner"
	"papayapass.dev/papayapass/internal/summarizer"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/validator"
	"papayapass.dev/shared/descriptor"
)

// Adapter is the code that adapts a node to a platform.
type Adapter struct {
	Store           func(address string, transport http.RoundTripper) participant.Store
	HeaderCodec     dispatcher.HeaderCodec
	StoreLayout     participant.StoreLayout
	GrantAPI        GrantAPI
	ReadyPath       string
	HeartbeatPath   string
	DecodeHeartbeat func(path string, body []byte) (descriptor.Heartbeat, error)
	DecodeLeave     func(path string) string
	// EncodeHeartbeatReply encodes the response to a heartbeat, of at most
	// MaxHeartbeatReplyBytes; GrantBytes is the size of one range in it.
	EncodeHeartbeatReply   func(descriptor.HeartbeatReply) []byte
	MaxHeartbeatReplyBytes int
	GrantBytes             func(descriptor.GrantedRange) int
	// SampleHeaders are headers of requests and responses as JSON, for the compression
	// dictionary of messages between nodes.
	SampleHeaders string
}

const (
	// logRingLines is the size of the ring buffer of log lines for standard output. A full
	// buffer drops lines and counts them.
	logRingLines = 4096
	// logPollInterval is the time between reads of the ring buffer.
	logPollInterval = 200 * time.Millisecond
	// headerTimeout limits how long a client may take to send a header, unless the configuration
	// has a limit for customers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long connections may stay idle, with the same exception. It exceeds the
	// longest time that operators let customers' connections stay idle.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes is the largest header of a request.
	maxHeaderBytes = 64 << 10
	// maxHeartbeatBytes is the largest body of a heartbeat.
	maxHeartbeatBytes = 64 << 10
	// memoryLimitShare is the fraction of the memory at which the garbage collector works
	// harder.
	memoryLimitShare = 0.55
	// heartbeatReplyReserve is the part of a heartbeat's response that is not ranges.
	heartbeatReplyReserve = 96
	// lameDuckDuration is how long a stopping node still accepts requests: the platform
	// checks readiness once a second and acts after two results.
	lameDuckDuration = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that is kept for the end of the process.
	stopReserve = 300 * time.Millisecond
	// answerReserve is the part before it in which requests that are still in flight are answered.
	answerReserve = 200 * time.Millisecond
)

// Run runs a node until ctx is done, then stops it gracefully.
//
// The settings file is read again on SIGHUP and at intervals, as it may change without a
// signal.
func Run(ctx context.Context, path string, a Adapter) error {
	s, err := ReadSettings(path)
	if err != nil {
		return err
	}
	out := diode.NewWriter(os.Stdout, logRingLines, logPollInterval, func(missed int) {
		// The ring buffer is full: write around it, in the format of all log lines.
		_, _ = os.Stderr.WriteString(`{"level":"warn","message":"log lines dropped","count":` + strconv.Itoa(missed) + "}\n")
	})
	defer func() { _ = out.Close() }() // the log is closed, so an error cannot be logged
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	zerolog.DurationFieldUnit = time.Millisecond
	zerolog.ErrorMarshalFunc = func(err error) any { return validator.Excerpt(err.Error()) }
	logger := zerolog.New(out).With().Timestamp().Str("node", s.Node.ID).Logger()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	t, err := tracer.NewTracer(ctx, s.Trace.Endpoint, s.Trace.Share, s.Node.ID)
	if err != nil {
		return err
	}
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopReserve)
		defer cancel()
		if err := t.Stop(ctx); err != nil {
			logger.Warn().Err(err).Msg("the last spans were not exported")
		}
	}()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Node.MemoryMB) * (1 << 20)))
	n := newNode(s, a, t, logger)
	return n.run(ctx, newReloader(path, s, n, hangUps))
}

// node holds the parts of a node.
type node struct {
	settings    *Settings
	adapter     Adapter
	logger      zerolog.Logger
	timers      *timer.Service
	participant *participant.Participant
	forwarder   *forwarder.Forwarder
	meter       *meter.Meter
	enveloper   *enveloper.Enveloper
	memory      *budgeter.Budget
	doors       *doors
	// outgoing limits the connections of requests to other nodes. Those of control calls and to the backend
	// server, in inner, are limited by the members and the slots.
	outgoing, inner *exchanger.ConnectionLimit
	dispatcher      *dispatcher.Dispatcher
	drainers        []*drainer.Drainer
	tracer          *tracer.Tracer
}

func newNode(s *Settings, a Adapter, t *tracer.Tracer, logger zerolog.Logger) *node {
	n := &node{tracer: t, settings: s, adapter: a, logger: logger, timers: timer.NewService(timer.BootClock{}), meter: meter.NewMeter()}
	self := partitioner.Member{ID: partitioner.NodeID(s.Node.ID), Address: s.peersAddress(), Zone: s.Node.Zone, Cores: float64(s.Node.Cores)}
	g := granter.NewGranter(self.ID, time.Duration(s.Bounds.HoldMax), n.timers.Now())
	g.SetMethod(s.Node.Grants)
	g.SetReplyLimit(granter.ReplyLimit{Bytes: a.MaxHeartbeatReplyBytes - heartbeatReplyReserve, RangeBytes: a.GrantBytes})
	store := a.Store(s.Store.Address, newStoreTransport())
	n.enveloper = enveloper.NewEnveloper(dictionary(a.SampleHeaders))
	n.memory = budgeter.NewBudget(s.bodyMemory())
	n.outgoing, n.inner = exchanger.NewConnectionLimit(s.outgoingConnections()), exchanger.NewConnectionLimit(math.MaxInt)
	newPeer := func(address string) *dispatcher.Peer {
		return dispatcher.NewPeer(address, n.timers, n.enveloper).Limit(n.outgoing)
	}
	incarnation := uint64(time.Now().UnixNano())
	n.participant = participant.NewParticipant(self, incarnation, store, a.StoreLayout, s.bounds(), n.timers, g, newPeer, logger)
	n.forwarder = forwarder.NewForwarder(s.Node.Server, s.Node.Service, time.Duration(s.Bounds.Heartbeat), a.HeaderCodec, n.timers, g, n.participant, t, logger)
	c := newClient(a.GrantAPI, s.Node.Server, n.enveloper)
	c.memory, c.connections = budgeter.NewBudget(s.controlMemory()), n.inner
	c.monitor, c.logger = exchanger.NewStartMonitor(s.Node.Server, controlConnectTimeout), logger
	n.forwarder.Limit(n.inner)
	n.forwarder.SetStartMonitor(c)
	n.participant.Attach(n.forwarder, c)
	n.doors = n.newDoors()
	n.addGauges()
	return n
}

// newStoreTransport returns the transport of calls to the store.
func newStoreTransport() *http.Transport {
	dialer := exchanger.NewDialer(controlConnectTimeout)
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: controlMaxIdle, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// addGauges adds the node's status to its metrics.
func (n *node) addGauges() {
	gauge := func(name string, read func(participant.Status) float64) {
		n.meter.Gauge(name, func() float64 { return read(n.participant.Status()) })
	}
	gauge("papayapass_epoch", func(s participant.Status) float64 { return float64(s.Epoch) })
	gauge("papayapass_table_version", func(s participant.Status) float64 { return float64(s.TableVersion) })
	gauge("papayapass_configuration_version", func(s participant.Status) float64 { return float64(s.ConfigurationVersion) })
	gauge("papayapass_configuration_age_seconds", func(s participant.Status) float64 { return s.ConfigurationAge.Seconds() })
	gauge("papayapass_store_era", func(s participant.Status) float64 { return float64(s.StoreEra) })
	gauge("papayapass_coordinates", func(s participant.Status) float64 { return boolToFloat(s.IsCoordinator) })
	gauge("papayapass_coordinator_silent_seconds", func(s participant.Status) float64 { return s.CoordinatorSilence.Seconds() })
	gauge("papayapass_lease_left_seconds", func(s participant.Status) float64 { return s.LeaseLeft.Seconds() })
	gauge("papayapass_keys_held", func(s participant.Status) float64 { return float64(s.KeysHeld) })
	n.meter.Gauge("papayapass_running", func() float64 { running, _ := n.forwarder.Load(); return float64(running) })
	n.meter.Gauge("papayapass_waiting", func() float64 { _, waiting := n.forwarder.Load(); return float64(waiting) })
	n.meter.Gauge("papayapass_server_requests", func() float64 { _, sent := n.forwarder.Notice(); return float64(sent) })
	n.meter.Gauge("papayapass_server_rate_limit", func() float64 { notice, _ := n.forwarder.Notice(); return notice.RateLimit })
	n.meter.Gauge("papayapass_server_leaving", func() float64 { notice, _ := n.forwarder.Notice(); return boolToFloat(notice.Leaving) })
	n.meter.Gauge("papayapass_server_ends", func() float64 { return float64(n.forwarder.Ends()) })
	n.meter.Gauge("papayapass_quota_shards", func() float64 { return float64(n.participant.QuotaStats().ShardsOwned) })
	for result, read := range map[string]func(participant.QuotaStats) uint64{
		"asked":       func(s participant.QuotaStats) uint64 { return s.Asked },
		"granted":     func(s participant.QuotaStats) uint64 { return s.Granted },
		"denied":      func(s participant.QuotaStats) uint64 { return s.Denied },
		"unreachable": func(s participant.QuotaStats) uint64 { return s.Unreachable },
	} {
		n.meter.Gauge(`papayapass_quota_charges{result="`+result+`"}`, func() float64 { return float64(read(n.participant.QuotaStats())) })
	}
	n.meter.Gauge("papayapass_pool_report_age_seconds", func() float64 { return n.participant.PoolReportAge().Seconds() })
	n.meter.Gauge("papayapass_pool_misses", func() float64 { return float64(n.participant.PoolMisses()) })
	n.meter.Gauge("papayapass_body_bytes", func() float64 { return float64(n.memory.Used()) })
	n.meter.Gauge("papayapass_outgoing_connections", func() float64 { return float64(n.outgoing.Open() + n.inner.Open()) })
	n.meter.Gauge("papayapass_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *node) run(ctx context.Context, r *reloader) error {
	runCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, runCtx := errgroup.WithContext(runCtx)
	// requests ends shortly before the process does, so that what is still in flight gets an answer.
	requests, endRequests := context.WithCancel(context.WithoutCancel(ctx))
	defer endRequests()
	summaries := summarizer.NewSummarizer(meter.NewRouteMeter(n.meter), n.logger)
	n.dispatcher = dispatcher.NewDispatcher(n.participant, n.adapter.HeaderCodec, n.timers, n.settings.Node.Service, summaries, n.doors.customers.guard.Bodies, n.tracer, n.logger)
	n.dispatcher.SetQuota(n.participant)
	n.dispatcher.SetLargestKeptBody(int64(keptBodyShare * float64(n.doors.customers.guard.Bodies.Limit())))
	n.meter.Gauge("papayapass_large_bodies", func() float64 { return float64(n.dispatcher.LargeBodies()) })
	peers := dispatcher.NewPeerHandler(n.forwarder, n.timers, n.enveloper, n.memory, n.tracer)
	ahead := pipeliner.NewPipeliner(n.dispatcher, n.dispatcher.MayStartEarly, n.doors.customers.early(), n.logger)
	if err := n.listen(requests, g, n.doors.customers, n.settings.Listen.Customers, ahead, ahead.Listener); err != nil {
		return err
	}
	for _, l := range []struct {
		door    *door
		address string
		handler http.Handler
	}{
		{n.doors.ready, n.settings.Listen.Ready, http.HandlerFunc(n.ready)},
		{n.doors.heartbeats, n.settings.Listen.Heartbeats, http.HandlerFunc(n.heartbeat)},
		{n.doors.metrics, n.settings.metricsAddress(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { n.meter.Write(w) })},
		{n.doors.peers, n.settings.peersAddress(), newPeerHandler(n.participant, peers, n.enveloper, n.doors.peers.guard.Memory)},
	} {
		if err := n.listen(requests, g, l.door, l.address, l.handler, nil); err != nil {
			return err
		}
	}
	g.Go(func() error { n.sweep(runCtx); return nil })
	g.Go(func() error { return n.timers.Run(runCtx) })
	g.Go(func() error { return n.participant.Run(runCtx) })
	g.Go(func() error { return r.run(runCtx) })
	g.Go(func() error { return summaries.Run(runCtx, n.timers) })
	n.logger.Info().Str("zone", n.settings.Node.Zone).Str("service", n.settings.Node.Service).Msg("node runs")
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop(runCtx, endRequests)
		case <-runCtx.Done():
		}
		end()
		for _, d := range n.drainers {
			_ = d.Close() // what is still open has exceeded the grace period
		}
		return nil
	})
	return g.Wait()
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// connectionOf returns the connection over which a request came.
func connectionOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connectionKey{}).(net.Conn)
	return c
}

func (n *node) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.adapter.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !n.participant.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *node) heartbeat(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, n.adapter.HeartbeatPath) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := n.adapter.DecodeLeave(r.URL.Path)
	var reply descriptor.HeartbeatReply
	switch r.Method {
	case http.MethodDelete:
		if err := validator.Name(id); err != nil {
			n.rejectHeartbeat(w, id, http.StatusBadRequest, err)
			return
		}
		n.forwarder.Leave(id)
	case http.MethodPut:
		memory := n.doors.heartbeats.guard.Memory.Lease()
		defer memory.Close()
		body, err := memory.ReadAll(r.Body, maxHeartbeatBytes, r.ContentLength)
		if errors.Is(err, budgeter.ErrTooLarge) {
			n.rejectHeartbeat(w, id, http.StatusRequestEntityTooLarge, err)
			return
		}
		if err != nil { // the backend server sends another heartbeat
			rejectControl(w, err)
			return
		}
		h, err := n.adapter.DecodeHeartbeat(r.URL.Path, body)
		if err == nil {
			err = validator.Heartbeat(h)
		}
		if err != nil {
			n.rejectHeartbeat(w, id, http.StatusBadRequest, err)
			return
		}
		acknowledged := false
		if reply, acknowledged = n.forwarder.Heartbeat(h, connectionOf(r)); !acknowledged {
			n.rejectHeartbeat(w, id, http.StatusConflict, errors.Newf("service %q, address %q and start %d are not those of the backend server",
				validator.Excerpt(h.Service), validator.Excerpt(h.Address), h.StartedAtMillis))
			return
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(n.adapter.EncodeHeartbeatReply(reply)) // the backend server sends another heartbeat
}

// rejectHeartbeat answers a heartbeat that changes nothing.
func (n *node) rejectHeartbeat(w http.ResponseWriter, id string, status int, err error) {
	n.logger.Warn().Err(err).Str("server", validator.Excerpt(id)).Int("status", status).Msg("heartbeat rejected")
	w.WriteHeader(status)
}

// stop lets customers move to other nodes and waits for the requests in flight. What is left shortly
// before the end is answered as it stands.
func (n *node) stop(ctx context.Context, endRequests func()) {
	n.logger.Info().Msg("node stops")
	n.participant.Stop()
	n.forwarder.Stop()
	for _, d := range n.drainers {
		d.DisableKeepAlives()
	}
	left := time.Duration(n.settings.Bounds.Grace) - stopReserve - answerReserve
	n.dispatcher.Stop(n.timers.Now().Add(left))
	answer := time.AfterFunc(left, endRequests)
	defer answer.Stop()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(n.settings.Bounds.Grace)-stopReserve)
	defer cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(min(lameDuckDuration, time.Duration(n.settings.Bounds.Grace)/2)):
	}
	g := errgroup.Group{}
	for _, d := range n.drainers {
		g.Go(func() error { return d.Drain(ctx) })
	}
	if err := g.Wait(); err != nil {
		n.logger.Warn().Err(err).Msg("requests were still in flight at the end of the grace period")
	}
	n.logger.Info().Msg("node stopped")
}
