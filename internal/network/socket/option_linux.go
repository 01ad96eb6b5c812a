package socket

import "syscall"

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks

func setUserTimeout(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
