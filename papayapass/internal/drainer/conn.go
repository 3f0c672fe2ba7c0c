package drainer

import (
	"net"
	"sync"
	"time"
)

// listener wraps the connections that it accepts.
type listener struct{ net.Listener }

// Accept accepts a connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection that can be ended while no byte of a request has been read. A read
// deadline in the past ends it, so data already read is never dropped.
type conn struct {
	net.Conn

	mu    sync.Mutex
	busy  bool // a byte has been read since the last response
	ended bool
}

// NetConn returns the connection that it wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads data and marks the connection as busy.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.busy = true
		if c.ended {
			c.ended = false
			_ = c.Conn.SetReadDeadline(time.Time{}) // a broken connection fails at its next use
		}
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline sets the read deadline unless the connection has been ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// markIdle records that the last response has been sent.
func (c *conn) markIdle() {
	c.mu.Lock()
	c.busy = false
	c.mu.Unlock()
}

// endIfIdle ends the connection unless a request has started.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a broken connection has already ended
}
