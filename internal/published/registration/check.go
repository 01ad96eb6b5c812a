package registration

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	// MaxNameBytes is the maximum length of the names of an upstream, a service and a failure domain.
	MaxNameBytes = 128
	// MaxSlots is the maximum number of slots of an upstream.
	MaxSlots = 1 << 16
	// MaxCold is the maximum remaining cold time.
	MaxCold = 24 * time.Hour
	// maxCount bounds the incarnation, a time in milliseconds, and the sequence: larger integers are not exact in all encoders.
	maxCount = 1 << 53
)

// Error reports a value of a registration that is out of range.
type Error struct {
	Upstream string
	// Field is the name of the value, Got the value and Want the permitted range.
	Field, Got, Want string
}

// Error returns the value and its permitted range.
func (e *Error) Error() string {
	return fmt.Sprintf("upstream %.*q: %s is %s, want %s", MaxNameBytes, e.Upstream, e.Field, e.Got, e.Want)
}

// Check returns *Error if a value is out of range. Any writer may have stored the registration, so that it names an upstream only if
// all of its values are plausible.
func (r Registration) Check() error {
	for _, name := range []struct{ field, value string }{{"name", r.Upstream}, {"service", r.Service}, {"failure domain", r.FailureDomain}} {
		if err := CheckName(name.field, name.value); err != nil {
			return err
		}
	}
	if !isHostAddress(r.Address) {
		return &Error{Upstream: r.Upstream, Field: "address", Got: fmt.Sprintf("%.80q", r.Address), Want: "an IPv4 address of a host and a port"}
	}
	for _, number := range []struct {
		field                string
		got, lowest, highest int64
	}{
		{"number of slots", int64(r.Slots), 1, MaxSlots},
		{"cold time in milliseconds", r.Cold.Milliseconds(), 0, MaxCold.Milliseconds()},
		{"incarnation", r.Incarnation, 0, maxCount},
		{"sequence", r.Sequence, 0, maxCount},
	} {
		if number.got < number.lowest || number.got > number.highest {
			return &Error{Upstream: r.Upstream, Field: number.field, Got: fmt.Sprint(number.got), Want: fmt.Sprintf("%d to %d", number.lowest, number.highest)}
		}
	}
	return nil
}

// isHostAddress reports whether address is the IPv4 address of a host with a port. Upstreams are not looked up by name.
func isHostAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Is4() && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Port() != 0
}

// CheckName returns *Error if a name is empty, too long, or has bytes other than printable ASCII without spaces. Names travel in headers.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return &Error{Upstream: name, Field: field, Got: fmt.Sprintf("%d bytes long", len(name)), Want: fmt.Sprintf("1 to %d bytes", MaxNameBytes)}
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return &Error{Upstream: name, Field: field, Got: fmt.Sprintf("%q", name), Want: "printable ASCII without spaces"}
		}
	}
	return nil
}
