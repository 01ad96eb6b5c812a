package socket

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUserTimeoutOnBothEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := NewDialer(time.Second).Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.NoError(t, SetUserTimeout(accepted))

	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		require.Equal(t, int(UserTimeout.Milliseconds()), sockopt(t, conn, tcpUserTimeout), name)
	}
	require.Equal(t, int(keepAliveIdle.Seconds()), sockopt(t, dialed, syscall.TCP_KEEPIDLE))
}

func sockopt(t *testing.T, conn net.Conn, name int) int {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var value int
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
	}))
	require.NoError(t, err)
	return value
}
