package home_test

import (
	"fmt"
	"slices"
	"testing"

	"crocuswing/internal/upstream/home"

	"github.com/cespare/xxhash/v2"
)

const (
	upstreams        = 65_000
	homesPerUpstream = 4
)

// BenchmarkHomes computes the homes of one upstream, without a cache.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{4, 100, 600, 2800} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			g := home.New(candidates(n)).Group(location(0))
			b.ReportAllocs()
			for b.Loop() {
				g.Homes("upstream-1", homesPerUpstream)
			}
		})
	}
}

// BenchmarkView applies a view in which one instance was replaced: it builds the ranking and all groups, and computes
// the homes of the upstreams whose group changed.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{4, 100, 600, 2800} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			all := candidates(n)
			other := slices.Clone(all)
			other[0].Name = "replacement"
			r := home.New(all)
			names := upstreamNames()
			locations := make([]home.Location, upstreams)
			for u := range locations {
				locations[u] = location(u)
				r.Group(locations[u])
			}
			computed := 0
			b.ReportAllocs()
			for b.Loop() {
				old := r
				r = r.WithCandidates(other)
				all, other = other, all
				computed = 0
				for u, name := range names {
					if g := r.Group(locations[u]); g != old.Group(locations[u]) {
						g.Homes(name, homesPerUpstream)
						computed++
					}
				}
			}
			b.ReportMetric(float64(computed), "upstreams-computed")
		})
	}
}

func upstreamNames() []string {
	names := make([]string, upstreams)
	for n := range names {
		names[n] = fmt.Sprintf("upstream-%d", n)
	}
	return names
}

// assignFunc returns the homes of each upstream; weight returns the load of an upstream.
type assignFunc func(instances []string, upstreams []string, weight func(int) float64) [][]string

// BenchmarkEvenness compares strategies to choose homes in one failure domain by the load of the busiest instance,
// relative to the mean, and the share of homes that move needlessly when one instance is lost.
func BenchmarkEvenness(b *testing.B) {
	strategies := []struct {
		name   string
		assign assignFunc
	}{{"rendezvous", rendezvous}, {"bounded-load", boundedLoad}, {"busiest-zone-split", splitBusiest}}
	for _, strategy := range strategies {
		for _, skewed := range []bool{false, true} {
			for _, n := range []int{4, 25, 117} {
				b.Run(fmt.Sprintf("%s/skewed=%t/n=%d", strategy.name, skewed, n), func(b *testing.B) {
					benchmarkAssignment(b, strategy.assign, n, skewed)
				})
			}
		}
	}
}

func benchmarkAssignment(b *testing.B, assign assignFunc, n int, skewed bool) {
	names := upstreamNames()[:upstreams/24]
	instances := make([]string, n)
	for i := range instances {
		instances[i] = fmt.Sprintf("instance-%d", i)
	}
	weight := func(u int) float64 {
		if skewed {
			return 1 / float64(1+u%50) // a few hot upstreams among every 50
		}
		return 1
	}
	var before, after [][]string
	for b.Loop() {
		before = assign(instances, names, weight)
		after = assign(instances[1:], names, weight)
	}
	load := make(map[string]float64)
	total, moved, lost := 0.0, 0, 0
	for u, homes := range before {
		for _, name := range homes {
			load[name] += weight(u)
			total += weight(u)
			switch {
			case name == instances[0]:
				lost++
			case !slices.Contains(after[u], name):
				moved++
			}
		}
	}
	busiest := 0.0
	for _, l := range load {
		busiest = max(busiest, l)
	}
	b.ReportMetric(busiest*float64(n)/total, "busiest/mean")
	b.ReportMetric(100*float64(moved)/float64(len(names)*len(before[0])), "%-moved-needlessly")
}

func rendezvous(instances, names []string, _ func(int) float64) [][]string {
	all := make([]home.Candidate, len(instances))
	for n, name := range instances {
		all[n] = home.Candidate{Name: name, Location: location(0)}
	}
	g := home.New(all).Group(location(0))
	homes := make([][]string, len(names))
	for u, name := range names {
		homes[u] = g.Homes(name, homesPerUpstream)
	}
	return homes
}

// boundedLoad assigns in rendezvous order and skips instances that are full, as published by Mirrokni, Thorup and
// Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
func boundedLoad(instances, names []string, weight func(int) float64) [][]string {
	const factor = 1.1
	total := 0.0
	for u := range names {
		total += weight(u) * homesPerUpstream
	}
	maxLoad := factor * total / float64(len(instances))
	all := make([]home.Candidate, len(instances))
	for n, name := range instances {
		all[n] = home.Candidate{Name: name, Location: location(0)}
	}
	g := home.New(all).Group(location(0))
	load := make(map[string]float64)
	homes := make([][]string, len(names))
	for u, name := range names {
		ranked := g.Homes(name, 16)
		for n, instance := range ranked {
			left := len(ranked) - n
			if load[instance]+weight(u) <= maxLoad || left <= homesPerUpstream-len(homes[u]) {
				load[instance] += weight(u)
				homes[u] = append(homes[u], instance)
			}
			if len(homes[u]) == min(homesPerUpstream, len(instances)) {
				break
			}
		}
	}
	return homes
}

// splitBusiest assigns each instance a zone of the upstreams' hash space: each instance that joins halves the zone with
// the highest load. The other homes are the owners of the following zones. It is based on Takemoto, Tagashira and
// Fujita, "Distributed zone partitioning schemes for CAN and its application to the load balancing in pure P2P
// systems", IPSJ.
func splitBusiest(instances, names []string, weight func(int) float64) [][]string {
	type zone struct {
		from, to uint64
		load     float64
	}
	hashes := make([]uint64, len(names))
	for u, name := range names {
		hashes[u] = xxhash.Sum64String(name)
	}
	measure := func(z zone) zone {
		z.load = 0
		for u, h := range hashes {
			if z.from <= h && h <= z.to {
				z.load += weight(u)
			}
		}
		return z
	}
	zones := []zone{measure(zone{to: ^uint64(0)})}
	for len(zones) < len(instances) {
		busiest := 0
		for n, z := range zones {
			if z.load > zones[busiest].load {
				busiest = n
			}
		}
		z := zones[busiest]
		middle := z.from + (z.to-z.from)/2
		zones[busiest] = measure(zone{from: z.from, to: middle})
		zones = slices.Insert(zones, busiest+1, measure(zone{from: middle + 1, to: z.to}))
	}
	homes := make([][]string, len(names))
	for u, h := range hashes {
		owner := slices.IndexFunc(zones, func(z zone) bool { return z.from <= h && h <= z.to })
		for n := range min(homesPerUpstream, len(instances)) {
			homes[u] = append(homes[u], instances[(owner+n)%len(instances)])
		}
	}
	return homes
}
