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

// TestBound checks that the extra attempts of several instances together stay within the shared bound in every window, for random
// sequences of requests and extra attempts.
func TestBound(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			const ratio, slack = 0.2, 58.0
			instances := rapid.SampledFrom([]int{1, 4, 33}).Draw(t, "instances")
			budgets := make([]*Budget, instances)
			for i := range budgets {
				budgets[i] = New(ratio, slack/float64(instances), window)
			}
			type event struct {
				at    time.Time
				extra bool
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
				end := events[i].at
				requests, extra := 0.0, 0.0
				for _, e := range events {
					if e.at.After(end.Add(-window)) && !e.at.After(end) {
						if e.extra {
							extra++
						} else {
							requests++
						}
					}
				}
				require.LessOrEqual(t, extra, ratio*requests+slack)
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
