package runner

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/link"

	"github.com/stretchr/testify/require"
)

// goroutineDelay is the real time within which a goroutine that can run reaches the lock on which it waits next.
const goroutineDelay = 100 * time.Millisecond

// holdCluster blocks the cluster's Pick until the returned function is called.
func holdCluster(c *cluster.Cluster) (release func()) {
	held, done := make(chan struct{}), make(chan struct{})
	go c.Put(registration.Registration{Upstream: "late", Draining: true}, testbed.Region, balancer.SameDomain, func() *link.Link {
		close(held)
		<-done
		return link.New("late", "late:1", 1)
	})
	<-held
	return func() { close(done) }
}

// TestSendDuringHedge guards against an order that runs on two upstreams: its attempt gets a connection while the hedge that replaces
// it is being decided.
func TestSendDuringHedge(t *testing.T) {
	for _, tc := range []struct {
		name          string
		nonIdempotent bool
		maxAttempts   int
		earlier       int // attempts that were sent and are still in flight
	}{
		{name: "non-idempotent", nonIdempotent: true, maxAttempts: 2},
		{name: "one attempt", maxAttempts: 1},
		{name: "second of two attempts", maxAttempts: 2, earlier: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			topo := orderShape()
			topo.Route.NonIdempotent, topo.Route.MaxAttempts = tc.nonIdempotent, tc.maxAttempts
			topo.PauseEvery = 0
			h := newHarness(t, topo)
			defer h.Stop()
			q := h.NewRequest(timeout)
			rt, ok := h.Published.Table.Lookup(q.Host, q.Path)
			require.True(t, ok)
			e := newExecution(h.runner, q, rt, 1)
			s := e.subrequests[0]
			s.cluster.SetBounds(0, 1e6)
			replicas := s.cluster.Replicas()
			start := time.Now().Add(-timeout / 2)
			for i := range tc.earlier + 1 {
				s.attempts = append(s.attempts, &attempt{replica: replicas[i], gate: new(sendGate), cancel: func() {}, start: start})
				if i < tc.earlier {
					require.True(t, s.attempts[i].gate.allowSend())
				}
			}
			waiting := s.attempts[tc.earlier]

			release := holdCluster(s.cluster)
			var wg sync.WaitGroup
			wg.Go(func() { s.hedge(waiting, time.Now()) })
			time.Sleep(goroutineDelay)
			wg.Go(func() { waiting.gate.allowSend() })
			time.Sleep(goroutineDelay)
			release()
			wg.Wait()
			h.runner.Wait(t.Context())

			sent := 0
			for _, a := range s.attempts {
				if a.gate.isSent() {
					sent++
				}
			}
			limit := tc.maxAttempts
			if tc.nonIdempotent {
				limit = 1
			}
			require.LessOrEqual(t, sent, limit, "%d attempts", len(s.attempts))
		})
	}
}

// TestBurstOfOrders guards against orders that run twice during a burst: requests queue for the few connections of an instance for
// longer than the hedge delay, so that attempts are replaced while they may be sent.
func TestBurstOfOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topo := orderShape()
		topo.Replicas, topo.PauseEvery = 4, 0
		topo.ServiceTime = func(r *rand.Rand) time.Duration { return time.Duration(4+r.IntN(8)) * time.Millisecond }
		h := newHarness(t, topo)
		defer h.stop()
		h.Catalog.SetInstanceCount(4)
		for range 4 {
			h.GenerateLoad(500, time.Second, timeout, h.runner.Run)
			h.requireNoneTwice(h.GenerateLoad(2000, time.Second, timeout, h.runner.Run))
		}
	})
}
