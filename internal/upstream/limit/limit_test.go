package limit_test

import (
	"fmt"
	"testing"
	"time"

	"crocuswing/internal/upstream/limit"

	"github.com/stretchr/testify/require"
)

const baseline = 10 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleLimit() {
	now := time.Now()
	l := limit.New(1, 8)
	for range 20 {
		now = now.Add(time.Millisecond)
		l = l.WithSuccess(now, time.Millisecond, l.Value())
	}
	fmt.Println(l.Value())
	fmt.Println(l.WithShed(now).Value())
	// Output:
	// 6
	// 3
}

func TestLimit(t *testing.T) {
	succeedAtLimit := func(l limit.Limit, now time.Time, latency time.Duration) limit.Limit {
		return l.WithSuccess(now, latency, l.Value())
	}
	for _, c := range []struct {
		name  string
		event func(l limit.Limit, now time.Time) limit.Limit
		times int
		want  int
	}{
		{"grows to its upper bound", func(l limit.Limit, now time.Time) limit.Limit { return succeedAtLimit(l, now, baseline) }, 200, 16},
		{"does not grow while unused", func(l limit.Limit, now time.Time) limit.Limit { return l.WithSuccess(now, baseline, 1) }, 200, 8},
		{"sheds shrink it to 1", func(l limit.Limit, now time.Time) limit.Limit { return l.WithShed(now) }, 10, 1},
		{"latency shrinks it", func(l limit.Limit, now time.Time) limit.Limit { return succeedAtLimit(l, now, 10*baseline) }, 5, 4},
		{"a lasting latency becomes the baseline", func(l limit.Limit, now time.Time) limit.Limit { return succeedAtLimit(l, now, 10*baseline) }, 1000, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, now := limit.New(8, 16), start
			l = l.WithSuccess(now, baseline, 1)
			for range c.times {
				now = now.Add(10 * baseline)
				l = c.event(l, now)
			}
			require.Equal(t, c.want, l.Value())
		})
	}
}

func TestBurstOfShedsDecreasesOnce(t *testing.T) {
	l := limit.New(8, 16).WithSuccess(start, baseline, 1)
	for range 8 {
		l = l.WithShed(start) // one burst of sheds
	}
	require.Equal(t, 4, l.Value())
}

func TestBounds(t *testing.T) {
	require.Equal(t, 1, limit.New(0, 0).Value())
	require.Equal(t, 2, limit.New(9, 16).WithMax(2).Value())
	require.Equal(t, 3, limit.New(9, 16).WithValue(3).Value())
}
