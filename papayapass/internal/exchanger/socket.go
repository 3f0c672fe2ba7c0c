package exchanger

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// controlSocket bounds how long sent bytes may stay unacknowledged.
func controlSocket(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
