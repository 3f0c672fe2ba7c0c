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

// conn is a connection that can be ended as long as no byte of a request has been
// read. It is ended by its read deadline: what has been read before is never dropped.
type conn struct {
	net.Conn

	mu    sync.Mutex
	begun bool // a byte has been read since the last answer
	ended bool
}

// Read reads, and marks the connection as busy.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.begun = true
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

// rest tells that the answer to the last request has been sent.
func (c *conn) rest() {
	c.mu.Lock()
	c.begun = false
	c.mu.Unlock()
}

// end ends the connection unless a request has begun.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a broken connection has ended
}
