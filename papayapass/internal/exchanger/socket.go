package exchanger

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer are the sizes asked of the kernel for each connection, in bytes.
	receiveBuffer = 16 << 10
	sendBuffer    = 64 << 10
	// MaxUnread is the most that the kernel holds of what a connection has received.
	MaxUnread = receiveBuffer + receiveBuffer/2
	// MaxUnsent is the most that the kernel holds of what was written to a connection.
	MaxUnsent = 128 << 10
)

// setSocketOptions sets the time limit of unacknowledged data and the sizes of the buffers.
func setSocketOptions(network, address string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer),
		)
	})
	return errors.CombineErrors(errors.CombineErrors(err, set), setUserTimeout(network, address, raw))
}

// setUserTimeout limits how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// IsQuiet reports whether a connection is open and has received nothing that is unread. What
// arrives before a request is sent is no response to it. What is no TCP connection counts as quiet.
func IsQuiet(c net.Conn) bool {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) { // Read would wait for other goroutines that read
		_, _, rerr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
	})
	return err == nil && quiet
}
