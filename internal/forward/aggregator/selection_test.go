package aggregator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/fleet/membership"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// newUneven returns a fleet of the given size in six failure domains and three regions, of which two instances of each domain are large.
func newUneven(size int) (all []membership.Member, regions map[string]string) {
	regions = make(map[string]string)
	for n := range size {
		domain := fmt.Sprint("d", n%6)
		regions[domain] = fmt.Sprint("r", n%6/2)
		m := membership.Member{Name: fmt.Sprint("i-", n), Address: fmt.Sprint("a-", n), FailureDomain: domain, Capacity: 192}
		if n < 12 {
			m.Capacity = 790 + n // small differences do not matter
		}
		all = append(all, m)
	}
	return all, regions
}

// TestSelectionCount checks the number of aggregators at several sizes: as many as can have 4 connections, at least 2 in each region.
func TestSelectionCount(t *testing.T) {
	for _, c := range []struct{ instances, maxConnections, want int }{
		{59, 52, 11}, {78, 52, 11}, {300, 52, 11}, {300, 18, 6}, {59, 600, 59}, {4, 4, 4}, {2800, 52, 11},
	} {
		all, regions := newUneven(c.instances)
		sel := newSelection(all, regions, 0.85*float64(c.maxConnections))
		require.Equal(t, c.want, sel.count, "%d instances, %d connections", c.instances, c.maxConnections)
		for region, selected := range sel.byRegion {
			require.GreaterOrEqual(t, len(selected), min(minPerRegion, c.instances/3), region)
			for _, m := range selected {
				require.True(t, m.Capacity > 192 || c.want > 12 || c.instances < 12, "the largest come first")
			}
		}
	}
	require.Zero(t, newSelection(nil, nil, 44).count)
}

// TestSelectionAgreement checks that instances that know the same members in any order select the same, and that the loss of an instance
// that is no aggregator, with the apportionment unchanged, moves none.
func TestSelectionAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 100).Draw(t, "instances")
		connections := rapid.Float64Range(0, 100).Draw(t, "connections")
		all, regions := newUneven(size)
		first := newSelection(append([]membership.Member(nil), all...), regions, connections)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		require.True(t, first.equal(newSelection(append([]membership.Member(nil), all...), regions, connections)))
		lost := rapid.IntRange(0, size-1).Draw(t, "lost")
		if first.contains(all[lost].Name) {
			return
		}
		second := newSelection(append(append([]membership.Member(nil), all[:lost]...), all[lost+1:]...), regions, connections)
		for region := range first.byRegion {
			if len(first.byRegion[region]) == len(second.byRegion[region]) {
				require.Equal(t, first.byRegion[region], second.byRegion[region])
			}
		}
	})
}

// TestConcentration checks that an instance gathers for itself until it knows more instances than an upstream accepts connections, that
// each change is reported once, and that requests then go to aggregators of the region alone.
func TestConcentration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, regions := newUneven(59)
		f := fleet{self: "i-58", members: all[:30]}
		f.selfMember = all[58]
		type change struct {
			count  int
			isSelf bool
		}
		var changes []change
		s := New(&f, regions, WithConcentration(func() float64 { return 44.2 }, func(n int, isSelf bool) { changes = append(changes, change{n, isSelf}) }, zap.NewNop()))
		require.True(t, s.GathersItself(), "few instances are known")
		require.Equal(t, []string{}, s.RegionAggregators())
		require.Empty(t, changes)
		f.members = all[:58]
		time.Sleep(3 * refreshInterval)
		require.False(t, s.GathersItself())
		time.Sleep(3 * refreshInterval)
		require.False(t, s.GathersItself())
		require.Equal(t, []change{{11, false}}, changes)
		own := regions[f.selfMember.FailureDomain]
		picked := make(map[string]int)
		for n := range 200 {
			m, ok := s.Pick(own, fmt.Sprint("request-", n))
			require.True(t, ok)
			require.Greater(t, m.Capacity, 192)
			require.Equal(t, own, regions[m.FailureDomain])
			picked[m.Name]++
			other, ok := s.Pick(own, fmt.Sprint("request-", n), m.Name)
			require.True(t, ok)
			require.NotEqual(t, m.Name, other.Name)
		}
		require.GreaterOrEqual(t, len(picked), 3)
		require.Subset(t, s.RegionAggregators(), slices.Collect(maps.Keys(picked)))
		for _, name := range s.RegionAggregators() {
			i := slices.IndexFunc(all, func(m membership.Member) bool { return m.Name == name })
			require.Equal(t, own, regions[all[i].FailureDomain], "aggregators of other regions do not gather for this instance")
		}
		f.members = all[:40]
		time.Sleep(3 * refreshInterval)
		require.True(t, s.GathersItself())
		require.Equal(t, []change{{11, false}, {0, false}}, changes)
	})
}

// TestPickFewerCalls checks that of two instances the one with fewer calls of this instance in flight is asked.
func TestPickFewerCalls(t *testing.T) {
	s := New(newFleet("asker", 1), regions) // one in each domain, so two in region a
	first, _ := s.Pick("a", "q")
	s.addInFlight(first.Address, 1)
	second, _ := s.Pick("a", "q")
	require.NotEqual(t, first.Name, second.Name)
	s.addInFlight(second.Address, 2)
	third, _ := s.Pick("a", "q")
	require.Equal(t, first.Name, third.Name)
}

// TestRefusalPause checks that an instance that has refused is out of use for a moment only.
func TestRefusalPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(newFleet("asker", 1), regions)
		m, _ := s.Pick("b", "q")
		for range 5 {
			s.Refused(m)
			_, ok := s.Pick("b", "q")
			require.False(t, ok)
			time.Sleep(refusalPause)
			_, ok = s.Pick("b", "q")
			require.True(t, ok)
		}
	})
}
