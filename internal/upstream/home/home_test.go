package home_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"crocuswing/internal/upstream/home"

	"github.com/stretchr/testify/require"
)

func ExampleGroup_Homes() {
	south := home.Location{FailureDomain: "south-a", Region: "south"}
	north := home.Location{FailureDomain: "north-a", Region: "north"}
	r := home.New([]home.Candidate{
		{Name: "instance-0", Location: south},
		{Name: "instance-1", Location: north},
		{Name: "instance-2", Location: north},
	})
	fmt.Println(r.Group(south).Homes("stock-1", 2)[0])
	// Output: instance-0
}

// candidates returns n instances that are spread over 24 failure domains in 8 regions.
func candidates(n int) []home.Candidate {
	all := make([]home.Candidate, n)
	for i := range all {
		all[i] = home.Candidate{Name: fmt.Sprintf("instance-%d", i), Location: location(i)}
	}
	return all
}

func location(n int) home.Location {
	return home.Location{FailureDomain: fmt.Sprintf("domain-%d", n%24), Region: fmt.Sprintf("region-%d", n%8)}
}

func TestHomesAreNearestCandidates(t *testing.T) {
	for _, n := range []int{1, 4, 30, 600} {
		all := candidates(n)
		r := home.New(all)
		for u := range 50 {
			upstream, loc := fmt.Sprintf("upstream-%d", u), location(u)
			homes := r.Group(loc).Homes(upstream, 4)
			require.Len(t, homes, min(4, n))
			require.Equal(t, homes, r.Group(loc).Homes(upstream, 6)[:len(homes)], "a rank must not depend on the requested number of homes")
			distances := make([]int, len(homes))
			for i, name := range homes {
				where, ok := r.LocationOf(name)
				require.True(t, ok)
				distances[i] = loc.Distance(where)
			}
			require.True(t, slices.IsSorted(distances), "nearer instances must rank first")
			slices.SortStableFunc(all, func(a, b home.Candidate) int { return cmp.Compare(loc.Distance(a.Location), loc.Distance(b.Location)) })
			require.Equal(t, loc.Distance(all[len(homes)-1].Location), distances[len(homes)-1], "no nearer instance may be left out")
		}
	}
}

func TestRemovedCandidateMovesOnlyItsHomes(t *testing.T) {
	all := candidates(600)
	before := home.New(all)
	after := before.WithCandidates(all[1:])
	for u := range 500 {
		upstream, loc := fmt.Sprintf("upstream-%d", u), location(u)
		old, now := before.Group(loc).Homes(upstream, 4), after.Group(loc).Homes(upstream, 4)
		if !slices.Contains(old, all[0].Name) {
			require.Equal(t, old, now)
			continue
		}
		require.NotContains(t, now, all[0].Name)
		kept := slices.DeleteFunc(slices.Clone(now), func(name string) bool { return !slices.Contains(old, name) })
		require.Len(t, kept, 3)
	}
}

func TestWithCandidatesKeepsUnchangedGroups(t *testing.T) {
	all := candidates(600)
	before := home.New(all)
	kept, changed := before.Group(location(1)), before.Group(location(0))
	require.Same(t, before, before.WithCandidates(all))
	after := before.WithCandidates(all[1:])
	require.Same(t, kept, after.Group(location(1)))
	require.NotSame(t, changed, after.Group(location(0)))
}

func TestCanBeHome(t *testing.T) {
	g := home.New(candidates(600)).Group(location(0))
	require.True(t, g.CanBeHome("instance-24", 4))
	require.False(t, g.CanBeHome("instance-1", 4))
	require.True(t, home.New(candidates(4)).Group(location(0)).CanBeHome("instance-3", 4))
}
