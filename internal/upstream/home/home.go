// Package home decides which instances are the homes of an upstream, that is, keep connections to it. Package directory derives
// the role of its own instance from it, and package dispatch the instances through which an attempt may be relayed.
//
// It ranks the instances for each upstream by rendezvous hashing. Instances in the upstream's failure domain rank before
// others in its region, and those before all others.
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

// Ranking ranks one list of candidates for any upstream. It is safe for concurrent use.
type Ranking struct {
	candidates []Candidate

	mu             sync.Mutex
	groups         map[Location]*Group
	previousGroups map[Location]*Group // of the previous ranking
}

// New returns a ranking of the candidates.
func New(candidates []Candidate) *Ranking {
	r := &Ranking{candidates: slices.Clone(candidates), groups: make(map[Location]*Group)}
	slices.SortFunc(r.candidates, func(a, b Candidate) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// WithCandidates returns a ranking of other candidates. It reuses the groups that did not change, so that homes
// computed from them stay valid. It returns r if the candidates are the same.
func (r *Ranking) WithCandidates(candidates []Candidate) *Ranking {
	next := New(candidates)
	if slices.Equal(r.candidates, next.candidates) {
		return r
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next.previousGroups = r.groups
	return next
}

// Len returns the number of candidates.
func (r *Ranking) Len() int { return len(r.candidates) }

// LocationOf returns the location of a candidate, and false if there is no candidate of that name.
func (r *Ranking) LocationOf(name string) (Location, bool) {
	n, ok := slices.BinarySearchFunc(r.candidates, name, func(c Candidate, name string) int {
		return strings.Compare(c.Name, name)
	})
	if !ok {
		return Location{}, false
	}
	return r.candidates[n].Location, true
}

// Group returns the candidates for the upstreams in location l. A ranking and its successor by WithCandidates return
// the same pointer if the group did not change.
func (r *Ranking) Group(l Location) *Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.groups[l]; ok {
		return g
	}
	g := newGroup(r.candidates, l)
	if previous, ok := r.previousGroups[l]; ok && previous.equal(g) {
		g = previous
	}
	r.groups[l] = g
	return g
}

// Group holds the candidates for the upstreams in one location, nearest first. It is immutable.
type Group struct {
	tiers [][]scoredCandidate
}

type scoredCandidate struct {
	name  string
	hash  uint64
	score uint64
}

func newGroup(candidates []Candidate, l Location) *Group {
	var tiers [3][]scoredCandidate
	for _, c := range candidates {
		distance := l.Distance(c.Location)
		tiers[distance] = append(tiers[distance], scoredCandidate{name: c.Name, hash: xxhash.Sum64String(c.Name)})
	}
	g := &Group{}
	for _, tier := range tiers {
		if len(tier) == 0 {
			continue
		}
		g.tiers = append(g.tiers, tier)
		if len(tier) >= contract.MaxHomes {
			break // more distant candidates cannot become homes
		}
	}
	return g
}

// Distance returns 0 within a failure domain, 1 within a region, and 2 otherwise.
func (l Location) Distance(other Location) int {
	switch {
	case l.FailureDomain != "" && l.FailureDomain == other.FailureDomain:
		return 0
	case l.Region != "" && l.Region == other.Region:
		return 1
	}
	return 2
}

func (g *Group) equal(other *Group) bool {
	return slices.EqualFunc(g.tiers, other.tiers, func(a, b []scoredCandidate) bool { return slices.Equal(a, b) })
}

// CanBeHome reports whether the instance can be among the first n homes of an upstream.
func (g *Group) CanBeHome(instance string, n int) bool {
	for _, tier := range g.tiers {
		if slices.ContainsFunc(tier, func(s scoredCandidate) bool { return s.name == instance }) {
			return true
		}
		if n -= len(tier); n <= 0 {
			return false
		}
	}
	return false
}

// Homes returns the n highest-ranked instances for the upstream, first home first. Instances with the same list of
// candidates compute the same homes, and a change of the list moves as few homes as possible.
func (g *Group) Homes(upstream string, n int) []string {
	homes := make([]string, 0, n)
	upstreamHash := xxhash.Sum64String(upstream)
	var best [contract.MaxHomes]scoredCandidate
	for _, tier := range g.tiers {
		for _, s := range topScored(tier, upstreamHash, best[:0:min(n-len(homes), len(best))]) {
			homes = append(homes, s.name)
		}
		if len(homes) == n {
			break
		}
	}
	return homes
}

// topScored fills best up to its capacity with the candidates of the tier that score highest, in order of their rank.
func topScored(tier []scoredCandidate, upstreamHash uint64, best []scoredCandidate) []scoredCandidate {
	for _, s := range tier {
		s.score = mix(s.hash ^ upstreamHash)
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

func (s scoredCandidate) ranksBefore(other scoredCandidate) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.name < other.name
}

// mix is the finalizer of splitmix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number generators",
// OOPSLA 2014). It spreads the combination of two hashes over all bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
