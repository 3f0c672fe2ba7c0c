package launcher

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/drainer"
	"papayapass.dev/papayapass/internal/exchanger"
	"papayapass.dev/papayapass/internal/pipeliner"
	"papayapass.dev/papayapass/internal/shedder"
)

// Shares of the process's memory for the connections and heads of each listener, and of its
// descriptors for the connections. With bodyMemoryShare and controlMemoryShare they leave room for
// the rest of the process, and none can take what another needs. docs/design/crowds.md has the sum.
const (
	customerMemoryShare     = 0.12
	customerDescriptorShare = 0.36
	peerMemoryShare         = 0.08
	peerDescriptorShare     = 0.32
	// innerMemoryShare and innerDescriptorShare are for each of ready, heartbeats and metrics.
	innerMemoryShare     = 0.015
	innerDescriptorShare = 0.03
	// The unread shares are for what the kernel holds of what connections have received, and the unsent
	// shares for what it holds of answers.
	customerUnreadShare = 0.08
	peerUnreadShare     = 0.06
	innerUnreadShare    = 0.01
	// raisedShare is for the receive buffers of large bodies, of customers and of other nodes each.
	raisedShare         = 0.01
	customerUnsentShare = 0.04
	peerUnsentShare     = 0.015
	innerUnsentShare    = 0.004
	// outgoingDescriptorShare and outgoingUnreadShare are for connections of requests to other nodes.
	outgoingDescriptorShare = 0.2
	outgoingUnreadShare     = 0.05
	// earlyShare is the part of a listener's memory for requests that start early.
	earlyShare = 0.25
	// minDoorMemory is the least memory of a listener, in bytes: a few of the largest heads.
	minDoorMemory = 2 << 20
	// minUnsent is the least memory for answers in the kernel, in bytes: a few large ones.
	minUnsent = 256 << 10
	// customerBodyShare is the part of the memory for bodies that customers may take; other nodes'
	// calls always have the rest.
	customerBodyShare = 0.9
	// keptBodyShare is the part of that for a single body; larger ones are passed on while they arrive.
	keptBodyShare = 0.25
)

const (
	// reservedDescriptors are kept for files and connections to the store.
	reservedDescriptors = 200
	// defaultDescriptors is used if the limit of the process cannot be read.
	defaultDescriptors = 1024
	// minConnections is the least number of connections of a listener.
	minConnections = 16
	// minOutgoing is the least number of connections of requests.
	minOutgoing = 64
	// backstopTimeout ends reads that the sweeps have not ended.
	backstopTimeout = 10 * time.Minute
	// sweepInterval is the time between two sweeps of the connections.
	sweepInterval = 500 * time.Millisecond
	// doorLogInterval is the time between two log lines of a listener.
	doorLogInterval = 10 * time.Second
)

// doors are the listeners of a node.
type doors struct{ customers, ready, heartbeats, metrics, peers *door }

// doorShares are the shares of a listener in the memory and the descriptors of the process.
type doorShares struct{ memory, descriptors, unread, unsent float64 }

// door limits the connections of one listener and counts what was refused or closed.
type door struct {
	name  string
	guard drainer.Guard

	mu     sync.Mutex
	counts map[shedder.Reason]int
	logged map[shedder.Reason]int
}

func (n *node) newDoors() *doors {
	descriptors := n.settings.descriptors()
	memory := float64(n.settings.Node.MemoryMB) * (1 << 20)
	newDoor := func(name string, s doorShares, bodies *budgeter.Budget, limits func() shedder.Limits) *door {
		d := &door{name: name, counts: make(map[shedder.Reason]int), logged: make(map[shedder.Reason]int)}
		d.guard = drainer.Guard{
			Memory: budgeter.NewBudget(max(int64(s.memory*memory), minDoorMemory)), Bodies: bodies, Limits: limits, Count: d.count,
			Unsent:         drainer.NewSendBudget(max(int64(s.unsent*memory), minUnsent)),
			MaxConnections: max(min(int(s.descriptors*float64(descriptors)), int(s.unread*memory)/drainer.MaxUnread), minConnections),
		}
		if bodies != nil {
			d.guard.Raised = budgeter.NewBudget(int64(raisedShare * memory))
		}
		label := `{door="` + name + `"}`
		n.meter.Gauge("papayapass_connection_bytes"+label, func() float64 { return float64(d.guard.Memory.Used()) })
		n.meter.Gauge("papayapass_unsent_bytes"+label, func() float64 { return float64(d.guard.Unsent.Used()) })
		for _, r := range shedder.Reasons() {
			n.meter.Gauge(`papayapass_connections_refused_total{door="`+name+`",reason="`+string(r)+`"}`, func() float64 { return float64(d.counted(r)) })
		}
		return d
	}
	inner := doorShares{innerMemoryShare, innerDescriptorShare, innerUnreadShare, innerUnsentShare}
	return &doors{
		customers:  newDoor("customers", doorShares{customerMemoryShare, customerDescriptorShare, customerUnreadShare, customerUnsentShare}, n.memory.Part(int64(customerBodyShare*float64(n.memory.Limit()))), n.customerLimits),
		peers:      newDoor("peers", doorShares{peerMemoryShare, peerDescriptorShare, peerUnreadShare, peerUnsentShare}, n.memory, innerLimits),
		ready:      newDoor("ready", inner, nil, innerLimits),
		heartbeats: newDoor("heartbeats", inner, nil, innerLimits),
		metrics:    newDoor("metrics", inner, nil, innerLimits),
	}
}

// early returns the memory for requests that start early. What does not fit there waits for its turn, and
// makes no listener crowded.
func (d *door) early() *budgeter.Budget {
	return d.guard.Memory.Part(int64(earlyShare * float64(d.guard.Memory.Limit())))
}

// descriptors returns the number of descriptors for connections.
func (s *Settings) descriptors() int {
	n := s.Node.Descriptors
	if n == 0 {
		n = defaultDescriptors
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil { // otherwise the default holds
			n = int(min(limit.Cur, 1<<20))
		}
	}
	return max(n-reservedDescriptors, 0)
}

// outgoingConnections returns the largest number of connections of requests to other nodes.
func (s *Settings) outgoingConnections() int {
	unread := int(outgoingUnreadShare*float64(s.Node.MemoryMB)*(1<<20)) / exchanger.MaxUnread
	return max(min(int(outgoingDescriptorShare*float64(s.descriptors())), unread), minOutgoing)
}

// innerLimits returns the limits of listeners that the configuration does not cover.
func innerLimits() shedder.Limits {
	return shedder.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
}

// customerLimits returns the limits of the configuration in force.
func (n *node) customerLimits() shedder.Limits {
	l := innerLimits()
	if cfg := n.participant.Configuration(); cfg != nil {
		l.HeadBytes = cmp.Or(cfg.Limits.HeaderBytes, l.HeadBytes)
		l.HeadTime = cmp.Or(cfg.Limits.HeaderTimeout, l.HeadTime)
		l.IdleTime = cmp.Or(cfg.Limits.IdleTimeout, l.IdleTime)
	}
	return l
}

// listen serves a handler at an address; wrap, if any, wraps the listener.
func (n *node) listen(requests context.Context, g *errgroup.Group, door *door, address string, h http.Handler, wrap func(net.Listener) net.Listener) error {
	l, err := drainer.Listen(requests, address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	if wrap != nil {
		l = wrap(l)
	}
	d := drainer.NewDrainer(newServer(requests, h), l)
	d.Limit(&door.guard)
	n.drainers = append(n.drainers, d)
	g.Go(func() error { return errors.Wrapf(d.Serve(), "serve at %s", address) })
	return nil
}

// newServer returns a server whose requests have contexts derived from requests. The time limits are
// those of the sweeps.
func newServer(requests context.Context, h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: backstopTimeout, IdleTimeout: backstopTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil, BaseContext: func(net.Listener) context.Context { return requests },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(pipeliner.WithConn(ctx, c), connectionKey{}, c)
		},
	}
}

// sweep closes connections that exceed their limits until ctx is done.
func (n *node) sweep(ctx context.Context) {
	tick := n.timers.Subscribe(sweepInterval)
	defer tick.Stop()
	logged := n.timers.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C():
			// A process that was suspended has not given its clients the time.
			for _, d := range n.drainers {
				d.Sweep(sweepInterval)
			}
			if now.Sub(logged) < doorLogInterval {
				continue
			}
			logged = now
			n.outgoing.CloseExpired()
			n.inner.CloseExpired()
			for _, d := range []*door{n.doors.customers, n.doors.ready, n.doors.heartbeats, n.doors.metrics, n.doors.peers} {
				d.log(n)
			}
		}
	}
}

// count counts a connection that was refused or closed.
func (d *door) count(r shedder.Reason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[r]++
}

func (d *door) counted(r shedder.Reason) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[r]
}

// log logs what has been refused or closed since the last line, except idle connections.
func (d *door) log(n *node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range shedder.Reasons() {
		if added := d.counts[r] - d.logged[r]; added > 0 && r != shedder.ReasonIdle {
			n.logger.Warn().Str("door", d.name).Str("reason", string(r)).Int("count", added).Int64("bytes", d.guard.Memory.Used()).
				Msg("connections refused or closed")
		}
		d.logged[r] = d.counts[r]
	}
}
