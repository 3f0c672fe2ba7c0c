package pipeliner

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"sync"

	"papayapass.dev/papayapass/internal/budgeter"
)

const (
	// maxAheadBytes limits the bytes read ahead on a connection.
	maxAheadBytes = 16 << 10
	// aheadChunk is the least room for one read ahead.
	aheadChunk = 1 << 10
	// startedBytes is the memory of a request that started early, besides its body and response.
	startedBytes = 24 << 10
	// maxStarted limits the requests of a connection that have started early.
	maxStarted = 8
)

// conn delivers the bytes of one request at a time to the server as long as requests have no
// bodies, and keeps what follows. While the server waits for its handler, it reads only to
// notice that the customer has disconnected; what arrives then starts the next requests.
type conn struct {
	net.Conn

	pipeliner *Pipeliner
	// memory is taken while bytes are kept.
	memory *budgeter.Lease

	mu sync.Mutex
	// isReserved is set while memory is taken.
	isReserved bool
	// head holds the delivered part of the head that has not ended yet.
	head []byte
	// pending holds the bytes that follow the request being served.
	pending []byte
	// looked is how much of pending belongs to requests that have been looked at.
	looked int
	// started are the requests at the front of pending that run already, oldest first, and
	// current is the one among them that the server serves, or nil.
	started []*started
	current *started
	// isServing is set from the end of a bodiless head until its response, and mayFollow once it is
	// known that later requests may overtake the one being served.
	isServing, mayFollow bool
	// isOpaque is set once the start of the next request is not certain.
	isOpaque bool
	// noMore is set once no request starts early before the next response, and isEnding once none
	// does any more.
	noMore, isEnding bool
}

func newConn(c net.Conn, p *Pipeliner) *conn {
	return &conn{Conn: c, pipeliner: p, memory: p.memory.Lease()}
}

// NetConn returns the connection that it wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads data of the request that the server reads.
func (c *conn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		isAhead := c.isServing && !c.noMore && len(c.pending) < maxAheadBytes
		if !isAhead && len(c.pending) > 0 {
			n := c.deliver(b)
			c.mu.Unlock()
			return n, nil
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(b)
		if n == 0 || err != nil {
			if !isTimeout(err) {
				c.cancelStarted()
			}
			return n, err
		}
		c.mu.Lock()
		if !c.isServing || c.noMore {
			if len(c.pending) > 0 { // what was read ahead comes first
				c.pending = append(c.pending, b[:n]...)
				n = c.deliver(b)
			} else {
				n = c.frame(b[:n])
			}
			c.mu.Unlock()
			return n, nil
		}
		c.pending = append(c.pending, b[:n]...)
		c.mu.Unlock()
		if err := c.readAhead(); err != nil && !isTimeout(err) {
			c.cancelStarted()
			return 0, err
		}
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error) //nolint:errorlint // connections return it unwrapped
	return ok && ne.Timeout()
}

// readAhead reads what has arrived behind the first bytes of the next request, and starts the requests in it.
func (c *conn) readAhead() error {
	c.mu.Lock()
	c.reserve()
	c.mu.Unlock()
	buf := make([]byte, aheadChunk)
	for {
		c.mu.Lock()
		c.startPending()
		room := c.isServing && !c.noMore && len(c.pending) < maxAheadBytes
		c.mu.Unlock()
		if !room {
			return nil
		}
		n, err := c.Conn.Read(buf)
		c.mu.Lock()
		c.pending = append(c.pending, buf[:n]...)
		c.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// deliver moves bytes of one request from pending to b. The caller holds c.mu.
func (c *conn) deliver(b []byte) int {
	hasStarted, wasServing := c.looked > 0, c.isServing
	n := c.bound(b[:copy(b, c.pending)])
	if hasStarted && !wasServing && c.isServing {
		c.current, c.started = c.started[0], c.started[1:]
	}
	c.pending, c.looked = c.pending[n:], max(0, c.looked-n)
	if len(c.pending) == 0 {
		c.pending, c.isReserved = nil, false
		c.memory.Close()
	}
	return n
}

// frame returns how many bytes that have just been read belong to the request that the server
// reads, and keeps the others. The caller holds c.mu.
func (c *conn) frame(b []byte) int {
	n := c.bound(b)
	if n < len(b) {
		c.reserve()
		c.pending = append(c.pending, b[n:]...)
		c.startPending()
	}
	return n
}

// reserve takes the memory for what is read ahead. Without it, nothing more is read and no request
// starts early. The caller holds c.mu.
func (c *conn) reserve() {
	if !c.isReserved && c.memory.Take(maxAheadBytes) != nil { // the budget counts it
		c.noMore = true
		return
	}
	c.isReserved = true
}

// bound returns how many bytes of b belong to the request that the server reads. While it serves
// one, it reads the first byte of the next. The caller holds c.mu.
func (c *conn) bound(b []byte) int {
	if c.isOpaque {
		return len(b)
	}
	if c.isServing {
		c.head = append(c.head, b...)
		return len(b)
	}
	before := len(c.head)
	data := b
	if before > 0 {
		data = append(c.head, b...) //nolint:gocritic // c.head is replaced or dropped below
	}
	n, f := frame(data)
	switch f {
	case incomplete:
		c.head = bytes.Clone(data)
		return len(b)
	case opaque:
		c.head, c.isOpaque, c.noMore = nil, true, true
		return len(b)
	default:
		c.head, c.isServing = nil, true
		return n - before
	}
}

// startPending starts the requests in pending that have arrived whole and may start early. The
// caller holds c.mu.
func (c *conn) startPending() {
	for c.isServing && c.mayFollow && !c.noMore && len(c.started) < maxStarted {
		n, f := frame(c.pending[c.looked:])
		if f != bodiless {
			c.noMore = c.noMore || f == opaque
			return
		}
		head := c.pending[c.looked : c.looked+n]
		r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), n))
		if err != nil || r.Host == "" || !c.pipeliner.mayStartEarly(r) {
			return // the server reads it in its turn
		}
		memory := c.pipeliner.memory.Lease()
		if memory.Take(startedBytes) != nil { // the budget counts it
			c.noMore = true
			return
		}
		r.RemoteAddr = c.RemoteAddr().String()
		c.looked += n
		c.started = append(c.started, start(c.pipeliner, r, memory))
	}
}

// takeCurrent returns the request that the server serves if it started early.
func (c *conn) takeCurrent() *started {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.current
	c.current = nil
	return s
}

// serving records that the server serves a request, and starts those behind it if they may overtake it.
func (c *conn) serving(mayFollow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayFollow = mayFollow
	c.startPending()
}

// responded records that the response to the present request has been written.
func (c *conn) responded() {
	c.mu.Lock()
	c.isServing, c.mayFollow = false, false
	c.noMore = c.isOpaque || c.isEnding
	c.mu.Unlock()
}

// keepOpen reports whether requests that started early still need a connection that is to be
// closed. No others start early.
func (c *conn) keepOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore, c.isEnding = true, true
	return len(c.started) > 0
}

// cancelStarted cancels the requests that started early.
func (c *conn) cancelStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore, c.isEnding = true, true
	if c.current != nil {
		c.current.cancel()
	}
	for _, s := range c.started {
		s.cancel()
	}
}

// Close closes the connection. Requests whose responses are still due are canceled.
func (c *conn) Close() error {
	c.EndRequests()
	return c.Conn.Close()
}

// EndRequests cancels the requests whose responses are still due, and gives back their memory.
func (c *conn) EndRequests() {
	c.cancelStarted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Close()
}
