package messenger

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"papayapass.dev/papayapass/internal/timer"
	"papayapass.dev/papayapass/internal/wirepb"
)

// dialBackoff is the time after a failed dial before an address is dialled
// again.
const dialBackoff = 100 * time.Millisecond

// ErrBackoff means that the last dial of the address failed less than
// dialBackoff ago.
var ErrBackoff = errors.New("last dial of the peer failed, waiting before the next one")

// Handler handles the messages of all links of a node. It is called on a link's
// reading goroutine and must not block.
type Handler func(l *Link, m proto.Message)

// Connector opens links on demand, one for each peer address, and accepts those
// that peers open.
type Connector struct {
	self                 *wirepb.Hello
	timers               *timer.Service
	handler              Handler
	security             Security
	group                *errgroup.Group
	ctx                  context.Context
	mu                   sync.Mutex
	peers                sync.Map
	links                map[*Link]struct{}
	closedControlBytes   uint64
	closedDroppedAnswers uint64
}

// peerLink is the link to one address. The mutex serializes dials.
type peerLink struct {
	mu       sync.Mutex
	link     atomic.Pointer[Link]
	failedAt timer.Instant
}

// NewConnector returns a connector whose links run in the group until the
// context ends.
func NewConnector(ctx context.Context, group *errgroup.Group, self *wirepb.Hello, timers *timer.Service, security Security, handler Handler) *Connector {
	return &Connector{
		self: self, timers: timers, handler: handler, security: security, group: group, ctx: ctx,
		links: make(map[*Link]struct{}),
	}
}

// Receive passes a message to the handler.
func (c *Connector) Receive(l *Link, m proto.Message) { c.handler(l, m) }

// Closed removes a link and keeps its counts for the totals.
func (c *Connector) Closed(l *Link, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.links, l)
	c.closedControlBytes += l.ControlBytes()
	c.closedDroppedAnswers += l.DroppedAnswers()
}

// DroppedAnswers returns the number of late or duplicate answers on all links,
// closed ones included.
func (c *Connector) DroppedAnswers() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.closedDroppedAnswers
	for l := range c.links {
		total += l.DroppedAnswers()
	}
	return total
}

// ControlBytes returns the bytes on the control lanes of all links, closed ones
// included.
func (c *Connector) ControlBytes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.closedControlBytes
	for l := range c.links {
		total += l.ControlBytes()
	}
	return total
}

// Link returns an open link to an address, and dials if there is none.
func (c *Connector) Link(ctx context.Context, address string) (*Link, error) {
	p := c.peer(address)
	if l := p.link.Load(); l != nil && !l.isClosed() {
		return l, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.link.Load(); l != nil && !l.isClosed() {
		return l, nil
	}
	now := c.timers.Now()
	if p.failedAt != 0 && now.Sub(p.failedAt) < dialBackoff {
		return nil, ErrBackoff
	}
	l, err := Dial(ctx, address, c.self, c.timers, c.security, c)
	if err != nil {
		p.failedAt = c.timers.Now()
		return nil, err
	}
	p.failedAt = 0
	p.link.Store(l)
	c.start(l)
	return l, nil
}

// ExistingLink returns the open link to an address, or nil.
func (c *Connector) ExistingLink(address string) *Link {
	l := c.peer(address).link.Load()
	if l == nil || l.isClosed() {
		return nil
	}
	return l
}

func (c *Connector) peer(address string) *peerLink {
	p, ok := c.peers.Load(address)
	if !ok {
		p, _ = c.peers.LoadOrStore(address, &peerLink{})
	}
	return p.(*peerLink)
}

func (c *Connector) start(l *Link) {
	c.mu.Lock()
	c.links[l] = struct{}{}
	c.mu.Unlock()
	c.group.Go(func() error {
		_ = l.Run(c.ctx) // Closed and the link's calls report its end
		return nil
	})
}

// Serve accepts links until the listener is closed.
func (c *Connector) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if c.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		c.group.Go(func() error {
			l, err := Accept(conn, c.self, c.timers, c.security, c)
			if err == nil {
				c.start(l)
			}
			return nil
		})
	}
}

func (l *Link) isClosed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}
