package socket

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// remote is a connection from an address.
type remote struct {
	net.Conn
	address net.Addr
}

func (c remote) RemoteAddr() net.Addr { return c.address }

// TestSource guards against a host that counts as several because it uses many addresses of its network, and against hosts that count as one.
func TestSource(t *testing.T) {
	source := func(ip string, port int) [16]byte {
		return Source(remote{address: &net.TCPAddr{IP: net.ParseIP(ip), Port: port}})
	}
	require.Equal(t, source("10.0.0.1", 1), source("10.0.0.1", 2))
	require.Equal(t, source("10.0.0.1", 1), source("::ffff:10.0.0.1", 1))
	require.NotEqual(t, source("10.0.0.1", 1), source("10.0.0.2", 1))
	require.Equal(t, source("2001:db8::1", 1), source("2001:db8::ffff:1", 1))
	require.NotEqual(t, source("2001:db8::1", 1), source("2001:db8:0:1::1", 1))
	require.Zero(t, Source(remote{address: &net.UnixAddr{Name: "a"}}))
}
