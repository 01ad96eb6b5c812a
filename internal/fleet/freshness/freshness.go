// Package freshness records when a view was last confirmed to be the newest, and decides whether it is recent enough for
// new requests.
package freshness

import (
	"math"
	"time"
)

// MaxAge is the maximum age of a view that may be used for new work. It is below the 4 s within which a configuration has
// to be in force everywhere.
const MaxAge = 3500 * time.Millisecond

// Freshness holds the times of the last confirmations, by this process's clock. It is immutable; the zero value is unconfirmed.
type Freshness struct {
	configAt time.Time // last time at which the platform had no newer configuration
	listAt   time.Time // last time at which the platform had no newer list
	outageAt time.Time // last time at which a peer could not read the platform
}

// Config returns the last time at which the platform had no newer configuration.
func (f Freshness) Config() time.Time { return f.configAt }

// List returns the last time at which the platform had no newer list.
func (f Freshness) List() time.Time { return f.listAt }

// Outage returns the last time for which a peer reported that the platform could not be read.
func (f Freshness) Outage() time.Time { return f.outageAt }

// WithConfig returns f with the configuration confirmed as the platform's newest at the given time.
func (f Freshness) WithConfig(at time.Time) Freshness {
	f.configAt = latest(f.configAt, at)
	return f
}

// WithList returns f with the list confirmed as the platform's newest at the given time.
func (f Freshness) WithList(at time.Time) Freshness {
	f.listAt = latest(f.listAt, at)
	return f
}

// WithOutage returns f with a peer's report that the platform could not be read at the given time.
func (f Freshness) WithOutage(at time.Time) Freshness {
	f.outageAt = latest(f.outageAt, at)
	return f
}

// Age returns the time since the platform last confirmed both configuration and list.
func (f Freshness) Age(now time.Time) time.Duration {
	return max(Since(now, f.configAt), Since(now, f.listAt))
}

// IsFresh reports whether the view may be used for new work: within MaxAge, either the platform confirmed it, or a peer
// was reached that has no newer view and reported that the platform cannot be read.
func (f Freshness) IsFresh(now time.Time) bool {
	return f.Age(now) <= MaxAge || Since(now, f.outageAt) <= MaxAge
}

// Since returns the time from then to now, or the maximum duration if then is zero. It uses the longer of the monotonic and
// the wall-clock duration, because the monotonic clock stops while the machine is suspended.
func Since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
