// Package home ranks the instances for each upstream by rendezvous hashing. Instances in the
// upstream's failure domain rank before others in its region, and these before the rest.
//
// Rendezvous hashing was published by Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
package home

import (
	"slices"
	"strings"
	"sync"

	"crocuswing/internal/upstream/contract"

	"github.com/cespare/xxhash/v2"
)

// Location is a failure domain and its region.
type Location struct {
	FailureDomain string
	Region        string
}

// Candidate is an instance that may be a home.
type Candidate struct {
	Name string
	Location
}

// Ranking is one list of candidates. It is safe for concurrent use.
type Ranking struct {
	candidates []Candidate

	mu     sync.Mutex
	groups map[Location]*Group
	former map[Location]*Group // of the ranking before this one
}

// New makes a ranking of the candidates.
func New(candidates []Candidate) *Ranking {
	r := &Ranking{candidates: slices.Clone(candidates), groups: make(map[Location]*Group)}
	slices.SortFunc(r.candidates, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// WithCandidates makes a ranking of other candidates. It keeps the groups that did not change,
// so that what was computed from them stays valid. The same candidates give the same ranking.
func (r *Ranking) WithCandidates(candidates []Candidate) *Ranking {
	next := New(candidates)
	if slices.Equal(r.candidates, next.candidates) {
		return r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next.former = r.groups
	return next
}

// Len is the number of candidates.
func (r *Ranking) Len() int { return len(r.candidates) }

// LocationOf finds the place of a candidate.
func (r *Ranking) LocationOf(name string) (Location, bool) {
	n, ok := slices.BinarySearchFunc(r.candidates, name, func(c Candidate, name string) int {
		return strings.Compare(c.Name, name)
	})
	if !ok {
		return Location{}, false
	}
	return r.candidates[n].Location, true
}

// Group gives the candidates as upstreams in the given place see them. Two rankings give the same
// group, by pointer, where its candidates are the same and one ranking follows the other.
func (r *Ranking) Group(p Location) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[p]; ok {
		return g
	}
	g := newGroup(r.candidates, p)
	if old, ok := r.former[p]; ok && old.equals(g) {
		g = old
	}
	r.groups[p] = g
	return g
}

// Group is the candidates for the upstreams of one place, nearest first. It is immutable.
type Group struct {
	tiers [][]scored
}

type scored struct {
	name  string
	hash  uint64
	score uint64
}

func newGroup(candidates []Candidate, p Location) *Group {
	var tiers [3][]scored
	for _, c := range candidates {
		n := p.Distance(c.Location)
		tiers[n] = append(tiers[n], scored{name: c.Name, hash: xxhash.Sum64String(c.Name)})
	}
	g := &Group{}
	for _, tier := range tiers {
		if len(tier) == 0 {
			continue
		}
		g.tiers = append(g.tiers, tier)
		if len(tier) >= contract.MaxHomes {
			break // farther candidates cannot become homes
		}
	}
	return g
}

// Distance is 0 within a failure domain, 1 within a region, else 2.
func (p Location) Distance(q Location) int {
	switch {
	case p.FailureDomain != "" && p.FailureDomain == q.FailureDomain:
		return 0
	case p.Region != "" && p.Region == q.Region:
		return 1
	}
	return 2
}

func (g *Group) equals(other *Group) bool {
	return slices.EqualFunc(g.tiers, other.tiers, func(a, b []scored) bool { return slices.Equal(a, b) })
}

// CanBeHome tells whether the instance can be among the first n homes of some upstream.
func (g *Group) CanBeHome(instance string, n int) bool {
	for _, tier := range g.tiers {
		if slices.ContainsFunc(tier, func(s scored) bool { return s.name == instance }) {
			return true
		}
		if n -= len(tier); n <= 0 {
			return false
		}
	}
	return false
}

// Homes gives the first n instances for the upstream in order of their rank; the first is its
// first home. All instances with the same list agree; a change of the list moves only what it must.
func (g *Group) Homes(upstream string, n int) []string {
	homes := make([]string, 0, n)
	hash := xxhash.Sum64String(upstream)
	var best [contract.MaxHomes]scored
	for _, tier := range g.tiers {
		for _, s := range top(tier, hash, best[:0:min(n-len(homes), len(best))]) {
			homes = append(homes, s.name)
		}
		if len(homes) == n {
			break
		}
	}
	return homes
}

// top fills best up to its capacity with the highest scores of the tier, in their order.
func top(tier []scored, upstream uint64, best []scored) []scored {
	for _, s := range tier {
		s.score = mix(s.hash ^ upstream)
		if len(best) == cap(best) {
			if cap(best) == 0 || !s.ranksBefore(best[len(best)-1]) {
				continue
			}
			best = best[:len(best)-1]
		}
		best = append(best, s)
		for n := len(best) - 1; n > 0 && best[n].ranksBefore(best[n-1]); n-- {
			best[n], best[n-1] = best[n-1], best[n]
		}
	}
	return best
}

func (s scored) ranksBefore(other scored) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// mix is the finalizer of splitmix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number
// generators", OOPSLA 2014). It spreads the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
