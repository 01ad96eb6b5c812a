// Package departure decides whether an upstream is leaving. One signal suffices; its return is
// believed only after a quiet time, which doubles while the signal flaps.
package departure

import "time"

const (
	// FirstHold is the quiet time after the first signal.
	FirstHold = 5 * time.Second
	// LongestHold bounds the quiet time of a flapping signal.
	LongestHold = 80 * time.Second

	forgetAfter = 5 * time.Minute // quiet time after which a return counts as stable
)

// Departure is an immutable value; its methods give the next value.
type Departure struct {
	last time.Time // the last signal
	hold time.Duration
}

// WithSignal records at now that the upstream is leaving.
func (d Departure) WithSignal(now time.Time) Departure {
	switch quiet := now.Sub(d.last); {
	case d.last.IsZero() || quiet > forgetAfter:
		d.hold = FirstHold
	case quiet > d.hold:
		d.hold = min(2*d.hold, LongestHold)
	}
	d.last = now
	return d
}

// IsLeaving tells whether the upstream counts as leaving at now.
func (d Departure) IsLeaving(now time.Time) bool {
	return !d.last.IsZero() && now.Sub(d.last) <= d.hold
}
