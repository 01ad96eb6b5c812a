package fit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLeastSquares(t *testing.T) {
	f, ok := LeastSquares([]Point{{1, 5}, {2, 7}, {10, 23}})
	require.True(t, ok)
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 3, f.Intercept, 1e-9)
	require.InDelta(t, 0, f.Residual, 1e-9)

	f, ok = LeastSquares([]Point{{0, 10}, {1, 13}, {2, 10}})
	require.True(t, ok)
	require.InDelta(t, 0, f.Slope, 1e-9)
	require.InDelta(t, 2.0/13, f.Residual, 1e-9)

	_, ok = LeastSquares([]Point{{1, 5}, {2, 7}, {2, 8}})
	require.False(t, ok, "two sizes are too few")
}
