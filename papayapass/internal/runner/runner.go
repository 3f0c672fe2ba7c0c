// Package runner builds, runs and stops a node.
package runner

import (
	"context"
	"net"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/assigner"
	"papayapass.dev/papayapass/internal/authenticator"
	"papayapass.dev/papayapass/internal/balancer"
	"papayapass.dev/papayapass/internal/configurer"
	"papayapass.dev/papayapass/internal/executor"
	"papayapass.dev/papayapass/internal/holder"
	"papayapass.dev/papayapass/internal/keeper"
	"papayapass.dev/papayapass/internal/messenger"
	"papayapass.dev/papayapass/internal/meter"
	"papayapass.dev/papayapass/internal/receiver"
	"papayapass.dev/papayapass/internal/reporter"
	"papayapass.dev/papayapass/internal/responder"
	"papayapass.dev/papayapass/internal/router"
	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/tracer"
	"papayapass.dev/papayapass/internal/wirepb"
	"papayapass.dev/shared/storer"
)

// Intervals and time-outs of a running node.
const (
	serverCheckInterval = 50 * time.Millisecond
	drainCheckInterval  = 50 * time.Millisecond
	closeTimeout        = time.Second
	// lameDuckDuration is how long a stopping node continues to serve callers, so that
	// they close their connections before the node does.
	lameDuckDuration = 1500 * time.Millisecond
)

// logTimeFormat is the RFC 3339 format with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// Node is a running papayapass process.
type Node struct {
	settings  *configurer.Settings
	logger    zerolog.Logger
	timers    *timer.Service
	keeper    *keeper.Keeper
	connector *messenger.Connector
	executor  *executor.Executor
	responder *responder.Responder
	receiver  *receiver.Receiver
	reporter  *reporter.Reporter
	tracer    *tracer.Tracer
	listeners listeners
}

type listeners struct {
	callers net.Listener
	peers   net.Listener
	status  net.Listener
}

func listen(s *configurer.Settings) (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", s.Text(configurer.ListenCallers)); err != nil {
		return l, errors.Wrap(err, configurer.ListenCallers)
	}
	if l.peers, err = net.Listen("tcp", s.Text(configurer.ListenPeers)); err != nil {
		return l, errors.Wrap(err, configurer.ListenPeers)
	}
	if l.status, err = net.Listen("tcp", s.Text(configurer.ListenStatus)); err != nil {
		return l, errors.Wrap(err, configurer.ListenStatus)
	}
	return l, nil
}

// NewLogger returns the logger of a node.
func NewLogger(s *configurer.Settings) zerolog.Logger {
	level, err := zerolog.ParseLevel(s.Text(configurer.LogLevel))
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	logger := zerolog.New(os.Stderr)
	if s.Text(configurer.LogFormat) == "console" {
		logger = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr})
	}
	return logger.Level(level).With().Timestamp().Str("node", s.Text(configurer.NodeID)).Logger()
}

// Run runs a node until the context is done, and then stops it gracefully.
func Run(ctx context.Context, s *configurer.Settings) error {
	l, err := listen(s)
	if err != nil {
		return err
	}
	// The components outlive ctx: when it is done, the graceful stop starts.
	nodeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, nodeCtx := errgroup.WithContext(nodeCtx)
	n, err := newNode(nodeCtx, group, s, l)
	if err != nil {
		return err
	}
	n.start(nodeCtx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop(nodeCtx)
		case <-nodeCtx.Done():
		}
		cancel()
		n.close()
		return nil
	})
	return group.Wait()
}

func newNode(ctx context.Context, group *errgroup.Group, s *configurer.Settings, l listeners) (*Node, error) {
	incarnation := uint64(time.Now().UnixNano())
	n := &Node{settings: s, logger: NewLogger(s), timers: timer.NewService(timer.BootClock{}), listeners: l}
	self := holder.NewIdentity(
		s.Text(configurer.CellName), assigner.NodeID(s.Text(configurer.NodeID)),
		s.Text(configurer.ListenPeers), s.Text(configurer.ListenStatus), s.Text(configurer.NodeZone), incarnation,
	)
	platform := storer.NewClient(s.Text(configurer.PlatformAddress))
	n.keeper = keeper.NewKeeper(self, s.List(configurer.CellSeeds), platform, platform, n.timers, n.logger)
	hello := &wirepb.Hello{
		Format: messenger.FormatVersion, Cell: self.Cell(), Node: string(self.ID()),
		Incarnation: incarnation, Address: self.Address(), Zone: self.Zone(),
	}
	security, err := newSecurity(s)
	if err != nil {
		return nil, err
	}
	n.connector = messenger.NewConnector(ctx, group, hello, n.timers, security, n.receive)
	n.keeper.Attach(n.connector)
	n.tracer, err = tracer.NewTracer(ctx, s.Text(configurer.TraceEndpoint), s.Share(configurer.TraceShare), string(self.ID()))
	if err != nil {
		return nil, err
	}
	n.executor = executor.NewExecutor(n.keeper, n.timers, s.Duration(configurer.LimitQueueTime), incarnation)
	n.responder = responder.NewResponder(ctx, n.executor, n.executor.Deduplicator(), n.tracer)
	lb := balancer.NewBalancer(n.timers, self.Zone(), incarnation)
	route := router.NewRouter(n.keeper, n.executor, n.connector, lb, n.timers)
	m := meter.NewMeter()
	limits := receiver.NewLimits(s.Integer(configurer.LimitBodyBytes), s.Duration(configurer.LimitBodyTime), s.Integer(configurer.LimitCallerConnections))
	n.receiver = receiver.NewReceiver(route, n.keeper, m, n.tracer, n.logger, incarnation, limits)
	n.reporter = reporter.NewReporter(n.keeper, n.executor, n.connector, m, self.Zone(), s.Networks(configurer.AnnounceFrom))
	n.addGauges(m)
	return n, nil
}

// newSecurity returns mutual TLS for links between nodes, or plain TCP if no
// certificate is set.
func newSecurity(s *configurer.Settings) (messenger.Security, error) {
	if s.Text(configurer.TLSCertificate) == "" {
		return messenger.Plain{}, nil
	}
	files := authenticator.NewFiles(s.Text(configurer.TLSCertificate), s.Text(configurer.TLSKey), s.Text(configurer.TLSRoots))
	return authenticator.NewAuthenticator(files)
}

func (n *Node) addGauges(m *meter.Meter) {
	m.Gauge("papayapass_control_bytes", func() float64 { return float64(n.connector.ControlBytes()) })
	m.Gauge("papayapass_dropped_answers", func() float64 { return float64(n.connector.DroppedAnswers()) })
	m.Gauge("papayapass_running", func() float64 { return float64(n.executor.InFlight()) })
	m.Gauge("papayapass_goroutines", func() float64 { return float64(runtime.NumGoroutine()) })
	m.Gauge("papayapass_allowance", func() float64 {
		u, _ := n.executor.Usage()
		return float64(u.Limit())
	})
	m.Gauge("papayapass_configuration_version", func() float64 {
		return float64(n.keeper.View().Configuration().GetVersion())
	})
}

// receive dispatches the messages of all links to the responder or the keeper.
func (n *Node) receive(l *messenger.Link, m proto.Message) {
	switch m := m.(type) {
	case *wirepb.Request:
		n.responder.Request(l, m)
	case *wirepb.Resolve:
		n.responder.Resolve(l, m)
	case *wirepb.Cancel:
		n.responder.Cancel(l, m.GetCall())
	default:
		n.keeper.Receive(l, m)
	}
}

func (n *Node) start(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return n.timers.Run(ctx) })
	group.Go(func() error { return n.keeper.Run(ctx) })
	group.Go(func() error { return n.connector.Serve(n.listeners.peers) })
	group.Go(func() error { return n.receiver.Serve(n.listeners.callers) })
	group.Go(func() error { return n.reporter.Serve(n.listeners.status) })
	group.Go(func() error { return n.watchServer(ctx) })
	n.logger.Info().Str("callers", n.settings.Text(configurer.ListenCallers)).Msg("node runs")
}

// watchServer passes each change of the local backend server's state to the keeper.
func (n *Node) watchServer(ctx context.Context) error {
	tick := n.timers.Subscribe(serverCheckInterval)
	defer tick.Stop()
	var last assigner.Server
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C():
		}
		if s := n.executor.Server(); s != last {
			last = s
			n.keeper.SetServer(s)
		}
	}
}

// stop drains the node: it hands over the slices and waits for the requests in flight.
func (n *Node) stop(ctx context.Context) {
	n.logger.Info().Msg("node stops")
	ctx, cancel := context.WithTimeout(ctx, n.settings.Duration(configurer.StopTimeout))
	defer cancel()
	n.receiver.Drain()
	n.executor.MarkDraining()
	n.keeper.Leave()
	lameDuck := time.NewTimer(lameDuckDuration)
	defer lameDuck.Stop()
	tick := n.timers.Subscribe(drainCheckInterval)
	defer tick.Stop()
	for !n.keeper.Left() {
		select {
		case <-ctx.Done():
			n.logger.Warn().Msg("stop time-out exceeded while the node still owns slices")
			return
		case <-tick.C():
		}
	}
	select {
	case <-lameDuck.C:
	case <-ctx.Done():
	}
	if err := n.receiver.Stop(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("failed to stop the server on the callers' port")
	}
	for n.executor.InFlight() > 0 && ctx.Err() == nil {
		<-tick.C()
	}
	if err := n.tracer.Stop(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("failed to export the remaining traces")
	}
}

// close shuts down all servers.
func (n *Node) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = n.receiver.Stop(ctx)
	_ = n.reporter.Stop(ctx)
	_ = n.listeners.peers.Close()
}
