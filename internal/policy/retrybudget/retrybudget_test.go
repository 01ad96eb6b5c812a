package retrybudget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const window = 10 * time.Second

// event is a request or an extra attempt.
type event struct {
	at    time.Time
	extra bool
}

// requireBound checks that the window that ends with the last event keeps the bound. The requests that permitted an extra attempt may be
// older than the window, so that the window before it and the one half a window before it count as well, as the platform counts them.
func requireBound(t require.TestingT, events []event, ratio, slack float64) {
	end := events[len(events)-1].at
	count := func(end time.Time, extra bool) (n float64) {
		for _, e := range events {
			if e.extra == extra && e.at.After(end.Add(-window)) && !e.at.After(end) {
				n++
			}
		}
		return n
	}
	requests := max(count(end, false), count(end.Add(-window/2), false), count(end.Add(-window), false))
	require.LessOrEqual(t, count(end, true), ratio*requests+slack)
}

// TestOlderRequests spends the budget at the end of the window of the requests that permit it. The window that follows holds the extra
// attempts without the requests.
func TestOlderRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const ratio, slack = 0.2, 58.0
		b := New(ratio, slack, window)
		time.Sleep(window)
		var events []event
		for range 100 {
			b.AddRequest()
			events = append(events, event{at: time.Now()})
		}
		time.Sleep(window - window/intervalsPerWindow - time.Millisecond)
		for b.Spend() {
			events = append(events, event{at: time.Now(), extra: true})
			requireBound(t, events, ratio, slack)
		}
		require.Len(t, events, 100+78)
		time.Sleep(window / intervalsPerWindow * 2)
		requireBound(t, append(events, event{at: time.Now()}), ratio, slack)
	})
}

// TestBound checks that the extra attempts of several instances together stay within the shared bound in every window, for random
// sequences of requests and extra attempts. An instance does not know which extra attempts of the others have left the window since, so
// that they use the same part of the bound as the catalog of upstreams grants them.
func TestBound(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			const ratio, slack, usedShare = 0.2, 58.0, 0.85
			instances := rapid.SampledFrom([]int{1, 4, 33}).Draw(t, "instances")
			budgets := make([]*Budget, instances)
			for i := range budgets {
				budgets[i] = New(usedShare*ratio, usedShare*slack/float64(instances), window)
			}
			var events []event
			steps := rapid.IntRange(50, 400).Draw(t, "steps")
			for range steps {
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					b.AddRequest()
					events = append(events, event{at: time.Now()})
				}
				for range rapid.IntRange(0, 30).Draw(t, "extra") {
					if b.Spend() {
						events = append(events, event{at: time.Now(), extra: true})
					}
				}
			}
			for i := range events {
				requireBound(t, events[:i+1], ratio, slack)
			}
		})
	})
}

func TestStartsEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(0.2, 10, window)
		require.False(t, b.Spend())
		time.Sleep(window / 2)
		require.InDelta(t, 5, b.Remaining(), 0.01)
		for range 10 {
			b.AddRequest()
		}
		require.InDelta(t, 7, b.Remaining(), 0.01)
		b.SetBounds(0.2, 0)
		require.InDelta(t, 2, b.Remaining(), 0.01)
	})
}

// TestManyInstances checks 300 and 2,800 instances, whose shares are far below one attempt, under constant and simultaneous demand:
// together they use more than half of their slack and never exceed the bound.
func TestManyInstances(t *testing.T) {
	const ratio, slack, perSecond, usedShare = 0.2, 208.0, 56.0, 0.85
	for _, instances := range []int{300, 2800} {
		synctest.Test(t, func(t *testing.T) {
			budgets := make([]*Budget, instances)
			for i := range budgets {
				budgets[i] = New(usedShare*ratio, usedShare*slack/float64(instances), window)
			}
			const step = 250 * time.Millisecond
			bound := ratio*perSecond*window.Seconds() + slack
			var extra []int
			next := 0.0
			for n := range 12 * int(window/step) {
				time.Sleep(step)
				for next += perSecond * step.Seconds(); next >= 1; next-- {
					budgets[rand.IntN(instances)].AddRequest()
				}
				count := 0
				if time.Duration(n)*step >= 2*window { // all instances at once, then continuously
					for _, b := range budgets {
						for b.Spend() {
							count++
						}
					}
				}
				extra = append(extra, count)
				sum := 0
				for _, c := range extra[max(0, len(extra)-int(window/step)):] {
					sum += c
				}
				require.LessOrEqual(t, float64(sum), bound)
				if time.Duration(n)*step == 4*window {
					require.Greater(t, float64(sum), usedShare*slack/2)
				}
			}
		})
	}
}
