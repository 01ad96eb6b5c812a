// Package deployment holds the settings of an instance that a platform places among others of its kind.
package deployment

import (
	"fmt"
	"time"

	"crocuswing/internal/settings/address"
)

// Settings are the settings of one instance. They are immutable. Addresses are "IP:port" literals.
type Settings struct {
	Instance      string
	FailureDomain string
	Region        string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// CallerAddress takes callers' requests, ReadyAddress answers whether the instance takes them.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress takes calls of other instances.
	PeerAddress string
	// MetricsAddress serves metrics.
	MetricsAddress string
	// Seeds are the peer addresses of some instances. They may be stale.
	Seeds        []string
	StoreAddress string
	MemoryBytes  int64
	// MaxSockets is the number of sockets that the process may have; 0 if it is not bounded.
	MaxSockets int
	Bounds
}

// Bounds are the times and shares that the operators of the platform set.
type Bounds struct {
	// DrainTime is how long upstreams serve on after they said that they leave.
	DrainTime time.Duration
	// MaxApplyTime is the time within which a configuration has to be in force.
	MaxApplyTime time.Duration
	// MaxStopTime is how long a planned stop may take.
	MaxStopTime time.Duration
	// ExtraRatio and ExtraSlack bound the attempts beyond the first of each request to a service, over all instances
	// and each ExtraWindow: the ratio times the requests, and the slack.
	ExtraRatio  float64
	ExtraSlack  int
	ExtraWindow time.Duration
	// ColdFactor and ColdSlack bound the requests a second to a cold upstream, over all instances: the factor times the
	// rate of its service, and the slack.
	ColdFactor float64
	ColdSlack  int
}

// Error tells which setting cannot be used.
type Error struct {
	File, Key, Reason string
}

// Error gives file, key and reason.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}

// HasSameAddresses tells whether both listen at the same addresses and use the same store.
func (s Settings) HasSameAddresses(o Settings) bool {
	return s.CallerAddress == o.CallerAddress && s.ReadyAddress == o.ReadyAddress && s.PeerAddress == o.PeerAddress &&
		s.MetricsAddress == o.MetricsAddress && s.StoreAddress == o.StoreAddress
}

// Check gives the first setting that cannot be used as *Error, whose Key is the name of the field.
func (s Settings) Check() error {
	for _, r := range []struct{ key, value string }{
		{"instance", s.Instance}, {"failure-domain", s.FailureDomain}, {"region", s.Region},
	} {
		if r.value == "" {
			return &Error{Key: r.key, Reason: "is missing"}
		}
	}
	addresses := []struct{ key, value string }{
		{"caller-address", s.CallerAddress},
		{"ready-address", s.ReadyAddress},
		{"peer-address", s.PeerAddress},
		{"metrics-address", s.MetricsAddress},
		{"store-address", s.StoreAddress},
	}
	for _, seed := range s.Seeds {
		addresses = append(addresses, struct{ key, value string }{"seeds", seed})
	}
	for _, a := range addresses {
		if fault := address.InvalidReason(a.value); fault != "" {
			return &Error{Key: a.key, Reason: fault}
		}
	}
	return s.check()
}

func (b Bounds) check() error {
	for _, r := range []struct {
		key   string
		value float64
	}{
		{"drain-time", b.DrainTime.Seconds()},
		{"apply-time", b.MaxApplyTime.Seconds()},
		{"stop-time", b.MaxStopTime.Seconds()},
		{"extra-window", b.ExtraWindow.Seconds()},
	} {
		if r.value <= 0 {
			return &Error{Key: r.key, Reason: "want a number above 0"}
		}
	}
	if b.ExtraRatio < 0 || b.ExtraSlack < 0 || b.ColdFactor < 0 || b.ColdSlack < 0 {
		return &Error{Key: "extra-ratio, extra-slack, cold-factor, cold-slack", Reason: "want no negative numbers"}
	}
	return nil
}
