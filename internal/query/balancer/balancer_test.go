package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

const (
	ms          = time.Millisecond
	tailLatency = 10 * ms
)

func ExamplePick() {
	replicas := []balancer.Candidate{
		{Upstream: "a", Load: -1, Record: history.Record{Latency: 30 * ms}},
		{Upstream: "b", Load: -1, Record: history.Record{Latency: 3 * ms}},
		{Upstream: "c", Load: -1, State: balancer.StateUnavailable},
	}
	i, ok := balancer.Pick(replicas, balancer.First, tailLatency, rand.IntN)
	fmt.Println(replicas[i].Upstream, ok)
	// Output: b true
}

// newCandidate returns an available replica in the same failure domain with 3 ms latency, after applying change.
func newCandidate(change func(*balancer.Candidate)) balancer.Candidate {
	c := balancer.Candidate{Load: -1, Limit: 2, Record: history.Record{Latency: 3 * ms}}
	if change != nil {
		change(&c)
	}
	return c
}

// TestPick compares an ordinary replica at index 0 with another one; minShare and maxShare bound the share of picks
// that the other one gets.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name     string
		other    func(*balancer.Candidate)
		purpose  balancer.Purpose
		minShare float64
		maxShare float64
	}{
		{"equal", nil, balancer.First, 0.4, 0.6},
		{"unavailable", func(c *balancer.Candidate) { c.State = balancer.StateUnavailable }, balancer.First, 0, 0},
		{"shedding", func(c *balancer.Candidate) { c.State = balancer.StateShedding }, balancer.First, 0, 0},
		{"cold gets first attempts", func(c *balancer.Candidate) { c.State = balancer.StateCold }, balancer.First, 0.4, 0.6},
		{"cold gets no hedges", func(c *balancer.Candidate) { c.State = balancer.StateCold }, balancer.Hedge, 0, 0},
		{"full is last", func(c *balancer.Candidate) { c.Outstanding = 2 }, balancer.First, 0, 0},
		{"suspect is last", func(c *balancer.Candidate) { c.Record.Misses = 1 }, balancer.First, 0, 0},
		{"suspect gets hedges", func(c *balancer.Candidate) { c.Record.Misses = 2 }, balancer.Hedge, 0, 0},
		{"failing gets no hedges", func(c *balancer.Candidate) { c.Record.Misses = 3 }, balancer.Hedge, 0, 0},
		{"more in flight", func(c *balancer.Candidate) { c.Outstanding = 1 }, balancer.First, 0, 0},
		{"slower", func(c *balancer.Candidate) { c.Record.Latency = 5 * ms }, balancer.First, 0, 0},
		{"faster", func(c *balancer.Candidate) { c.Record.Latency = 1 * ms }, balancer.First, 1, 1},
		{"old attempt in flight", func(c *balancer.Candidate) { c.Record.OldestAge = 9 * ms }, balancer.First, 0, 0},
		{"old slow samples decay", func(c *balancer.Candidate) { c.Record.Latency, c.Record.SampleAge = 60*ms, 10*time.Second }, balancer.First, 1, 1},
		{"farther", func(c *balancer.Candidate) { c.Distance = balancer.SameRegion }, balancer.First, 0, 0},
		{"farther and faster", func(c *balancer.Candidate) { c.Distance, c.Record.Latency = balancer.OtherRegion, ms }, balancer.First, 1, 1},
		{"reports idle", func(c *balancer.Candidate) { c.Load = 0 }, balancer.First, 1, 1},
		{"reports idle long ago", func(c *balancer.Candidate) { c.Load, c.LoadAge = 0, 5*time.Second }, balancer.First, 0.4, 0.6},
		{"falsely reports idle", func(c *balancer.Candidate) { c.Load, c.Record.Latency = 0, 5*ms }, balancer.First, 0, 0},
		{"falsely reports busy", func(c *balancer.Candidate) { c.Load, c.Record.Latency = 1, ms }, balancer.First, 1, 1},
		{"reports slow work", func(c *balancer.Candidate) { c.WorkFactor = 2 }, balancer.First, 0, 0},
		{"reports fast work", func(c *balancer.Candidate) { c.WorkFactor = 0.5 }, balancer.First, 1, 1},
		{"reported slow work long ago", func(c *balancer.Candidate) { c.WorkFactor, c.LoadAge = 2, time.Second }, balancer.First, 0.4, 0.6},
		{"slow work does not slow the network", func(c *balancer.Candidate) { c.WorkFactor, c.Path = 2, 3*ms }, balancer.First, 0.4, 0.6},
		{"reports absurdly fast work", func(c *balancer.Candidate) { c.WorkFactor, c.Outstanding, c.Limit = 1e-9, 19, 0 }, balancer.First, 0, 0},
		{"reports NaN", func(c *balancer.Candidate) { c.Load = math.NaN() }, balancer.First, 0.4, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			replicas := []balancer.Candidate{newCandidate(nil), newCandidate(c.other)}
			picked := 0
			const picks = 1000
			for range picks {
				i, ok := balancer.Pick(replicas, c.purpose, tailLatency, rng.IntN)
				require.True(t, ok)
				picked += i
			}
			require.GreaterOrEqual(t, float64(picked)/picks, c.minShare)
			require.LessOrEqual(t, float64(picked)/picks, c.maxShare)
		})
	}
}

func TestPickOfOneOrNone(t *testing.T) {
	for _, c := range []struct {
		name    string
		only    func(*balancer.Candidate)
		purpose balancer.Purpose
		ok      bool
	}{
		{"suspect", func(c *balancer.Candidate) { c.Record.Misses = 9 }, balancer.First, true},
		{"full", func(c *balancer.Candidate) { c.Outstanding = 9 }, balancer.First, true},
		{"full hedge", func(c *balancer.Candidate) { c.Outstanding = 9 }, balancer.Hedge, false},
		{"suspect hedge", func(c *balancer.Candidate) { c.Record.Misses = 2 }, balancer.Hedge, true},
		{"failing hedge", func(c *balancer.Candidate) { c.Record.Misses = 3 }, balancer.Hedge, false},
		{"full cold retry", func(c *balancer.Candidate) { c.State, c.Outstanding = balancer.StateCold, 9 }, balancer.Retry, false},
		{"unavailable retry", func(c *balancer.Candidate) { c.State = balancer.StateUnavailable }, balancer.Retry, false},
	} {
		_, ok := balancer.Pick([]balancer.Candidate{newCandidate(c.only)}, c.purpose, tailLatency, rand.IntN)
		require.Equal(t, c.ok, ok, c.name)
	}
	_, ok := balancer.Pick(nil, balancer.First, tailLatency, rand.IntN)
	require.False(t, ok)
}

// TestManyReplicas checks that the nearest replica is always one of the two that are compared.
func TestManyReplicas(t *testing.T) {
	replicas := make([]balancer.Candidate, 40)
	for i := range replicas {
		replicas[i] = newCandidate(func(c *balancer.Candidate) { c.Distance, c.Record.Latency = balancer.OtherRegion, 20*ms })
	}
	replicas[7] = newCandidate(nil)
	for range 100 {
		i, ok := balancer.Pick(replicas, balancer.First, tailLatency, rand.IntN)
		require.True(t, ok)
		require.Equal(t, 7, i)
	}
}
