package socket

import (
	"math"
	"syscall"
)

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT from linux/tcp.h; package syscall does not define it

// MaxDescriptors returns the number of descriptors that the process may have open, or 0 if it is not known.
func MaxDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

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
