// Package socket sets up TCP connections so that the kernel notices a dead path.
package socket

import (
	"net"
	"syscall"
	"time"
)

const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 3
	// UserTimeout is how long sent bytes may stay unacknowledged before the kernel breaks the connection.
	UserTimeout = 10 * time.Second
)

// NewDialer makes a dialer whose connections carry TCP keep-alive and TCP_USER_TIMEOUT (RFC 5482).
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT on an accepted connection. Other kinds of connection are left as they are.
func SetUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}
