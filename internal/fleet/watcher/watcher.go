// Package watcher chooses the instances that read the platform for the others of their failure domain.
//
// The choice is made from the view by rendezvous hashing, without agreement. Too many watchers cost
// reads, too few cost a refresh; neither does harm. Rendezvous hashing: Thaler and Ravishankar,
// IEEE/ACM Transactions on Networking 6(1), 1998.
package watcher

import (
	"cmp"
	"slices"

	"crocuswing/internal/fleet/member"

	"github.com/cespare/xxhash/v2"
)

const (
	clientsPerWatcher = 10
	minWatchers       = 3   // in each failure domain, as far as it has instances
	maxWatchers       = 300 // in the fleet, which bounds the reads of the platform
)

// Plan tells an instance its part in reading the platform. It is an immutable value.
type Plan struct {
	watches bool
	near    []string
	far     []string
}

// New makes the plan of self in its failure domain. Avoided instances are passed over.
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
		for _, m := range choose(name, members, len(domains)) {
			switch {
			case m.Name == self.Name:
				p.watches = true
			case m.FailureDomain == self.FailureDomain:
				p.near = append(p.near, m.Name)
			default:
				p.far = append(p.far, m.Name)
			}
		}
	}
	slices.Sort(p.far)
	return p
}

// IsWatcher tells whether the instance reads the platform.
func (p Plan) IsWatcher() bool { return p.watches }

// SameDomain gives the other watchers of the instance's failure domain, the first choice first.
func (p Plan) SameDomain() []string { return p.near }

// OtherDomains gives the watchers of the other failure domains, sorted.
func (p Plan) OtherDomains() []string { return p.far }

// choose gives the watchers of one failure domain, the highest score first.
func choose(domain string, members []member.Member, domains int) []member.Member {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m.Name] = xxhash.Sum64String(m.Name + "\x00" + domain)
	}
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return members[:count(len(members), domains)]
}

func count(members, domains int) int {
	want := (members + clientsPerWatcher) / (clientsPerWatcher + 1)
	most := max(minWatchers, maxWatchers/domains)
	return min(members, min(max(want, minWatchers), most))
}
