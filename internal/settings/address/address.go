// Package address validates the network addresses in settings.
package address

import "net/netip"

// InvalidReason returns why value is not an address of an IP literal and a port, or "" if it is valid.
func InvalidReason(value string) string {
	if value == "" {
		return "is missing"
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return "want an IP literal and a port from 1 to 65535, not " + value
	}
	if addr.Port() == 0 {
		return "port 0 is out of range"
	}
	return ""
}
