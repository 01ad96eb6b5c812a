package watcher

import (
	"fmt"
	"testing"

	"crocuswing/internal/fleet/member"

	"github.com/stretchr/testify/require"
)

func instances(domains, each int) []member.Member {
	var all []member.Member
	for d := range domains {
		for n := range each {
			all = append(all, member.Member{Name: fmt.Sprintf("n%d-%d", d, n), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	return all
}

const maxSelves = 128

// TestCounts counts the watchers by each instance's own choice; all agree when their lists do.
func TestCounts(t *testing.T) {
	cases := []struct{ domains, each, want int }{
		{1, 1, 1},
		{3, 1, 3},
		{2, 4, 6},
		{1, 11, 3},
		{1, 128, 12},
		{24, 117, 264},
		{1, 4000, 300},
		{200, 4, 600},
	}
	for _, tc := range cases {
		all := instances(tc.domains, tc.each)
		watching := 0
		for _, self := range all[:sample(len(all))] {
			p := New(self, all, nil)
			total := len(p.SameDomain()) + len(p.OtherDomains())
			if p.IsWatcher() {
				watching++
				total++
			}
			require.Equal(t, tc.want, total)
		}
		require.True(t, watching == tc.want || len(all) > maxSelves)
	}
}

// TestAvoided passes over the watchers that are suspected; others take their place.
func TestAvoided(t *testing.T) {
	all := instances(1, 30)
	first := New(all[29], all, nil)
	second := New(all[29], all, first.SameDomain())
	for _, name := range second.SameDomain() {
		require.NotContains(t, first.SameDomain(), name)
	}
	require.Equal(t, 3, len(second.SameDomain())+b2i(second.IsWatcher()))
	require.True(t, New(all[0], nil, nil).IsWatcher(), "an instance that is not listed yet watches for itself")
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sample is the number of instances that choose in a fleet of the given size.
func sample(size int) int {
	if size <= maxSelves {
		return size
	}
	return 8
}
