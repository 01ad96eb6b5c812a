package cluster

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// fluctuation returns a work factor that changes every interval: usual in two of three intervals, else four times as high.
func fluctuation(seed uint64, interval time.Duration) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		rng := rand.New(rand.NewPCG(seed, uint64(at/interval)))
		if rng.IntN(3) == 0 {
			return 4
		}
		return 1
	}
}

// TestWorkFactor compares the choice among three upstreams whose work factors fluctuate, with reports of three and of four figures. It
// guards against a work factor that costs more than it gains, also with old reports, and prints both results. maxRatio bounds the mean
// latency with four figures relative to that with three. Where reports arrive 500 ms late but count as new, they say nothing about
// work factors that change every 300 ms; the bound is what such noise may cost.
func TestWorkFactor(t *testing.T) {
	for _, c := range []struct {
		name        string
		instances   int
		interval    time.Duration // between changes of the work factor
		rate        float64       // of all instances
		reportDelay time.Duration
		maxRatio    float64
	}{
		{"one instance", 1, 100 * time.Millisecond, 20, 0, 0.94},
		{"ten instances", 10, 300 * time.Millisecond, 250, 0, 0.97},
		{"ten instances, busy", 10, 300 * time.Millisecond, 400, 0, 0.95},
		{"reports 500 ms late", 10, 300 * time.Millisecond, 250, 500 * time.Millisecond, 1.05},
		{"thin traffic", 10, 100 * time.Millisecond, 3, 0, 1.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got [2]summary
			for i := range got {
				synctest.Test(t, func(*testing.T) {
					s := simulation{region: func(string) string { return "r" }, work: 10 * time.Millisecond, reportDelay: c.reportDelay, hasFactor: i == 1}
					for k := range c.instances {
						s.domains = append(s.domains, string(rune('a'+k)))
					}
					for k, name := range []string{"u", "v", "w"} {
						s.addUpstream(name, "a", 4, fluctuation(uint64(k), c.interval))
					}
					got[i] = summarize(s.run(30*time.Second, func(string, time.Duration) float64 { return c.rate / float64(c.instances) }))
				})
			}
			t.Logf("three figures: %v", got[0])
			t.Logf("four figures:  %v", got[1])
			require.Less(t, float64(got[1].mean), c.maxRatio*float64(got[0].mean))
		})
	}
}
