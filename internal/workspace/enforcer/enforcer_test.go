package enforcer

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/workspace/quota"
	"crocuswing/internal/workspace/workspace"

	"github.com/stretchr/testify/require"
)

// ordinary is the ordinary rate of a workspace over that of its quota.
const ordinary = 1 / 1.6

// manyWorkspaces returns n workspaces whose ordinary rates sum to total, a few of them large.
func manyWorkspaces(n int, total float64) []*workspace.Workspace {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
	}
	var all []*workspace.Workspace
	for i := range n {
		rate := total / sum / float64(i+1)
		all = append(all, &workspace.Workspace{Name: fmt.Sprint("w-", i), Quota: workspace.Quota{Rate: rate / ordinary, Burst: math.Ceil(rate)}})
	}
	return all
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestUnevenCallers sends the ordinary load of 81 workspaces, each at two instances only, to 32 instances. At least 0.95 of what is within
// the quotas must be admitted.
func TestUnevenCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := manyWorkspaces(81, 48)
		f := newFleet(t, 32, 1, all...)
		defer synctest.Wait()
		defer f.stop()
		time.Sleep(5 * time.Second)
		before := f.countCalls()
		var mu sync.Mutex
		var sum result
		var loads sync.WaitGroup
		const duration = 60 * time.Second
		for i, w := range all {
			loads.Go(func() {
				r := f.run(load{w.Name, []int{i % 32, (i * 7) % 32}, steady(w.Rate * ordinary)}, duration, uint64(i))
				mu.Lock()
				defer mu.Unlock()
				sum.within += r.within
				sum.refused += r.refused
				sum.over += r.over
				sum.admittedOver += r.admittedOver
			})
		}
		loads.Wait()
		t.Logf("%+v, %.1f calls/s", sum, float64(f.countCalls()-before)/duration.Seconds())
		require.Less(t, float64(sum.refused), 0.05*float64(sum.within))
		for _, w := range all {
			require.LessOrEqual(t, float64(f.peak(w.Name)), rule.Permitted(w.Quota), w.Name)
		}
	})
}

// TestBurst lets workspaces of different sizes send 7.5 times their ordinary rate for 7 s from two instances, or from all of them, on a
// calm fleet. What runs in any window must stay within the bound, and within the quota of before and after the burst all must be served.
func TestBurst(t *testing.T) {
	for _, w := range []*workspace.Workspace{{Name: "large", Quota: workspace.Quota{Rate: 20, Burst: 20}}, {Name: "middle", Quota: workspace.Quota{Rate: 3, Burst: 3}}, {Name: "small", Quota: workspace.Quota{Rate: 0.2, Burst: 1}}} {
		for _, spread := range []int{2, 32} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 32, 2, w)
				defer synctest.Wait()
				defer f.stop()
				time.Sleep(30 * time.Second)
				var nodes []int
				for i := range spread {
					nodes = append(nodes, i)
				}
				rate := w.Rate * ordinary
				before := f.run(load{w.Name, nodes, steady(rate)}, 20*time.Second, 3)
				burst := f.run(load{w.Name, nodes, steady(7.5 * rate)}, 7*time.Second, 4)
				time.Sleep(2 * time.Second)
				after := f.run(load{w.Name, nodes, steady(rate)}, 20*time.Second, 5)
				t.Logf("%s at %d: before %+v, burst %+v, after %+v, peak %d of %.1f", w.Name, spread, before, burst, after, f.peak(w.Name), rule.Permitted(w.Quota))
				require.LessOrEqual(t, float64(f.peak(w.Name)), rule.Permitted(w.Quota))
				require.LessOrEqual(t, float64(before.refused+after.refused), 0.05*float64(before.within+after.within))
			})
		}
	}
}

// TestFleetRestart restarts all instances, or half of them, at once under a load of 7.5 times the ordinary. What runs in any window must
// stay within the bound, and requests are admitted again soon.
func TestFleetRestart(t *testing.T) {
	for _, stopped := range []int{32, 16} {
		synctest.Test(t, func(t *testing.T) {
			w := &workspace.Workspace{Name: "large", Quota: workspace.Quota{Rate: 20, Burst: 20}}
			f := newFleet(t, 32, 6, w)
			defer synctest.Wait()
			defer f.stop()
			time.Sleep(5 * time.Second)
			var nodes []int
			for i := range 32 {
				nodes = append(nodes, i)
			}
			var loads sync.WaitGroup
			loads.Go(func() { f.run(load{w.Name, nodes, steady(7.5 * ordinary * w.Rate)}, 40*time.Second, 7) })
			time.Sleep(10 * time.Second)
			for _, v := range f.nodes[:stopped] {
				v.stopProcess()
			}
			time.Sleep(650 * time.Millisecond)
			restarted := time.Now()
			for _, v := range f.nodes[:stopped] {
				v.start()
			}
			loads.Wait()
			f.mu.Lock()
			var first time.Duration
			counts := make([]int, 20)
			for _, at := range f.runs[w.Name] {
				if since := at.Sub(restarted); since > 0 {
					if first == 0 {
						first = since
					}
					if s := int(since.Seconds()); s < len(counts) {
						counts[s]++
					}
				}
			}
			f.mu.Unlock()
			t.Logf("%d restarted: first admitted after %v, by second %v, peak %d of %.1f", stopped, first, counts, f.peak(w.Name), rule.Permitted(w.Quota))
			require.LessOrEqual(t, float64(f.peak(w.Name)), rule.Permitted(w.Quota))
			require.Less(t, first, 4*time.Second)
		})
	}
}

// TestPartition cuts a fleet into halves for so long that each counts the other as gone, under a load of 7.5 times the ordinary at all
// instances, and heals it. The halves together must stay within the bound, and each must serve on.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &workspace.Workspace{Name: "large", Quota: workspace.Quota{Rate: 20, Burst: 20}}
		f := newFleet(t, 8, 9, w)
		defer synctest.Wait()
		defer f.stop()
		time.Sleep(20 * time.Second)
		var loads sync.WaitGroup
		loads.Go(func() {
			f.run(load{w.Name, []int{0, 1, 2, 3, 4, 5, 6, 7}, steady(7.5 * ordinary * w.Rate)}, 160*time.Second, 9)
		})
		f.apply(event{kind: "halves", d: 100 * time.Second})
		f.mu.Lock()
		late := 0 // in the last 20 s of the partition
		for _, at := range f.runs[w.Name] {
			if time.Since(at) < 20*time.Second {
				late++
			}
		}
		f.mu.Unlock()
		loads.Wait()
		t.Logf("peak %d of %.1f, %.1f/s when the halves have been apart for 80 s", f.peak(w.Name), rule.Permitted(w.Quota), float64(late)/20)
		require.LessOrEqual(t, float64(f.peak(w.Name)), rule.Permitted(w.Quota))
		require.Greater(t, float64(late)/20, ordinary*w.Rate)
	})
}

// TestRefusal checks that a request over the quota is refused at once, that its Retry-After is accurate, and that refusals cause few calls.
func TestRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &workspace.Workspace{Name: "w", Quota: workspace.Quota{Rate: 2, Burst: 2}}
		f := newFleet(t, 4, 8, w)
		defer synctest.Wait()
		defer f.stop()
		time.Sleep(20 * time.Second)
		var exceeded *quota.ExceededError
		for {
			if err := f.nodes[0].request("w"); err != nil {
				require.ErrorAs(t, err, &exceeded)
				break
			}
		}
		before, start := f.countCalls(), time.Now()
		for range 1000 {
			require.ErrorAs(t, f.nodes[0].request("w"), &exceeded)
			require.Positive(t, exceeded.RetryAfter)
			require.LessOrEqual(t, exceeded.RetryAfter, 2*rule.Window)
		}
		require.Less(t, time.Since(start), maxWait)
		require.Less(t, f.countCalls()-before, 10)
		time.Sleep(2 * rule.Window)
		for f.nodes[0].request("w") == nil { // until the quota is used up
			time.Sleep(time.Millisecond)
		}
		require.ErrorAs(t, f.nodes[0].request("w"), &exceeded)
		time.Sleep(exceeded.RetryAfter)
		require.NoError(t, f.nodes[0].request("w"))
	})
}
