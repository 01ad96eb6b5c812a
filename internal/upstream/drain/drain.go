// Package drain decides whether an upstream is leaving. One signal suffices; its return is
// believed only after a quiet time, which doubles while the signal flaps.
package drain

import "time"

const (
	// InitialHold is the quiet time after the first signal.
	InitialHold = 5 * time.Second
	// MaxHold bounds the quiet time of a flapping signal.
	MaxHold = 80 * time.Second

	forgetAfter = 5 * time.Minute // quiet time after which a return counts as stable
)

// State is an immutable value; its methods give the next value.
type State struct {
	last time.Time // the last signal
	hold time.Duration
}

// WithSignal records at now that the upstream is leaving.
func (d State) WithSignal(now time.Time) State {
	switch quiet := now.Sub(d.last); {
	case d.last.IsZero() || quiet > forgetAfter:
		d.hold = InitialHold
	case quiet > d.hold:
		d.hold = min(2*d.hold, MaxHold)
	}
	d.last = now
	return d
}

// IsDraining tells whether the upstream counts as leaving at now.
func (d State) IsDraining(now time.Time) bool {
	return !d.last.IsZero() && now.Sub(d.last) <= d.hold
}
