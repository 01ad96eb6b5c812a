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

// TestBound plays random histories of several instances, some of which start anew, and holds the sum of their extra
// attempts within the shared bound in every window.
func TestBound(outer *testing.T) {
	rapid.Check(outer, func(t *rapid.T) {
		synctest.Test(outer, func(*testing.T) {
			const ratio, slack = 0.2, 58.0
			instances := rapid.SampledFrom([]int{1, 4, 33}).Draw(t, "instances")
			all := make([]*Budget, instances)
			for i := range all {
				all[i] = New(ratio, slack/float64(instances), window)
			}
			type event struct {
				at    time.Time
				extra bool
			}
			var events []event
			steps := rapid.IntRange(50, 400).Draw(t, "steps")
			for range steps {
				time.Sleep(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
				a := all[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					a.AddRequest()
					events = append(events, event{at: time.Now()})
				}
				for range rapid.IntRange(0, 30).Draw(t, "extra") {
					if a.Spend() {
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

func TestStartsWithNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(0.2, 10, window)
		require.False(t, a.Spend())
		time.Sleep(window / 2)
		require.InDelta(t, 5, a.Remaining(), 0.01)
		for range 10 {
			a.AddRequest()
		}
		require.InDelta(t, 7, a.Remaining(), 0.01)
		a.SetBounds(0.2, 0)
		require.InDelta(t, 2, a.Remaining(), 0.01)
	})
}

// TestManyInstances lets 300 and 2,800 instances, whose parts are far below one attempt, press all the time and all at once: together they
// use more than half of their slack and never more than the bound.
func TestManyInstances(t *testing.T) {
	const ratio, slack, perSecond, used = 0.2, 208.0, 56.0, 0.85
	for _, instances := range []int{300, 2800} {
		synctest.Test(t, func(t *testing.T) {
			all := make([]*Budget, instances)
			for i := range all {
				all[i] = New(used*ratio, used*slack/float64(instances), window)
			}
			const step = 250 * time.Millisecond
			bound := ratio*perSecond*window.Seconds() + slack
			var extra []int
			next := 0.0
			for n := range 12 * int(window/step) {
				time.Sleep(step)
				for next += perSecond * step.Seconds(); next >= 1; next-- {
					all[rand.IntN(instances)].AddRequest()
				}
				count := 0
				if time.Duration(n)*step >= 2*window { // all at once, and then all the time
					for _, a := range all {
						for a.Spend() {
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
					require.Greater(t, float64(sum), used*slack/2)
				}
			}
		})
	}
}
