package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/experiment/outcome"
	"crocuswing/internal/experiment/testbed"
	"crocuswing/internal/published/state"
	"crocuswing/internal/standin/replica"

	"github.com/stretchr/testify/require"
)

// TestAtMostOnce sends requests that may run only once while a third of the responses have a fault, for each kind of fault. No
// request may run twice, and none that ran may get a status that implies that it did not.
func TestAtMostOnce(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Aborted, replica.Truncated, replica.Duplicated, replica.WrongRequestID, replica.InternalError, replica.Unavailable, replica.NoResponse, replica.Unframed} {
		synctest.Test(t, func(t *testing.T) {
			s := orderShape()
			h := newHarness(t, s)
			defer h.stop()
			for _, p := range h.AllReplicas() {
				p.SetFault(func(rng *rand.Rand) replica.Fault {
					if rng.IntN(3) == 0 {
						return fault
					}
					return replica.NoFault
				})
			}
			outcomes := h.GenerateLoad(20, 10*time.Second, 1500*time.Millisecond, h.runner.Run)
			h.requireAtMostOnce(outcomes)
		})
	}
}

// TestIdleConnectionReset makes upstreams drop idle connections without notice, so that the next send on one is reset.
// Requests that may run only once must succeed nevertheless.
func TestIdleConnectionReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		h := newHarness(t, s)
		defer h.stop()
		for range 100 {
			o := h.GenerateLoad(1, time.Millisecond, 1500*time.Millisecond, h.runner.Run)
			require.Equal(t, http.StatusOK, o[0].Status)
			time.Sleep(200 * time.Millisecond)
			for _, l := range h.Listeners {
				for _, conn := range l.Conns() {
					conn.ResetOnWrite()
				}
			}
		}
	})
}

// TestUnknownRoute checks that a request without a route gets status 404, and that it is refused if the view may be stale.
func TestUnknownRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, lookupShape())
		defer h.stop()
		published := h.Published
		q := h.NewRequest(time.Second)
		q.Host = "elsewhere"
		require.Equal(t, http.StatusNotFound, h.runner.Run(t.Context(), q).Status)
		h.ViewAge = staleViewAge + 1
		rep := h.runner.Run(t.Context(), q)
		require.Equal(t, http.StatusServiceUnavailable, rep.Status)
		require.Positive(t, rep.RetryAfter)
		h.Published = &state.View{}
		require.Equal(t, http.StatusServiceUnavailable, h.runner.Run(t.Context(), q).Status)
		h.Published = published
	})
}

// TestSendGate checks that an attempt is either sent or withdrawn, never both.
func TestSendGate(t *testing.T) {
	var sent sendGate
	require.True(t, sent.allowSend())
	require.True(t, sent.allowSend(), "on another connection, since nothing was sent on the first")
	require.False(t, sent.withdraw())
	require.True(t, sent.isSent())
	var withdrawn sendGate
	require.True(t, withdrawn.withdraw())
	require.False(t, withdrawn.allowSend())
	require.False(t, withdrawn.isSent())
}

// requireNoneTwice checks that no request ran twice and that none that ran got a status that implies that it did not. It returns the
// number of requests that got an answer.
func (h *harness) requireNoneTwice(outcomes []outcome.Outcome) (answered int) {
	runs := make(map[string]int)
	for _, p := range h.AllReplicas() {
		for id, n := range p.Runs() {
			runs[id] += n
		}
	}
	for _, o := range outcomes {
		require.LessOrEqual(h, runs[o.ID], 1, "request %s", o.ID)
		if impliesNotRun(o.Status) {
			require.Zero(h, runs[o.ID], "request %s ran and got %d", o.ID, o.Status)
			require.Positive(h, o.RetryAfter)
		}
		if o.Status == http.StatusOK {
			answered++
			require.Equal(h, o.ID, o.Reply.Header.Get(names.RequestID))
			id := strings.TrimSuffix(o.Reply.Header.Get(names.Proof), "."+o.ID)
			require.Equal(h, replica.Part(id, o.ID, 12), o.Reply.Body, "the complete answer to this request")
		}
	}
	return answered
}

// requireAtMostOnce compares the requests that upstreams ran with the replies to callers.
func (h *harness) requireAtMostOnce(outcomes []outcome.Outcome) {
	require.Greater(h, h.requireNoneTwice(outcomes), len(outcomes)/2)
}

// TestRefusedRequestsDidNotRun overloads upstreams with requests that may run only once. A refused attempt must go to another
// upstream or the request be refused.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		s.Replicas, s.Queue = 2, 0
		s.ServiceTime = func(*rand.Rand) time.Duration { return 60 * time.Millisecond }
		h := newHarness(t, s)
		defer h.stop()
		outcomes := h.GenerateLoad(100, 5*time.Second, 1500*time.Millisecond, h.runner.Run)
		h.requireAtMostOnce(outcomes)
	})
}

// TestGather checks that merged answers contain the greatest records of one part of each service while some of the responses
// have a fault, for each kind of fault.
func TestGather(t *testing.T) {
	for _, fault := range []replica.Fault{replica.NoFault, replica.Aborted, replica.Truncated, replica.Duplicated, replica.WrongRequestID, replica.InternalError, replica.NoResponse} {
		synctest.Test(t, func(t *testing.T) {
			s := lookupShape()
			h := newHarness(t, s)
			defer h.stop()
			for _, p := range h.AllReplicas() {
				p.SetFault(func(rng *rand.Rand) replica.Fault {
					if rng.IntN(50) == 0 {
						return fault
					}
					return replica.NoFault
				})
			}
			outcomes := h.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, h.runner.Run)
			answered := 0
			for _, o := range outcomes {
				if o.Status == http.StatusOK {
					answered++
					require.GreaterOrEqual(t, s.Services-o.Missing, 18, "0.89 of 20 shards")
					h.requireMerged(o, s.Records, s.Route.TopK, s.Services)
				}
			}
			require.Greater(t, float64(answered), 0.95*float64(len(outcomes)))
		})
	}
}

// TestDeadShard loses all replicas of one shard. Callers must get the other parts within the objective.
func TestDeadShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		h.GenerateLoad(20, 3*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, p := range h.Replicas["s07"] {
			p.SetUnresponsive(true)
		}
		outcomes := h.GenerateLoad(20, 5*time.Second, 600*time.Millisecond, h.runner.Run)
		for _, o := range outcomes {
			require.Equal(t, http.StatusOK, o.Status)
			require.LessOrEqual(t, o.Latency, s.Route.Objective)
			require.GreaterOrEqual(t, o.Missing, 1)
		}
	})
}

// TestTooManyShardsLost loses more shards than an answer may lack. Requests that have not been sent must be refused at once,
// and no caller may wait beyond the timeout of the route.
func TestTooManyShardsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		h := newHarness(t, s)
		defer h.stop()
		v := *h.Published
		v.ExcludedDomains = map[string]bool{testbed.Domain: true}
		v.Changed = nil
		h.Catalog.Update(&v)
		for _, o := range h.GenerateLoad(20, time.Second, 600*time.Millisecond, h.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.Zero(t, o.Latency)
			require.Positive(t, o.RetryAfter)
		}
		h.Catalog.Update(h.Published)
		for _, name := range []string{"s01", "s02", "s03"} {
			for _, p := range h.Replicas[name] {
				p.SetUnresponsive(true)
			}
		}
		for _, o := range h.GenerateLoad(20, time.Second, 600*time.Millisecond, h.runner.Run) {
			require.Equal(t, http.StatusGatewayTimeout, o.Status)
			require.LessOrEqual(t, o.Latency, s.Route.Timeout)
		}
	})
}

// TestCallerLeaves checks that the attempts of a caller that has disconnected are canceled.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.ServiceTime = func(*rand.Rand) time.Duration { return 300 * time.Millisecond }
		h := newHarness(t, s)
		defer h.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		h.runner.Run(ctx, h.NewRequest(600*time.Millisecond))
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		h.runner.Wait(t.Context())
		require.Equal(t, 50*time.Millisecond, time.Since(start), "no attempt stays in flight")
	})
}

// TestMaxAttempts checks that a request is never sent to more upstreams of a service than its route allows.
func TestMaxAttempts(t *testing.T) {
	for _, maxAttempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := lookupShape()
			s.Replicas, s.Route.MaxAttempts = 3, maxAttempts
			h := newHarness(t, s)
			defer h.stop()
			for _, p := range h.AllReplicas() {
				p.SetFault(func(rng *rand.Rand) replica.Fault { return replica.Fault(rng.IntN(int(replica.Unframed) + 1)) })
			}
			h.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, h.runner.Run)
			h.runner.Wait(t.Context())
			h.requireWithinAttempts(maxAttempts)
		})
	}
}

// TestRefusedIsNeverSent ends the timeout of a request around the instant at which its connection opens. Whether the request
// was sent or not, the reply to the caller must remain true afterwards.
func TestRefusedIsNeverSent(t *testing.T) {
	for step := range 40 {
		synctest.Test(t, func(t *testing.T) {
			s := orderShape()
			s.Replicas = 1
			s.Route.Timeout = testbed.DialLatency + time.Duration(step)*100*time.Microsecond
			h := newHarness(t, s)
			defer h.stop()
			q := h.NewRequest(s.Route.Timeout)
			rep := h.runner.Run(t.Context(), q)
			time.Sleep(time.Second)
			ran := h.Replicas["s00"][0].Runs()[q.ID]
			require.LessOrEqual(t, ran, 1)
			if impliesNotRun(rep.Status) {
				require.Zero(t, ran)
			}
		})
	}
}

// TestCancel checks that cancel decides for each attempt in flight whether it can still be sent, before the caller gets a reply.
func TestCancel(t *testing.T) {
	noop := func() {}
	waiting := &attempt{gate: new(sendGate), cancel: noop}
	s := &subrequest{attempts: []*attempt{waiting, {gate: new(sendGate), cancel: noop, hasEnded: true, notRun: true}}}
	require.False(t, s.cancel())
	require.False(t, waiting.gate.allowSend(), "an attempt that waited for a connection is never sent")
	sent := &attempt{gate: new(sendGate), cancel: noop}
	require.True(t, sent.gate.allowSend())
	s.attempts = append(s.attempts, sent)
	require.True(t, s.cancel())
	s.attempts[2] = &attempt{gate: new(sendGate), cancel: noop, hasEnded: true}
	require.True(t, s.cancel())
}
