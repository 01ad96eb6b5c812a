// Package view holds what an instance knows of the world at one moment.
package view

import (
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
)

// View is an immutable configuration and list with the time of their last confirmation.
type View struct {
	config    set.Set
	roster    roster.Roster
	confirmed time.Time
	instances []string
}

// Config is the configuration in force.
func (v View) Config() set.Set { return v.config }

// Roster is the last list read.
func (v View) Roster() roster.Roster { return v.roster }

// Age is the time since the view was last confirmed.
func (v View) Age(now time.Time) time.Duration { return now.Sub(v.confirmed) }

// IsComplete tells whether a configuration and a list have been read.
func (v View) IsComplete() bool { return v.config.Revision() > 0 && v.roster.Version() > 0 }

// WithConfig gives a view with another configuration.
func (v View) WithConfig(s set.Set) View {
	v.config = s
	return v
}

// WithRoster gives a view with another list.
func (v View) WithRoster(r roster.Roster) View {
	v.roster = r
	v.instances = nil
	for _, m := range r.Of(member.KindInstance) {
		if m.State != member.StateLeaving {
			v.instances = append(v.instances, m.Name)
		}
	}
	return v
}

// WithConfirmed gives a view confirmed at now.
func (v View) WithConfirmed(now time.Time) View {
	v.confirmed = now
	return v
}

// Permits tells whether new work may go to the named upstream:
// it is listed, not leaving, and its failure domain is not out.
func (v View) Permits(upstream string) bool {
	m, ok := v.roster.Member(upstream)
	return ok && v.Admits(m)
}

// Admits tells the same of an upstream that was found in the list.
func (v View) Admits(m member.Member) bool {
	return m.State != member.StateLeaving && !v.config.IsOut(m.FailureDomain)
}

// Instances gives the names of the listed instances that are not leaving, sorted.
func (v View) Instances() []string { return v.instances }
