// Package registration describes an upstream as it registers itself in the platform's store: its address, capacity and state. An
// instance uses it to decide where attempts may be sent.
package registration

import "time"

// Registration is the newest report of one upstream. It is immutable.
type Registration struct {
	Upstream      string // its name, which differs after most restarts
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining reports that the upstream must receive no new work.
	Draining bool
	// Cold is the remaining time in which the upstream is slow after its start, as of the report.
	Cold time.Duration
	// Incarnation is the start time of the upstream in Unix milliseconds.
	Incarnation int64
	// Sequence is the number of the report within its incarnation.
	Sequence int64
}

// IsNewerThan reports whether r was sent after o.
func (r Registration) IsNewerThan(o Registration) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}
