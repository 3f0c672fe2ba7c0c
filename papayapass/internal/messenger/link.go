package messenger

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// Protocol version and time-outs of links. A link with calls in flight that
// receives nothing for pingAfter sends a ping. It is closed if nothing arrives
// for livenessTimeout.
const (
	FormatVersion    = 1
	handshakeTimeout = time.Second
	livenessInterval = 100 * time.Millisecond
	pingAfter        = 300 * time.Millisecond
	livenessTimeout  = 700 * time.Millisecond
)

// ErrPingTimeout means that the peer sent nothing for livenessTimeout while
// calls were in flight.
var ErrPingTimeout = errors.New("no pong from the peer in time")

// ErrHandshake means that the peer's hello does not match this node.
var ErrHandshake = errors.New("unexpected hello")

// Receiver handles the messages of a link, one at a time for each lane, and
// must not block.
type Receiver interface {
	// Receive handles a message.
	Receive(l *Link, m proto.Message)
	// Closed is called once, when the link has closed.
	Closed(l *Link, err error)
}

// Link is a connection to a peer with separate lanes for control and data, so
// that requests never delay heartbeats.
type Link struct {
	session   *yamux.Session
	control   *lane
	data      *lane
	peer      *wirepb.Hello
	timers    *timer.Service
	receiver  Receiver
	calls     callTable
	done      chan struct{}
	closeOnce sync.Once
	lastRead  atomic.Int64
	lastPing  atomic.Int64
}

// Security secures connections between nodes.
type Security interface {
	// Client secures a connection that this node opened.
	Client(conn net.Conn) net.Conn
	// Server secures a connection that a peer opened.
	Server(conn net.Conn) net.Conn
}

// Plain leaves connections unencrypted.
type Plain struct{}

// Client returns the connection unchanged.
func (Plain) Client(conn net.Conn) net.Conn { return conn }

// Server returns the connection unchanged.
func (Plain) Server(conn net.Conn) net.Conn { return conn }

// Dial opens a link to a peer.
func Dial(ctx context.Context, address string, self *wirepb.Hello, timers *timer.Service, security Security, receiver Receiver) (*Link, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	conn = security.Client(conn)
	l, err := newLink(conn, self, timers, receiver, openLanes)
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return l, nil
}

// Accept makes a link from a connection that a peer opened.
func Accept(conn net.Conn, self *wirepb.Hello, timers *timer.Service, security Security, receiver Receiver) (*Link, error) {
	conn = security.Server(conn)
	l, err := newLink(conn, self, timers, receiver, acceptLanes)
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return l, nil
}

type lanesOpener func(conn net.Conn, done <-chan struct{}) (*yamux.Session, *lane, *lane, error)

func newLink(conn net.Conn, self *wirepb.Hello, timers *timer.Service, receiver Receiver, open lanesOpener) (*Link, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	l := &Link{timers: timers, receiver: receiver, done: make(chan struct{})}
	l.calls.init()
	var err error
	if l.session, l.control, l.data, err = open(conn, l.done); err != nil {
		return nil, err
	}
	if err := l.handshake(self); err != nil {
		return nil, errors.CombineErrors(err, l.session.Close())
	}
	l.recordRead()
	return l, conn.SetDeadline(time.Time{})
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.MaxStreamWindowSize = 4 << 20
	cfg.StreamOpenTimeout = handshakeTimeout
	return cfg
}

func openLanes(conn net.Conn, done <-chan struct{}) (*yamux.Session, *lane, *lane, error) {
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		return nil, nil, nil, err
	}
	lanes := make([]*lane, 0, 2)
	for _, name := range []byte{controlLane, dataLane} {
		stream, err := session.Open()
		if err != nil {
			return nil, nil, nil, errors.CombineErrors(err, session.Close())
		}
		if _, err := stream.Write([]byte{name}); err != nil {
			return nil, nil, nil, errors.CombineErrors(err, session.Close())
		}
		lanes = append(lanes, newLane(stream, done))
	}
	return session, lanes[0], lanes[1], nil
}

func acceptLanes(conn net.Conn, done <-chan struct{}) (*yamux.Session, *lane, *lane, error) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return nil, nil, nil, err
	}
	lanes := make([]*lane, 0, 2)
	for _, want := range []byte{controlLane, dataLane} {
		stream, err := session.Accept()
		if err != nil {
			return nil, nil, nil, errors.CombineErrors(err, session.Close())
		}
		var name [1]byte
		if _, err := io.ReadFull(stream, name[:]); err != nil {
			return nil, nil, nil, errors.CombineErrors(err, session.Close())
		}
		if name[0] != want {
			return nil, nil, nil, errors.CombineErrors(ErrMalformedFrame, session.Close())
		}
		lanes = append(lanes, newLane(stream, done))
	}
	return session, lanes[0], lanes[1], nil
}

// handshake exchanges hello messages.
func (l *Link) handshake(self *wirepb.Hello) error {
	frame, err := Encode(nil, self)
	if err != nil {
		return err
	}
	if _, err := l.control.stream.Write(frame); err != nil {
		return errors.Wrap(err, "send hello")
	}
	m, err := decodeUnbuffered(l.control.stream)
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	hello, ok := m.(*wirepb.Hello)
	if !ok || hello.GetFormat() == 0 || hello.GetCell() != self.GetCell() {
		return errors.Wrapf(ErrHandshake, "cell %q, format %d", hello.GetCell(), hello.GetFormat())
	}
	l.peer = hello
	return nil
}

// Peer returns the peer's hello message.
func (l *Link) Peer() *wirepb.Hello { return l.peer }

// Done returns a channel that is closed when the link closes.
func (l *Link) Done() <-chan struct{} { return l.done }

// ControlBytes returns the bytes of the control lane in both directions,
// including an estimate of packet headers.
func (l *Link) ControlBytes() uint64 {
	return l.control.bytesIn.Load() + l.control.bytesOut.Load()
}

// Run serves the link until it closes or the context ends.
func (l *Link) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.control.write(ctx) })
	g.Go(func() error { return l.data.write(ctx) })
	g.Go(func() error { return l.control.read(l.receive) })
	g.Go(func() error { return l.data.read(l.receive) })
	g.Go(func() error { return l.monitor(ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-l.done:
		}
		l.Close()
		return ErrLinkClosed
	})
	err := g.Wait()
	l.calls.failAll()
	l.receiver.Closed(l, err)
	return err
}

// Close closes the link.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.session.Close() // the link is closed in either case
	})
}

// SendControl queues a message on the control lane; it never blocks.
func (l *Link) SendControl(m proto.Message) error { return l.control.send(m) }

// SendData queues a message on the data lane; it never blocks.
func (l *Link) SendData(m proto.Message) error { return l.data.send(m) }

func (l *Link) recordRead() { l.lastRead.Store(int64(l.timers.Now())) }

func (l *Link) receive(m proto.Message) {
	l.recordRead()
	switch m := m.(type) {
	case *wirepb.Answer:
		l.calls.deliver(m)
	case *wirepb.Ping:
		_ = l.data.send(&wirepb.Pong{Stamp: m.GetStamp()}) // if lost, the peer's ping times out
	case *wirepb.Pong:
	default:
		l.receiver.Receive(l, m)
	}
}

// monitor closes the link when calls are in flight and nothing arrives.
func (l *Link) monitor(ctx context.Context) error {
	tick := l.timers.Subscribe(livenessInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ErrLinkClosed
		case now := <-tick.C():
			if err := l.checkLiveness(now); err != nil {
				return err
			}
		}
	}
}

func (l *Link) checkLiveness(now timer.Instant) error {
	oldest, waiting := l.calls.oldest()
	if !waiting {
		return nil
	}
	last := max(timer.Instant(l.lastRead.Load()), oldest)
	silence := now.Sub(last)
	if silence >= livenessTimeout {
		return ErrPingTimeout
	}
	pinged := timer.Instant(l.lastPing.Load())
	if silence >= pingAfter && pinged.Before(last) {
		l.lastPing.Store(int64(now))
		_ = l.data.send(&wirepb.Ping{Stamp: uint64(now)}) // if lost, no pong arrives either
	}
	return nil
}
