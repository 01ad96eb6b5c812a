// Package view holds what an instance knows of the world at one moment.
package view

import (
	"slices"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
)

// View is an immutable configuration and list with the evidence of how fresh they are.
type View struct {
	config   set.Set
	roster   roster.Roster
	evidence freshness.Freshness
	listed   []member.Member // instances that are not leaving, sorted by name
	avoided  []string        // instances that contact has shown to be gone or leaving, sorted
	left     []string        // those of them that said that they leave, sorted
	usable   []string        // names of the listed instances that are not avoided, sorted
}

// Config is the configuration in force.
func (v View) Config() set.Set { return v.config }

// Roster is the last list read.
func (v View) Roster() roster.Roster { return v.roster }

// Freshness tells how fresh the view is.
func (v View) Freshness() freshness.Freshness { return v.evidence }

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
	same := r.SharesInstances(v.roster)
	v.roster = r
	if same {
		return v
	}
	v.listed = slices.DeleteFunc(r.OfKind(member.KindInstance), func(m member.Member) bool {
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

// WithFreshness gives a view with other evidence.
func (v View) WithFreshness(e freshness.Freshness) View {
	v.evidence = e
	return v
}

// WithConfirmation gives a view that the platform confirmed at the given moment.
func (v View) WithConfirmation(at time.Time) View {
	return v.WithFreshness(v.evidence.WithConfig(at).WithList(at))
}

// AllowsUpstream tells whether new work may go to the named upstream:
// it is listed, not leaving, and its failure domain is not out.
func (v View) AllowsUpstream(upstream string) bool {
	m, ok := v.roster.Member(upstream)
	return ok && v.AllowsMember(m)
}

// AllowsMember tells the same of an upstream that was found in the list.
func (v View) AllowsMember(m member.Member) bool {
	return m.State != member.StateLeaving && !v.config.IsDomainExcluded(m.FailureDomain)
}

// Instances gives the names of the listed instances that are neither leaving nor avoided, sorted.
func (v View) Instances() []string { return v.usable }

// ListedInstances gives the listed instances that are not leaving, sorted by name.
func (v View) ListedInstances() []member.Member { return v.listed }

// Avoided gives the names of the instances that contact has shown to be gone or leaving, sorted.
func (v View) Avoided() []string { return v.avoided }

// IsLeaving tells whether an instance said that it leaves; the list may lag behind that.
func (v View) IsLeaving(instance string) bool { return slices.Contains(v.left, instance) }

// Leaving gives the names of the instances that said that they leave, sorted.
func (v View) Leaving() []string { return v.left }
