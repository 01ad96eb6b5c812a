package aggregator

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"crocuswing/internal/fleet/membership"

	"github.com/cespare/xxhash/v2"
)

const (
	// minConnections is the number of connections to each upstream that each aggregator should get. With fewer, the requests of several
	// instances would wait for each other.
	minConnections = 4
	// minPerRegion is the number of aggregators in each region, so that one is left while another restarts.
	minPerRegion = 2
)

// selection is the aggregators of a fleet. It follows from the members, their regions and the number of connections alone, so that
// instances that know the same agree without messages.
type selection struct {
	byRegion map[string][]membership.Member
	count    int // in all regions
}

// newSelection selects the aggregators among all instances of a fleet, where each upstream accepts the given number of connections. In
// each region it prefers those of higher capacity and breaks ties by rendezvous hashing.
func newSelection(fleet []membership.Member, regions map[string]string, connections float64) selection {
	byRegion := make(map[string][]membership.Member)
	for _, m := range fleet {
		if region := regions[m.FailureDomain]; region != "" {
			byRegion[region] = append(byRegion[region], m)
		}
	}
	sel := selection{byRegion: byRegion}
	sizes := make(map[string]int, len(byRegion))
	for region, all := range byRegion {
		sizes[region] = len(all)
	}
	for region, n := range apportion(sizes, int(connections/minConnections)) {
		slices.SortFunc(byRegion[region], compareCandidates)
		byRegion[region] = byRegion[region][:n]
		sel.count += n
	}
	return sel
}

// compareCandidates orders instances by falling capacity, rounded to powers of two, so that small differences do not matter, and equal
// ones by their hash.
func compareCandidates(a, b membership.Member) int {
	return cmp.Or(
		cmp.Compare(bits.Len(uint(max(0, b.Capacity))), bits.Len(uint(max(0, a.Capacity)))),
		cmp.Compare(xxhash.Sum64String("aggregator "+a.Name), xxhash.Sum64String("aggregator "+b.Name)),
		cmp.Compare(a.Name, b.Name),
	)
}

// apportion divides total aggregators among the regions in proportion to their sizes, by largest remainder. Each region gets at least
// minPerRegion and at most all of its instances.
func apportion(sizes map[string]int, total int) map[string]int {
	fleet := 0
	for _, n := range sizes {
		fleet += n
	}
	total = min(total, fleet)
	seats := make(map[string]int, len(sizes))
	left := total
	names := slices.Sorted(maps.Keys(sizes))
	for _, region := range names {
		seats[region] = total * sizes[region] / fleet
		left -= seats[region]
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(total*sizes[b]%fleet, total*sizes[a]%fleet) })
	for _, region := range names[:left] {
		seats[region]++
	}
	for region, n := range seats {
		seats[region] = min(max(n, minPerRegion), sizes[region])
	}
	return seats
}

// contains reports whether the instance is an aggregator.
func (s selection) contains(name string) bool {
	for _, selected := range s.byRegion {
		if slices.ContainsFunc(selected, func(m membership.Member) bool { return m.Name == name }) {
			return true
		}
	}
	return false
}

// equal reports whether both have the same aggregators.
func (s selection) equal(o selection) bool {
	return s.count == o.count && maps.EqualFunc(s.byRegion, o.byRegion, func(a, b []membership.Member) bool {
		return slices.EqualFunc(a, b, func(x, y membership.Member) bool { return x.Name == y.Name })
	})
}

// names returns the names of the aggregators, sorted.
func (s selection) names() []string {
	var names []string
	for _, selected := range s.byRegion {
		for _, m := range selected {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
