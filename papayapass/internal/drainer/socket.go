package drainer

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer are the sizes asked of the kernel for each connection, in bytes. It
	// tunes them up to megabytes otherwise.
	receiveBuffer = 8 << 10
	sendBuffer    = 64 << 10
	// MaxUnread is the most that the kernel holds of what a connection has received.
	MaxUnread = receiveBuffer + receiveBuffer/2
	// raiseAfter is how much of a body is received before its connection gets a larger buffer of raisedBuffer
	// bytes, with which the kernel holds up to raisedUnread.
	raiseAfter   = 64 << 10
	raisedBuffer = 64 << 10
	raisedUnread = raisedBuffer + raisedBuffer/2
	// maxUnsent is the most that the kernel holds of what was written to a connection.
	maxUnsent = 128 << 10
)

// Listen listens at an address, for connections whose buffers in the kernel are limited.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Connections inherit the sizes; later, those that the client has seen could not be lowered.
		return control(raw, func(fd int) error {
			return errors.CombineErrors(
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
				unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
			)
		})
	}}
	return lc.Listen(ctx, "tcp", address)
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var result error
	err := raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return errors.CombineErrors(err, result)
}

// tcpConn returns the TCP connection that a connection wraps, or nil.
func tcpConn(c net.Conn) *net.TCPConn {
	for {
		if tcp, ok := c.(*net.TCPConn); ok {
			return tcp
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// unsent returns how many bytes that were written to a connection its client has not acknowledged; zero if
// it cannot be told, as for a connection that was closed.
func unsent(c *net.TCPConn) int64 {
	if c == nil {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := control(raw, func(fd int) error { n, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ); return err }); err != nil {
		return 0
	}
	return int64(n)
}
