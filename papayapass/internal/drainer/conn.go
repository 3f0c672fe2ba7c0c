package drainer

import (
	"bytes"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/budgeter"
	"papayapass.dev/papayapass/internal/shedder"
)

const (
	// writePiece is the most that is written at a time, so that the progress of an answer is seen.
	writePiece = 16 << 10
	// readAhead is the size of the buffer through which the server reads heads and small bodies.
	readAhead = 4 << 10
	// refusalTimeout is the time for writing a refusal.
	refusalTimeout = 50 * time.Millisecond
)

// Refusals that are written before the server has seen the request.
const (
	refusalMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.6\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalSize   = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// errRefused is the result of reading a head that is refused.
var errRefused = errors.New("request refused")

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	admit func(*conn) bool
}

// Accept accepts a connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw}
		if l.admit(c) {
			return c, nil
		}
		_ = raw.Close() // nothing was read from it
	}
}

// conn is a connection that can be ended while no byte of a request has been read. A read
// deadline in the past ends it, so data already read is never dropped.
type conn struct {
	net.Conn
	guard *Guard // nil without limits
	own   *budgeter.Lease
	watch shedder.Watch // used by Sweep only
	// raised is the memory of a larger receive buffer.
	raised *budgeter.Lease
	// unsent accounts for what the kernel holds of the answers.
	unsent *sendQueue
	// moved counts the bytes read and written.
	moved atomic.Int64

	mu    sync.Mutex
	busy  bool // a byte has been read since the last response
	ended bool
	// readCut and writeCut are set if no more is read or written.
	readCut, writeCut bool
	// closed is set once the server has closed the connection, and lingering if its client still reads. dropped
	// is set if answers that are not read yet may be lost.
	closed, lingering, dropped bool
	// inRequest is set from the end of a head to the end of the response.
	inRequest bool
	// reading is set while the rest of a body is awaited, and writing is what is left to write.
	reading  bool
	writing  int
	requests uint64
	// movedBefore is moved at the start of the request.
	movedBefore int64
	head        *budgeter.Lease
	parsed      headCounter
	// ahead is the number of line ends that the server has read and not parsed yet.
	ahead int
}

// NetConn returns the connection that it wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads data and marks the connection as busy.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	// The server reads a single byte ahead while a request runs.
	inBody := c.inRequest && len(b) > 1
	c.reading = inBody
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n == 0 {
		return n, err
	}
	c.busy = true
	if c.ended {
		c.ended = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a broken connection fails at its next use
	}
	if c.guard == nil {
		return n, err
	}
	c.moved.Add(int64(n))
	if !c.inRequest {
		if refusal := c.countHead(b[:n]); refusal != "" {
			return 0, c.refuse(refusal)
		}
		return n, err
	}
	if inBody && c.raised != nil && c.raised.Taken() == 0 && c.moved.Load()-c.movedBefore > raiseAfter {
		c.raiseReceiveBuffer()
	}
	if len(b) <= readAhead {
		c.ahead = bytes.Count(b[:n], []byte{'\n'})
	}
	return n, err
}

// raiseReceiveBuffer lets more of a large body be on its way, if there is memory for it. The connection keeps the
// larger buffer, since what its client may send cannot be lowered.
func (c *conn) raiseReceiveBuffer() {
	tcp := tcpConn(c.Conn)
	if tcp == nil || c.raised.Take(raisedUnread) != nil { // it goes on with less
		return
	}
	_ = tcp.SetReadBuffer(raisedBuffer) // a broken connection fails at its next use
}

// countHead takes the memory of a part of a head, and returns the refusal if that is not possible.
// The caller holds c.mu.
func (c *conn) countHead(b []byte) string {
	size, lines, rest := c.parsed.count(b)
	c.ahead = bytes.Count(rest, []byte{'\n'})
	if c.parsed.size > headSlack && c.parsed.size > c.guard.Limits().HeadBytes+headSlack {
		c.guard.Count(shedder.ReasonHeadSize)
		return refusalSize
	}
	if err := c.head.Take(int64(headCopies*size + fieldBytes*lines)); err != nil { // counted, and logged from the counts
		c.guard.Count(shedder.ReasonMemory)
		return refusalMemory
	}
	return ""
}

// refuse answers a request that the server has not seen and returns the error that makes the server close
// the connection without a response of its own. The caller holds c.mu.
func (c *conn) refuse(text string) error {
	c.readCut = true
	err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = c.Conn.Write([]byte(text))
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errors.CombineErrors(errRefused, err)}
}

// Write writes data in pieces.
func (c *conn) Write(b []byte) (int, error) {
	if c.guard == nil {
		return c.Conn.Write(b)
	}
	done := 0
	for {
		c.mu.Lock()
		c.writing = len(b) - done
		c.mu.Unlock()
		if done == len(b) {
			return done, nil
		}
		piece := b[done:min(done+writePiece, len(b))]
		if err := c.awaitRoom(int64(len(piece))); err != nil {
			return done, err
		}
		n, err := c.Conn.Write(piece)
		done += n
		c.moved.Add(int64(n))
		if err != nil {
			return done, err
		}
	}
}

// awaitRoom waits until the kernel may hold n more bytes of answers.
func (c *conn) awaitRoom(n int64) error {
	if c.unsent.add(n) {
		return nil
	}
	for {
		changed := c.guard.Unsent.changed()
		if c.unsent.add(n) {
			return nil
		}
		c.mu.Lock()
		cut := c.writeCut
		c.mu.Unlock()
		if cut {
			return os.ErrDeadlineExceeded
		}
		<-changed
	}
}

// Close closes the connection. One that is not cut stays open until its client has read the answers, so that
// what the kernel holds of them stays accounted for; the sweeps end it.
func (c *conn) Close() error {
	if c.guard == nil {
		return c.Conn.Close()
	}
	left := c.unsent.left()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	cut := c.writeCut || c.dropped
	c.closed, c.writeCut, c.readCut = true, true, true
	c.lingering = !cut && left > freeUnsent
	lingering := c.lingering
	c.mu.Unlock()
	if !lingering {
		return c.drop(left)
	}
	if e, ok := c.Conn.(requestEnder); ok {
		e.EndRequests()
	}
	return c.unsent.tcp.CloseWrite()
}

// requestEnder is a connection that runs requests beside the one that the server serves.
type requestEnder interface {
	// EndRequests ends them when the server has closed the connection.
	EndRequests()
}

// drop closes the connection, and drops what its client has not read of the answers.
func (c *conn) drop(left int64) error {
	if left > freeUnsent {
		_ = c.unsent.tcp.SetLinger(0) // it is closed in any case
	}
	c.unsent.close()
	c.guard.Unsent.signal()
	return c.Conn.Close()
}

// SetReadDeadline sets the read deadline unless the connection has been ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.readCut {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the write deadline unless the connection has been cut.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeCut {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// markActive records that the server has read a head.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.movedBefore = true, c.moved.Load()
	if c.ended { // the head was in the server's buffer
		c.ended, c.busy = false, true
		_ = c.Conn.SetReadDeadline(time.Time{}) // a broken connection fails at its next use
	}
}

// markIdle records that the last response has been sent.
func (c *conn) markIdle() {
	if !c.takeNextHead() {
		_ = c.Close() // a request sent ahead that is not served
	}
}

// takeNextHead starts the account of the next head, and returns false if there is no memory for it.
func (c *conn) takeNextHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.inRequest, c.parsed = false, false, headCounter{}
	c.requests++
	if c.guard == nil {
		return true
	}
	c.head.Close()
	if c.ahead == 0 {
		return true
	}
	// The head of the next request is in the server's buffer already.
	if err := c.head.Take(int64(fieldBytes * c.ahead)); err != nil { // counted, and logged from the counts
		c.guard.Count(shedder.ReasonMemory)
		return false
	}
	return true
}

// endIfIdle ends the connection unless a request has started.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(past) // a broken connection has already ended
}

// snapshot returns what the connection is waiting for.
func (c *conn) snapshot() shedder.Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return shedder.Reading{Phase: c.phase(), Request: c.requests, Moved: c.moved.Load()}
}

// phase returns the phase. The caller holds c.mu.
func (c *conn) phase() shedder.Phase {
	switch {
	case c.writing > 0:
		return shedder.Answer
	case c.inRequest && c.reading:
		return shedder.Body
	case c.inRequest:
		return shedder.Running
	case c.busy:
		return shedder.Head
	default:
		return shedder.Idle
	}
}

// heldOwn returns the memory of the connection and the head.
func (c *conn) heldOwn() int64 { return c.own.Taken() + c.head.Taken() }

// heldBody returns the memory of the body that is being read, or of the answer that is being written.
func (c *conn) heldBody() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inRequest {
		return 0
	}
	return max(c.moved.Load()-c.movedBefore, int64(c.writing))
}

// end closes the connection for a reason unless it has gone on since a reading.
func (c *conn) end(r shedder.Reading, reason shedder.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readCut || c.ended || c.requests != r.Request || c.phase() != r.Phase || c.moved.Load() != r.Moved {
		return
	}
	c.guard.Count(reason)
	if r.Phase == shedder.Idle {
		c.ended, c.dropped = true, c.unsent.held() > 0
		_ = c.Conn.SetReadDeadline(past) // a broken connection has already ended
		return
	}
	c.readCut = true
	_ = c.Conn.SetReadDeadline(past) // a broken connection has already ended
	if r.Phase != shedder.Body {     // the server would answer a part of a head
		c.writeCut = true
		_ = c.Conn.SetWriteDeadline(past) // a broken connection has already ended
		c.guard.Unsent.signal()
	}
}
