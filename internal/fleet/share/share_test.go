package share

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func names(n int) []string {
	all := make([]string, 0, n)
	for k := range n {
		all = append(all, fmt.Sprint("i-", k))
	}
	return all
}

// TestSum guards against shares that exceed the limit, or leave a part of it unused.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "n")
		limit := rapid.IntRange(0, 400).Draw(t, "limit")
		resource := rapid.String().Draw(t, "resource")
		all := names(n)
		sum := 0
		for k, self := range all {
			units := New(self, append(all[:k:k], all[k+1:]...)).Of(limit, resource)
			require.InDelta(t, float64(limit)/float64(n), units, 1)
			sum += units
		}
		require.Equal(t, limit, sum)
	})
}

func TestUnknownFleet(t *testing.T) {
	var d *Division
	require.Zero(t, d.Of(100, "u"))
	require.Zero(t, d.Instances())
}

func BenchmarkOf(b *testing.B) {
	for _, n := range []int{24, 300, 2800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New("i-0", names(n)[1:])
			for b.Loop() {
				_ = d.Of(29, "i-638f370d")
			}
		})
	}
}
