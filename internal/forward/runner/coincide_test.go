package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

// TestCoincidingEvents lets connections, responses, faults, hedges, deadlines, callers that leave and a planned stop meet at the same
// instants, by whole milliseconds, so that goroutines on several processors decide on the same attempt at once. No order may run twice,
// no request may reach more upstreams than its route permits, and none that ran may get a status that implies that it did not.
func TestCoincidingEvents(t *testing.T) {
	faults := []replica.Fault{
		replica.Aborted, replica.Truncated, replica.WrongRequestID, replica.InternalError, replica.Unavailable, replica.NoResponse,
	}
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			topo := orderShape()
			topo.Replicas, topo.PauseEvery, topo.Seed = 4, 0, seed
			topo.Route.NonIdempotent = rng.IntN(2) == 0
			topo.Route.MaxAttempts = 1 + rng.IntN(2)
			topo.Route.Objective = time.Duration(80+rng.IntN(300)) * time.Millisecond
			topo.ServiceTime = func(r *rand.Rand) time.Duration { return time.Duration(4+r.IntN(8)) * time.Millisecond }
			h := newHarness(t, topo)
			defer h.stop()
			h.Catalog.SetInstanceCount(3 + rng.IntN(4))
			faultShare := rng.IntN(3)
			for _, p := range h.AllReplicas() {
				p.SetFault(func(r *rand.Rand) replica.Fault {
					if r.IntN(10) < faultShare {
						return faults[r.IntN(len(faults))]
					}
					return replica.NoFault
				})
			}
			var mu sync.Mutex
			randomTime := func(most int) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(1+rng.IntN(most)) * time.Millisecond
			}
			run := func(ctx context.Context, q request.Request) reply.Reply {
				q.Timeout = randomTime(1000)
				if leaves := randomTime(1000); leaves < 100*time.Millisecond {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, leaves)
					defer cancel()
				}
				return h.runner.Run(ctx, q)
			}
			var outcomes []outcome.Outcome
			for range 3 {
				outcomes = append(outcomes, h.GenerateLoad(500, 500*time.Millisecond, timeout, run)...)
				outcomes = append(outcomes, h.GenerateLoad(2000, time.Second, timeout, run)...)
			}
			h.runner.Stop(time.Now().Add(300 * time.Millisecond))
			outcomes = append(outcomes, h.GenerateLoad(1000, 500*time.Millisecond, timeout, run)...)
			h.runner.Wait(t.Context())
			h.requireWithinAttempts(topo.Route.MaxAttempts)
			if topo.Route.NonIdempotent {
				h.requireNoneTwice(outcomes)
			}
		})
	}
}

// requireWithinAttempts checks that no request ran on more upstreams of a service than its route permits.
func (h *harness) requireWithinAttempts(maxAttempts int) {
	for name, replicas := range h.Replicas {
		upstreams := make(map[string]int)
		for _, p := range replicas {
			for id := range p.Runs() {
				upstreams[id]++
			}
		}
		for id, n := range upstreams {
			require.LessOrEqual(h, n, maxAttempts, "service %s, request %s", name, id)
		}
	}
}
