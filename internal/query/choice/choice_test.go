package choice_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"crocuswing/internal/query/choice"
	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

const (
	ms    = time.Millisecond
	usual = 10 * ms
)

func ExamplePick() {
	replicas := []choice.Candidate{
		{Upstream: "a", Load: -1, Record: history.Record{Latency: 30 * ms}},
		{Upstream: "b", Load: -1, Record: history.Record{Latency: 3 * ms}},
		{Upstream: "c", Load: -1, State: choice.StateBarred},
	}
	i, ok := choice.Pick(replicas, choice.First, usual, rand.IntN)
	fmt.Println(replicas[i].Upstream, ok)
	// Output: b true
}

// known is an open replica in the same failure domain with 3 ms latency.
func known(change func(*choice.Candidate)) choice.Candidate {
	c := choice.Candidate{Load: -1, Limit: 2, Record: history.Record{Latency: 3 * ms}}
	if change != nil {
		change(&c)
	}
	return c
}

// TestPick compares a plain replica at index 0 with another; share is how often the other is taken.
func TestPick(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   func(*choice.Candidate)
		purpose choice.Purpose
		least   float64
		most    float64
	}{
		{"alike", nil, choice.First, 0.4, 0.6},
		{"barred", func(c *choice.Candidate) { c.State = choice.StateBarred }, choice.First, 0, 0},
		{"shedding", func(c *choice.Candidate) { c.State = choice.StateShedding }, choice.First, 0, 0},
		{"cold may be first", func(c *choice.Candidate) { c.State = choice.StateCold }, choice.First, 0.4, 0.6},
		{"cold is no hedge", func(c *choice.Candidate) { c.State = choice.StateCold }, choice.Hedge, 0, 0},
		{"full is last", func(c *choice.Candidate) { c.Busy = 2 }, choice.First, 0, 0},
		{"suspect is last", func(c *choice.Candidate) { c.Record.Misses = 1 }, choice.First, 0, 0},
		{"suspect may be a hedge", func(c *choice.Candidate) { c.Record.Misses = 2 }, choice.Hedge, 0, 0},
		{"failing is no hedge", func(c *choice.Candidate) { c.Record.Misses = 3 }, choice.Hedge, 0, 0},
		{"busier", func(c *choice.Candidate) { c.Busy = 1 }, choice.First, 0, 0},
		{"slower", func(c *choice.Candidate) { c.Record.Latency = 5 * ms }, choice.First, 0, 0},
		{"faster", func(c *choice.Candidate) { c.Record.Latency = 1 * ms }, choice.First, 1, 1},
		{"stuck attempt", func(c *choice.Candidate) { c.Record.Oldest = 9 * ms }, choice.First, 0, 0},
		{"slow long ago is tried again", func(c *choice.Candidate) { c.Record.Latency, c.Record.Age = 60*ms, 10*time.Second }, choice.First, 1, 1},
		{"farther", func(c *choice.Candidate) { c.Distance = choice.SameRegion }, choice.First, 0, 0},
		{"farther and faster", func(c *choice.Candidate) { c.Distance, c.Record.Latency = choice.Elsewhere, ms }, choice.First, 1, 1},
		{"reports idle", func(c *choice.Candidate) { c.Load = 0 }, choice.First, 1, 1},
		{"reports idle long ago", func(c *choice.Candidate) { c.Load, c.LoadAge = 0, 5*time.Second }, choice.First, 0.4, 0.6},
		{"lies idle and is slower", func(c *choice.Candidate) { c.Load, c.Record.Latency = 0, 5*ms }, choice.First, 0, 0},
		{"lies busy and is faster", func(c *choice.Candidate) { c.Load, c.Record.Latency = 1, ms }, choice.First, 1, 1},
		{"reports nonsense", func(c *choice.Candidate) { c.Load = math.NaN() }, choice.First, 0.4, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			replicas := []choice.Candidate{known(nil), known(c.other)}
			other := 0
			const tries = 1000
			for range tries {
				i, ok := choice.Pick(replicas, c.purpose, usual, rng.IntN)
				require.True(t, ok)
				other += i
			}
			require.GreaterOrEqual(t, float64(other)/tries, c.least)
			require.LessOrEqual(t, float64(other)/tries, c.most)
		})
	}
}

func TestPickOfOneOrNone(t *testing.T) {
	for _, c := range []struct {
		name    string
		only    func(*choice.Candidate)
		purpose choice.Purpose
		ok      bool
	}{
		{"suspect", func(c *choice.Candidate) { c.Record.Misses = 9 }, choice.First, true},
		{"full", func(c *choice.Candidate) { c.Busy = 9 }, choice.First, true},
		{"full hedge", func(c *choice.Candidate) { c.Busy = 9 }, choice.Hedge, false},
		{"suspect hedge", func(c *choice.Candidate) { c.Record.Misses = 2 }, choice.Hedge, true},
		{"failing hedge", func(c *choice.Candidate) { c.Record.Misses = 3 }, choice.Hedge, false},
		{"full cold retry", func(c *choice.Candidate) { c.State, c.Busy = choice.StateCold, 9 }, choice.Retry, false},
		{"barred retry", func(c *choice.Candidate) { c.State = choice.StateBarred }, choice.Retry, false},
	} {
		_, ok := choice.Pick([]choice.Candidate{known(c.only)}, c.purpose, usual, rand.IntN)
		require.Equal(t, c.ok, ok, c.name)
	}
	_, ok := choice.Pick(nil, choice.First, usual, rand.IntN)
	require.False(t, ok)
}

// TestManyReplicas checks that the nearest of many is always one of the two that are compared.
func TestManyReplicas(t *testing.T) {
	replicas := make([]choice.Candidate, 40)
	for i := range replicas {
		replicas[i] = known(func(c *choice.Candidate) { c.Distance, c.Record.Latency = choice.Elsewhere, 20*ms })
	}
	replicas[7] = known(nil)
	for range 100 {
		i, ok := choice.Pick(replicas, choice.First, usual, rand.IntN)
		require.True(t, ok)
		require.Equal(t, 7, i)
	}
}
