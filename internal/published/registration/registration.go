// Package registration is what one upstream publishes of itself.
package registration

import "time"

// Registration is one upstream as of its newest report. It is immutable.
type Registration struct {
	Upstream      string // its name, which is new for most starts
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	// Draining tells that the upstream gets no new work.
	Draining bool
	// Cold is how much longer the upstream is slow after its start, as of the report.
	Cold time.Duration
	// Incarnation is the time of the upstream's start in Unix milliseconds.
	Incarnation int64
	// Sequence counts the reports of one incarnation.
	Sequence int64
}

// IsNewerThan tells whether r was reported after o.
func (r Registration) IsNewerThan(o Registration) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	return r.Sequence > o.Sequence
}
