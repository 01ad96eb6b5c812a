// Package deployment holds the settings of an instance that a platform deploys and configures.
// Package platform/settings decodes them from the file of the platform, and package gateway applies them at the start and at
// each reload.
package deployment

import (
	"fmt"
	"time"

	"crocuswing/internal/settings/address"
)

// Limits on the numbers of the settings, far above those of any deployment.
const (
	MaxBoundTime   = 24 * time.Hour
	MaxCount       = 1 << 30
	MaxMemoryBytes = 1 << 50
	// MaxCrossingPrice is the highest price of a crossing for each KiB. At it, a response of a few KiB keeps every request near.
	MaxCrossingPrice = time.Minute
)

// Settings are the immutable settings of one instance. Addresses are "IP:port" literals.
type Settings struct {
	Instance      string
	FailureDomain string
	Region        string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// CallerAddress is the listen address for callers' requests, and ReadyAddress that for the readiness check.
	CallerAddress string
	ReadyAddress  string
	// PeerAddress is the listen address for calls from other instances.
	PeerAddress string
	// MetricsAddress is the listen address for the metrics.
	MetricsAddress string
	// Seeds are peer addresses of other instances for the first contact. They may be stale.
	Seeds        []string
	StoreAddress string
	MemoryBytes  int64
	// MaxSockets is the maximum number of open sockets of the process, or 0 if there is no limit.
	MaxSockets int
	// CrossingPrice is the waiting that a request has to save for each KiB of its response before it leaves the failure domain.
	CrossingPrice time.Duration
	// Capacity is the processor time of the instance in thousandths of a core, or 0 if unknown.
	Capacity int
	Bounds
}

// Bounds are the time and load limits that the operators of the platform set.
type Bounds struct {
	// DrainTime is how long an upstream keeps serving after it announced that it is draining.
	DrainTime time.Duration
	// ReportInterval is the interval at which upstreams report to the store; 0 if unknown.
	ReportInterval time.Duration
	// MaxApplyTime is the time within which a new configuration has to be in force.
	MaxApplyTime time.Duration
	// MaxStopTime is the maximum duration of a planned stop.
	MaxStopTime time.Duration
	// ExtraRatio and ExtraSlack limit the attempts beyond the first of each request to a service, summed over all
	// instances within any ExtraWindow, to ExtraRatio times the requests plus ExtraSlack.
	ExtraRatio  float64
	ExtraSlack  int
	ExtraWindow time.Duration
	// ColdFactor and ColdSlack limit the requests per second to a cold upstream, summed over all instances, to
	// ColdFactor times the rate of its service plus ColdSlack.
	ColdFactor float64
	ColdSlack  int
	// QuotaWindow, QuotaOverage and QuotaSlack limit the requests of a workspace that run within any QuotaWindow, summed over all
	// instances, to its quota for this time, times 1+QuotaOverage, plus QuotaSlack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// MaxKeyAge is the age of the published state above which requests with a key are refused, because the key may have been removed;
	// 0 means that they never are.
	MaxKeyAge time.Duration
}

// Error reports an invalid setting.
type Error struct {
	File, Key, Reason string
}

// Error returns file, key and reason on one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Key, e.Reason)
}

// HasSameAddresses reports whether both settings have the same listen addresses and the same store address.
func (s Settings) HasSameAddresses(other Settings) bool {
	return s.CallerAddress == other.CallerAddress && s.ReadyAddress == other.ReadyAddress && s.PeerAddress == other.PeerAddress &&
		s.MetricsAddress == other.MetricsAddress && s.StoreAddress == other.StoreAddress
}

// Check returns the first invalid setting as an *Error whose Key is the name of the setting.
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
		if reason := address.InvalidReason(a.value); reason != "" {
			return &Error{Key: a.key, Reason: reason}
		}
	}
	if err := s.checkCapacity(); err != nil {
		return err
	}
	if s.CrossingPrice < 0 || s.CrossingPrice > MaxCrossingPrice {
		return &Error{Key: "crossing-price", Reason: fmt.Sprintf("is %v, want 0 to %v", s.CrossingPrice, MaxCrossingPrice)}
	}
	return s.check()
}

// checkCapacity checks what the instance may use.
func (s Settings) checkCapacity() error {
	if s.MemoryBytes < 0 || s.MemoryBytes > MaxMemoryBytes {
		return &Error{Key: "memory", Reason: fmt.Sprintf("is %d bytes, want 0 to %d", s.MemoryBytes, int64(MaxMemoryBytes))}
	}
	if s.MaxSockets < 0 || s.MaxSockets > MaxCount {
		return &Error{Key: "sockets", Reason: fmt.Sprintf("is %d, want 0 to %d", s.MaxSockets, MaxCount)}
	}
	if s.Capacity < 0 || s.Capacity > MaxCount {
		return &Error{Key: "capacity", Reason: fmt.Sprintf("want 0 to %d thousandths of a core", MaxCount)}
	}
	return nil
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
		{"quota-window", b.QuotaWindow.Seconds()},
	} {
		if r.value <= 0 || r.value > MaxBoundTime.Seconds() {
			return &Error{Key: r.key, Reason: fmt.Sprintf("want a number above 0 and at most %v", MaxBoundTime)}
		}
	}
	if b.ReportInterval < 0 || b.ReportInterval > MaxBoundTime {
		return &Error{Key: "report-interval", Reason: fmt.Sprintf("is %v, want 0 to %v", b.ReportInterval, MaxBoundTime)}
	}
	if b.MaxKeyAge < 0 || b.MaxKeyAge > MaxBoundTime {
		return &Error{Key: "max-key-age", Reason: fmt.Sprintf("is %v, want 0 to %v", b.MaxKeyAge, MaxBoundTime)}
	}
	for _, r := range []struct {
		key   string
		value float64
	}{
		{"extra-ratio", b.ExtraRatio},
		{"extra-slack", float64(b.ExtraSlack)},
		{"cold-factor", b.ColdFactor},
		{"cold-slack", float64(b.ColdSlack)},
		{"quota-overage", b.QuotaOverage},
		{"quota-slack", b.QuotaSlack},
	} {
		if !(r.value >= 0 && r.value <= MaxCount) { // false for NaN too
			return &Error{Key: r.key, Reason: fmt.Sprintf("is %g, want 0 to %d", r.value, MaxCount)}
		}
	}
	return nil
}
