package exchanger

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// conn is a connection to the server.
type conn struct {
	net.Conn
	r *bufio.Reader
	// limit counts the connection until it is closed.
	limit  *ConnectionLimit
	closed sync.Once
	// unread is how many more bytes may be read; a peer in trouble may send without end.
	unread int64
	// disconnected means that the server closed its side or reset the connection.
	disconnected bool
	idleSince    time.Time
	expires      time.Time
	// ids are the ids of the requests sent. A server in trouble may repeat its response to
	// any of them.
	ids []string
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.r = bufio.NewReaderSize(c, bufferBytes)
	return c
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.limit.give)
	return err
}

// Read reads up to the limit of the response that is being read.
func (c *conn) Read(b []byte) (int, error) {
	if c.unread <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.unread)])
	c.unread -= int64(n)
	if err != nil {
		c.disconnected = errors.IsAny(err, io.EOF, unix.ECONNRESET)
	}
	return n, err
}

// reusable reports whether an idle connection is open and has no unread data.
func (c *conn) reusable() bool { return c.r.Buffered() == 0 && IsQuiet(c.Conn) }
