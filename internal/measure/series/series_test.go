package series

import (
	"testing"

	"crocuswing/internal/measure/result"

	"github.com/stretchr/testify/require"
)

func TestRowsAndSlopes(t *testing.T) {
	s := New()
	for _, text := range []string{
		"BenchmarkChoose/n=10/near-8   \t 1000\t 110 ns/op\t 16 B/op",
		"BenchmarkChoose/n=10/near-8   \t 1000\t 130 ns/op\t 16 B/op",
		"BenchmarkChoose/n=10/near-8   \t 1000\t 120 ns/op\t 16 B/op",
		"BenchmarkChoose/n=20/near-8   \t 1000\t 220 ns/op\t 16 B/op",
		"BenchmarkChoose/n=30/near-8   \t 1000\t 320 ns/op\t 16 B/op",
		"BenchmarkMint-8   \t 1000\t 900 ns/op",
	} {
		r, ok := result.Parse(text, "p")
		require.True(t, ok, text)
		s.Add(r)
	}
	require.Equal(t, Row{Package: "p", Name: "Choose/near", Unit: "ns/op", Size: 10, HasSize: true, Median: 120, Min: 110, Max: 130, Runs: 3}, s.Rows()[3])
	slopes := s.Slopes()
	require.Len(t, slopes, 2)
	require.InDelta(t, 10, slopes[1].Slope, 1e-9)
	require.InDelta(t, 20, slopes[1].Intercept, 1e-9)
	r, _ := result.Parse("BenchmarkMemory/instances=4/n=1000-8 1 7 bytes", "p")
	require.Equal(t, "Memory/instances=4", r.Name)
	require.InDelta(t, 1000, r.Size, 0)
	r, _ = result.Parse("BenchmarkAdmit/callers=64-10 37098 960.3 ns/op", "p")
	require.Equal(t, "Admit", r.Name)
	require.InDelta(t, 64, r.Size, 0)
	for _, text := range []string{"ok  \tp\t0.1s", "BenchmarkX", "BenchmarkX-8 10 x ns/op"} {
		_, ok := result.Parse(text, "p")
		require.False(t, ok, text)
	}
}
