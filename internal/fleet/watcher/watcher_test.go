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

// maxEvaluated is the number of instances up to which the plan of every instance is evaluated.
const maxEvaluated = 128

// TestCounts checks the number of watchers, and that instances with the same list select the same watchers.
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
		for _, self := range all[:evaluated(len(all))] {
			p := New(self, all, nil)
			total := len(p.SameDomain()) + len(p.OtherDomains())
			if p.IsWatcher() {
				watching++
				total++
			}
			require.Equal(t, tc.want, total)
		}
		require.True(t, watching == tc.want || len(all) > maxEvaluated)
	}
}

// TestAvoided checks that avoided watchers are replaced by other instances.
func TestAvoided(t *testing.T) {
	all := instances(1, 30)
	first := New(all[29], all, nil)
	second := New(all[29], all, first.SameDomain())
	for _, name := range second.SameDomain() {
		require.NotContains(t, first.SameDomain(), name)
	}
	require.Equal(t, 3, len(second.SameDomain())+boolToInt(second.IsWatcher()))
	require.True(t, New(all[0], nil, nil).IsWatcher(), "an instance that is not listed yet has to be a watcher")
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// evaluated returns the number of instances whose plan is evaluated, out of the given number.
func evaluated(size int) int {
	if size <= maxEvaluated {
		return size
	}
	return 8
}
