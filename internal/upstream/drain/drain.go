// Package drain decides whether an upstream is draining and must get no new work. Package target asks it before each attempt.
//
// A single signal is enough: the upstream counts as draining until a hold time has passed without another signal. The hold time
// doubles while the signal flaps.
package drain

import "time"

const (
	// InitialHold is the hold time after the first signal.
	InitialHold = 5 * time.Second
	// MaxHold is the maximum hold time of a flapping signal.
	MaxHold = 80 * time.Second

	stableAfter = 5 * time.Minute // time without a signal after which the hold time is reset
)

// State is the draining state of one upstream. It is immutable; its methods return the next state. The zero value is
// an upstream that is not draining.
type State struct {
	lastSignal time.Time
	hold       time.Duration
}

// WithSignal records a signal at now that the upstream is draining.
func (s State) WithSignal(now time.Time) State {
	switch elapsed := now.Sub(s.lastSignal); {
	case s.lastSignal.IsZero() || elapsed > stableAfter:
		s.hold = InitialHold
	case elapsed > s.hold:
		s.hold = min(2*s.hold, MaxHold)
	}
	s.lastSignal = now
	return s
}

// IsDraining reports whether the upstream counts as draining at now.
func (s State) IsDraining(now time.Time) bool {
	return !s.lastSignal.IsZero() && now.Sub(s.lastSignal) <= s.hold
}
