package socket

import "syscall"

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT from linux/tcp.h; package syscall does not define it

func setRawUserTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
