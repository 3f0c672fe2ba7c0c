package executor

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds the opening of a connection to the backend server.
const dialTimeout = 500 * time.Millisecond

// errDial marks failures to connect: no byte reached the backend server.
var errDial = errors.New("cannot connect to the backend server")

// dial opens a connection that returns io.ErrUnexpectedEOF at its end.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect to the backend server"), errDial)
	}
	return unexpectedEOFConn{Conn: conn}, nil
}

// unexpectedEOFConn reports the end of a connection as an error. Otherwise a
// body that is delimited by the end of the connection looks complete when the
// backend server crashes in the middle.
type unexpectedEOFConn struct {
	net.Conn
}

// Read reads from the connection.
func (c unexpectedEOFConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns it unwrapped
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
