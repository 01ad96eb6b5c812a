package lender

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/workspace/quota"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLentInAnyWindow checks for random requests, shares, limits and interruptions of the lending that no more is lent in any window than
// the rate and the capacity permit, also when buckets are removed, and that it begins with no more than the initial amount.
func TestLentInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := quota.Plan{
			Window: 5 * time.Second, Lenders: 1, Rate: rapid.Float64Range(0, 20).Draw(t, "rate"),
			Capacity: rapid.Float64Range(0, 10).Draw(t, "capacity"),
		}
		p.Initial = rapid.Float64Range(0, p.Capacity).Draw(t, "initial")
		l := New()
		now := time.Now()
		since := now
		type loan struct {
			at time.Time
			n  int
		}
		var all []loan
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "sweep") == 0 {
				l.sweep(now)
			}
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			if got := l.Lend(now, "w", p, share, since, rapid.IntRange(0, 20).Draw(t, "want")); got.Granted > 0 {
				all = append(all, loan{now, got.Granted})
			}
		}
		for i := range all {
			n := 0
			for _, o := range all[i:] {
				if n += o.n; float64(n) > p.Capacity+p.Rate*o.at.Sub(all[i].at).Seconds()+1e-6 {
					t.Fatalf("%d lent within %v", n, o.at.Sub(all[i].at))
				}
			}
		}
	})
}

// TestNewLender checks that a lender lends only the initial amount at first, and nothing before it is one.
func TestNewLender(t *testing.T) {
	l, now := New(), time.Now()
	p := quota.Plan{Rate: 2, Capacity: 10, Initial: 1}
	require.Zero(t, l.Lend(now, "w", p, 1, now.Add(time.Second), 5).Granted)
	got := l.Lend(now, "w", p, 1, now.Add(time.Second), 5)
	require.GreaterOrEqual(t, got.Wait, time.Second)
	now = now.Add(time.Second)
	require.Equal(t, 1, l.Lend(now, "w", p, 1, now, 5).Granted)
	require.Equal(t, 500*time.Millisecond, l.Lend(now, "w", p, 1, now, 5).Wait)
	now = now.Add(time.Hour)
	require.Equal(t, 10, l.Lend(now, "w", p, 1, now.Add(-time.Hour), 50).Granted)
	require.Equal(t, 1, l.Lend(now, "w", p, 1, now, 5).Granted, "a lender that became one again begins anew")
}

// TestMemory checks that buckets that are full are not kept.
func TestMemory(t *testing.T) {
	l, now := New(), time.Now()
	since := now
	for i := range 20_000 {
		now = now.Add(10 * time.Millisecond)
		l.Lend(now, fmt.Sprint(i), quota.Plan{Rate: 1, Capacity: 2}, 1, since, 1)
	}
	require.Less(t, l.Len(), 2*minSweep)
}
