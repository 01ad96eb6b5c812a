// Package freshness tells how long ago a view was known to be the newest there is.
package freshness

import (
	"math"
	"time"
)

// MaxAge is the greatest age at which a view may begin new work. It stays below the 4 s in which a
// configuration has to be in force everywhere.
const MaxAge = 3500 * time.Millisecond

// Freshness holds moments in the time of this process. It is an immutable value; the zero value knows nothing.
type Freshness struct {
	config time.Time // the platform had no newer configuration
	list   time.Time // the platform had no newer list
	outage time.Time // a peer knew that the platform could not be read
}

// Config is the moment at which the platform last had no newer configuration.
func (e Freshness) Config() time.Time { return e.config }

// List is the moment at which the platform last had no newer list.
func (e Freshness) List() time.Time { return e.list }

// Outage is the moment as of which a peer last said that the platform could not be read.
func (e Freshness) Outage() time.Time { return e.outage }

// WithConfig notes that the configuration was the platform's newest at the given moment.
func (e Freshness) WithConfig(at time.Time) Freshness {
	e.config = later(e.config, at)
	return e
}

// WithList notes that the list was the platform's newest at the given moment.
func (e Freshness) WithList(at time.Time) Freshness {
	e.list = later(e.list, at)
	return e
}

// WithOutage notes a peer's word that the platform could not be read at the given moment.
func (e Freshness) WithOutage(at time.Time) Freshness {
	e.outage = later(e.outage, at)
	return e
}

// Age is the time since the platform last confirmed both configuration and list.
func (e Freshness) Age(now time.Time) time.Duration {
	return max(Since(now, e.config), Since(now, e.list))
}

// IsFresh tells whether the view may begin new work: the platform confirmed it lately, or a peer was
// reached lately that knew of no newer one because the platform cannot be read.
func (e Freshness) IsFresh(now time.Time) bool {
	return e.Age(now) <= MaxAge || Since(now, e.outage) <= MaxAge
}

// Since gives the time from then to now, or the longest duration if then is unset. It takes the longer of the
// monotonic and the wall clock's measure, since the monotonic clock stands still while a machine is suspended.
func Since(now, then time.Time) time.Duration {
	if then.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
