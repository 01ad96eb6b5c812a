// Package socket sets TCP options on connections to upstreams and the store and between instances, so that the kernel closes
// a connection whose network path is dead.
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
	// UserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection.
	UserTimeout = 10 * time.Second
)

// NewDialer returns a dialer that sets TCP keep-alive and TCP_USER_TIMEOUT (RFC 5482) on its connections.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setRawUserTimeout(raw) },
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT on an accepted TCP connection. It leaves other connections unchanged.
func SetUserTimeout(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setRawUserTimeout(raw)
}
