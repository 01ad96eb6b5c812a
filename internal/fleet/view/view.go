// Package view combines the configuration in force, the member list and their freshness into the immutable state from
// which an instance routes a request.
package view

import (
	"slices"
	"time"

	"crocuswing/internal/config/set"
	"crocuswing/internal/fleet/freshness"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
)

// View is an immutable configuration and member list, with the times at which they were last confirmed.
type View struct {
	config    set.Set
	roster    roster.Roster
	freshness freshness.Freshness
	listed    []member.Member // instances that are not leaving, sorted by name
	avoided   []string        // names of the instances that are suspected or leaving, sorted
	leaving   []string        // names of the avoided instances that announced that they are leaving, sorted
	usable    []string        // names of the listed instances that are not avoided, sorted
}

// Config returns the configuration in force.
func (v View) Config() set.Set { return v.config }

// Roster returns the latest member list.
func (v View) Roster() roster.Roster { return v.roster }

// Freshness returns the times at which the view was last confirmed.
func (v View) Freshness() freshness.Freshness { return v.freshness }

// Age returns the time since the platform last confirmed the view.
func (v View) Age(now time.Time) time.Duration { return v.freshness.Age(now) }

// IsComplete reports whether both a configuration and a list have been read.
func (v View) IsComplete() bool { return v.config.Revision() > 0 && v.roster.Version() > 0 }

// IsFresh reports whether the view may be used for new work at the given time.
func (v View) IsFresh(now time.Time) bool { return v.IsComplete() && v.freshness.IsFresh(now) }

// WithConfig returns v with another configuration.
func (v View) WithConfig(s set.Set) View {
	v.config = s
	return v
}

// WithRoster returns v with another member list.
func (v View) WithRoster(r roster.Roster) View {
	same := r.SharesInstances(v.roster)
	v.roster = r
	if same {
		return v
	}
	v.listed = slices.DeleteFunc(r.OfKind(member.KindInstance), func(m member.Member) bool {
		return m.State == member.StateLeaving
	})
	return v.WithAvoided(v.avoided, v.leaving)
}

// WithAvoided returns v with the avoided instances excluded from Instances; leaving names those of them that are leaving.
func (v View) WithAvoided(avoided, leaving []string) View {
	v.avoided = avoided
	v.leaving = leaving
	v.usable = make([]string, 0, len(v.listed))
	for _, m := range v.listed {
		if !slices.Contains(avoided, m.Name) {
			v.usable = append(v.usable, m.Name)
		}
	}
	return v
}

// WithFreshness returns v with other confirmation times.
func (v View) WithFreshness(f freshness.Freshness) View {
	v.freshness = f
	return v
}

// WithConfirmation returns v with configuration and list confirmed by the platform at the given time.
func (v View) WithConfirmation(at time.Time) View {
	return v.WithFreshness(v.freshness.WithConfig(at).WithList(at))
}

// AllowsUpstream reports whether new work may be sent to the named upstream: it is listed, it is not leaving, and its failure
// domain is not excluded.
func (v View) AllowsUpstream(upstream string) bool {
	m, ok := v.roster.Member(upstream)
	return ok && v.AllowsMember(m)
}

// AllowsMember is like AllowsUpstream for a member that the caller has already looked up.
func (v View) AllowsMember(m member.Member) bool {
	return m.State != member.StateLeaving && !v.config.IsDomainExcluded(m.FailureDomain)
}

// Instances returns the names of the listed instances that are neither leaving nor avoided, sorted.
func (v View) Instances() []string { return v.usable }

// ListedInstances returns the listed instances that are not leaving, sorted by name.
func (v View) ListedInstances() []member.Member { return v.listed }

// Avoided returns the names of the instances that are suspected or leaving, sorted.
func (v View) Avoided() []string { return v.avoided }

// IsLeaving reports whether an instance announced that it is leaving. The list may lag behind the announcement.
func (v View) IsLeaving(instance string) bool { return slices.Contains(v.leaving, instance) }

// Leaving returns the names of the instances that announced that they are leaving, sorted.
func (v View) Leaving() []string { return v.leaving }
