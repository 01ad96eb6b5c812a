package window_test

import (
	"testing"
	"time"

	"crocuswing/internal/stats/window"

	"github.com/stretchr/testify/require"
)

func TestQuantile(t *testing.T) {
	w := &window.Window{}
	for n := range 15 {
		w.Add(time.Duration(n))
	}
	_, ok := w.Quantile(0.5)
	require.False(t, ok, "fewer than 16 samples")
	for n := range 985 {
		w.Add(time.Duration(n + 15))
	}
	for _, q := range []float64{0.5, 0.95, 0.99, 0.999} {
		got, ok := w.Quantile(q)
		require.True(t, ok)
		require.InDelta(t, 1000*q, float64(got), 1)
	}
	for range 1024 { // replaces all earlier samples
		w.Add(7)
	}
	got, _ := w.Quantile(0.999)
	require.Equal(t, time.Duration(7), got)
}

func BenchmarkAddAndQuantile(b *testing.B) {
	w := &window.Window{}
	for b.Loop() {
		w.Add(time.Duration(b.N % 997))
		w.Quantile(0.95)
	}
}
