// Package watcher selects the instances that watch the platform on behalf of the others in their failure domain.
//
// Each instance makes the selection from its own view by rendezvous hashing, without agreement. If the views differ, there may
// be too many watchers, which costs additional reads, or too few, which costs a refresh; neither affects correctness.
// Rendezvous hashing: Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6(1), 1998.
package watcher

import (
	"cmp"
	"slices"

	"crocuswing/internal/fleet/member"

	"github.com/cespare/xxhash/v2"
)

const (
	clientsPerWatcher = 10
	minWatchers       = 3   // per failure domain, if it has that many instances
	maxWatchers       = 300 // over all failure domains; bounds the load on the platform
)

// Plan is the selection of watchers as seen by one instance. It is immutable.
type Plan struct {
	isWatcher    bool
	sameDomain   []string
	otherDomains []string
}

// New returns the plan of the instance self, selected from self and the listed instances that are not avoided.
func New(self member.Member, listed []member.Member, avoided []string) Plan {
	domains := make(map[string][]member.Member)
	domains[self.FailureDomain] = []member.Member{self}
	for _, m := range listed {
		if m.Name != self.Name && !slices.Contains(avoided, m.Name) {
			domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
		}
	}
	var p Plan
	for name, members := range domains {
		for _, m := range elect(name, members, len(domains)) {
			switch {
			case m.Name == self.Name:
				p.isWatcher = true
			case m.FailureDomain == self.FailureDomain:
				p.sameDomain = append(p.sameDomain, m.Name)
			default:
				p.otherDomains = append(p.otherDomains, m.Name)
			}
		}
	}
	slices.Sort(p.otherDomains)
	return p
}

// IsWatcher reports whether the instance itself is a watcher.
func (p Plan) IsWatcher() bool { return p.isWatcher }

// SameDomain returns the other watchers of the instance's failure domain, by descending score.
func (p Plan) SameDomain() []string { return p.sameDomain }

// OtherDomains returns the watchers of the other failure domains, sorted.
func (p Plan) OtherDomains() []string { return p.otherDomains }

// elect returns the watchers of one failure domain, by descending score. It reorders members.
func elect(domain string, members []member.Member, domains int) []member.Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = xxhash.Sum64String(m.Name + "\x00" + domain)
	}
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return members[:watcherCount(len(members), domains)]
}

// watcherCount returns the number of watchers of a failure domain with the given number of members.
func watcherCount(members, domains int) int {
	want := (members + clientsPerWatcher) / (clientsPerWatcher + 1)
	limit := max(minWatchers, maxWatchers/domains)
	return min(members, min(max(want, minWatchers), limit))
}
