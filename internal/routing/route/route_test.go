package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMinParts(t *testing.T) {
	for _, c := range []struct {
		shards int
		share  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {90, 0.95, 86}, {1, 0.5, 1}, {3, 0, 1}, {10, 0.7, 7}, {10, 1, 10}} {
		require.Equal(t, c.want, Route{Shards: make([]string, c.shards), MinShare: c.share}.MinParts())
	}
}

// TestMinPartsIsMinimal checks that MinParts reaches the required share and that one part less does not.
func TestMinPartsIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 200).Draw(t, "shards")
		percent := rapid.IntRange(1, 100).Draw(t, "percent")
		n := Route{Shards: make([]string, shards), MinShare: float64(percent) / 100}.MinParts()
		require.GreaterOrEqual(t, n*100, percent*shards)
		require.True(t, n == 1 || (n-1)*100 < percent*shards)
	})
}
