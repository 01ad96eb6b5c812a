// Package view holds what an instance knows of the world at one moment.
package view

import (
	"slices"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/evidence"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
)

// View is an immutable configuration and list with the evidence of how fresh they are.
type View struct {
	config   set.Set
	roster   roster.Roster
	evidence evidence.Evidence
	listed   []member.Member // instances that are not leaving, sorted by name
	avoided  []string        // instances that contact has shown to be gone or leaving, sorted
	left     []string        // those of them that said that they leave, sorted
	usable   []string        // names of the listed instances that are not avoided, sorted
}

// Config is the configuration in force.
func (v View) Config() set.Set { return v.config }

// Roster is the last list read.
func (v View) Roster() roster.Roster { return v.roster }

// Evidence tells how fresh the view is.
func (v View) Evidence() evidence.Evidence { return v.evidence }

// Age is the time since the platform last confirmed the view.
func (v View) Age(now time.Time) time.Duration { return v.evidence.Age(now) }

// IsComplete tells whether a configuration and a list have been read.
func (v View) IsComplete() bool { return v.config.Revision() > 0 && v.roster.Version() > 0 }

// IsFresh tells whether the view may begin new work at now.
func (v View) IsFresh(now time.Time) bool { return v.IsComplete() && v.evidence.IsFresh(now) }

// WithConfig gives a view with another configuration.
func (v View) WithConfig(s set.Set) View {
	v.config = s
	return v
}

// WithRoster gives a view with another list.
func (v View) WithRoster(r roster.Roster) View {
	same := r.HasInstancesOf(v.roster)
	v.roster = r
	if same {
		return v
	}
	v.listed = slices.DeleteFunc(r.Of(member.KindInstance), func(m member.Member) bool {
		return m.State == member.StateLeaving
	})
	return v.WithAvoided(v.avoided, v.left)
}

// WithAvoided gives a view whose Instances lack those in avoided, among them the ones that have left.
func (v View) WithAvoided(avoided, left []string) View {
	v.avoided = avoided
	v.left = left
	v.usable = make([]string, 0, len(v.listed))
	for _, m := range v.listed {
		if !slices.Contains(avoided, m.Name) {
			v.usable = append(v.usable, m.Name)
		}
	}
	return v
}

// WithEvidence gives a view with other evidence.
func (v View) WithEvidence(e evidence.Evidence) View {
	v.evidence = e
	return v
}

// WithConfirmed gives a view that the platform confirmed at the given moment.
func (v View) WithConfirmed(at time.Time) View {
	return v.WithEvidence(v.evidence.WithConfig(at).WithList(at))
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

// Instances gives the names of the listed instances that are neither leaving nor avoided, sorted.
func (v View) Instances() []string { return v.usable }

// Listed gives the listed instances that are not leaving, sorted by name.
func (v View) Listed() []member.Member { return v.listed }

// Avoided gives the names of the instances that contact has shown to be gone or leaving, sorted.
func (v View) Avoided() []string { return v.avoided }

// HasLeft tells whether an instance said that it leaves; the list may lag behind that.
func (v View) HasLeft(instance string) bool { return slices.Contains(v.left, instance) }

// Left gives the names of the instances that said that they leave, sorted.
func (v View) Left() []string { return v.left }
