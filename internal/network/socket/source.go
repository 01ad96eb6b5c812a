package socket

import (
	"net"
	"net/netip"
)

// networkBits is the length of the prefix of an IPv6 address that a single host may use as a whole.
const networkBits = 64

// Source returns what identifies the host at the other end of a TCP connection: its IPv4 address, or the network of its IPv6 address. It
// returns the zero value for other connections.
func Source(conn net.Conn) [16]byte {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return [16]byte{}
	}
	address := tcp.AddrPort().Addr().WithZone("").Unmap()
	if address.Is6() {
		return netip.PrefixFrom(address, networkBits).Masked().Addr().As16()
	}
	return address.As16()
}
