package executor

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"papayapass.dev/papayapass/internal/exchanger"
)

// dialTimeout bounds the opening of a connection to the backend server.
const dialTimeout = 500 * time.Millisecond

// errDial marks failures to connect: no byte reached the backend server.
var errDial = errors.New("cannot connect to the backend server")

// errStale marks requests that were not sent because their connection had received something
// since the last response, or was closed.
var errStale = errors.New("idle connection to the backend server is not quiet")

// dial opens a connection for a client that sends one request at a time.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect to the backend server"), errDial)
	}
	return &backendConn{Conn: conn}, nil
}

// backendConn reports the end of a connection as an error. Otherwise a body that is delimited
// by the end of the connection looks complete when the backend server crashes in the middle.
// It sends no request after bytes that belong to none.
type backendConn struct {
	net.Conn

	// answered is set while the connection has been read from since the last request.
	answered bool
	status   statusChecker
}

// Read reads from the connection.
func (c *backendConn) Read(p []byte) (int, error) {
	c.answered = true
	n, err := c.Conn.Read(p)
	if malformed := c.status.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF { //nolint:errorlint // net.Conn returns it unwrapped
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Write writes to the connection.
func (c *backendConn) Write(p []byte) (int, error) {
	if c.answered && !exchanger.IsQuiet(c.Conn) {
		return 0, errStale
	}
	if c.answered {
		c.status = statusChecker{}
	}
	c.answered = false
	return c.Conn.Write(p)
}
