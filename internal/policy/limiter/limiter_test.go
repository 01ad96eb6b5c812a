package limiter

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRanks(t *testing.T) {
	for _, c := range []struct {
		name              string
		used, units, rank int
		want              bool
	}{
		{"below the limit", 50, 10, 3, true},
		{"highest rank uses the whole limit", 90, 10, 0, true},
		{"above the limit", 91, 10, 0, false},
		{"lower rank leaves a share", 85, 10, 1, false},
		{"lowest ranks have half", 45, 5, 40, true},
		{"lowest ranks have no more than half", 46, 5, 40, false},
		{"a negative rank is the highest", 90, 10, -1, true},
		{"above the limit without other work", 0, 1000, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := New(100)
			l.used = c.used
			require.Equal(t, c.want, l.Acquire(c.units, c.rank))
		})
	}
	l := New(0)
	require.True(t, l.Acquire(1_000_000, 9))
	require.True(t, l.Acquire(1_000_000, 9), "no limit")
}

// TestBound checks that random sequences of Acquire and Release never exceed the limit, which no single request exceeds, and that no
// units are in use at the end.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(50)
		var acquired []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(acquired) > 0 && rapid.Bool().Draw(t, "release") {
				l.Release(acquired[0])
				acquired = acquired[1:]
				continue
			}
			units := rapid.IntRange(1, 20).Draw(t, "units")
			if l.Acquire(units, rapid.IntRange(0, 5).Draw(t, "rank")) {
				acquired = append(acquired, units)
			}
			if l.Used() > 50 {
				t.Fatalf("%d units are in use", l.Used())
			}
		}
		for _, units := range acquired {
			l.Release(units)
		}
		if l.Used() != 0 {
			t.Fatalf("%d units are left", l.Used())
		}
	})
}
