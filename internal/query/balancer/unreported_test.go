package balancer_test

import (
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

// TestPicksWithoutWorkFactor guards against a change of the picks among upstreams that report no work factor. The hash was computed
// with the code before work factors were read (commit 5ec7cbc).
func TestPicksWithoutWorkFactor(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 11))
	picks := fnv.New64a()
	for range 20000 {
		candidates := make([]balancer.Candidate, 1+rng.IntN(6))
		for i := range candidates {
			candidates[i] = balancer.Candidate{
				State: balancer.State(rng.IntN(4)), Distance: balancer.Distance(rng.IntN(3)), Outstanding: rng.IntN(3), Limit: rng.IntN(4),
				Load: rng.Float64()*2 - 0.5, LoadAge: time.Duration(rng.IntN(2000)) * ms, Transient: rng.IntN(3) == 0,
				Penalty: time.Duration(rng.IntN(3)) * ms,
				Record: history.Record{
					InFlight: rng.IntN(3), OldestAge: time.Duration(rng.IntN(9)) * ms, Latency: time.Duration(rng.IntN(30)) * ms,
					SampleAge: time.Duration(rng.IntN(3000)) * ms, Misses: rng.IntN(2),
				},
			}
		}
		i, ok := balancer.Pick(candidates, balancer.Purpose(rng.IntN(3)), tailLatency, rng.IntN)
		if !ok {
			i = 255
		}
		_, _ = picks.Write([]byte{byte(i)})
	}
	require.Equal(t, uint64(0x185e4361abe408c3), picks.Sum64())
}
