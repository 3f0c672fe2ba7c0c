package exchanger

import (
	"syscall"

	"golang.org/x/sys/unix"
)

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
