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

// TestOnce sends requests that may run only once while upstreams produce each fault of an answer. No request may run twice,
// and none that ran may be answered with a status that implies that it did not.
func TestOnce(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Aborted, replica.Truncated, replica.Duplicated, replica.WrongRequestID, replica.InternalError, replica.Unavailable, replica.NoResponse, replica.Unframed} {
		synctest.Test(t, func(t *testing.T) {
			s := orderShape()
			r := newHarness(t, s)
			defer r.stop()
			for _, p := range r.AllReplicas() {
				p.SetFault(func(r *rand.Rand) replica.Fault {
					if r.IntN(3) == 0 {
						return fault
					}
					return replica.Sound
				})
			}
			outcomes := r.GenerateLoad(20, 10*time.Second, 1500*time.Millisecond, r.runner.Run)
			r.requireAtMostOnce(outcomes)
		})
	}
}

// TestIdleConnectionReset makes upstreams drop idle connections without notice, so that the next send on one is reset.
// Requests that may run only once must succeed nevertheless.
func TestIdleConnectionReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		r := newHarness(t, s)
		defer r.stop()
		for range 100 {
			o := r.GenerateLoad(1, time.Millisecond, 1500*time.Millisecond, r.runner.Run)
			require.Equal(t, http.StatusOK, o[0].Status)
			time.Sleep(200 * time.Millisecond)
			for _, l := range r.Listeners {
				for _, conn := range l.Conns() {
					conn.ResetOnWrite()
				}
			}
		}
	})
}

// TestUnknownRoute checks that a request without a route is not found, and that it is refused if the view may be stale.
func TestUnknownRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, lookupShape())
		defer r.stop()
		published := r.Published
		q := r.NewRequest(time.Second)
		q.Host = "elsewhere"
		require.Equal(t, http.StatusNotFound, r.runner.Run(t.Context(), q).Status)
		r.ViewAge = staleViewAge + 1
		a := r.runner.Run(t.Context(), q)
		require.Equal(t, http.StatusServiceUnavailable, a.Status)
		require.Positive(t, a.RetryAfter)
		r.Published = &state.View{}
		require.Equal(t, http.StatusServiceUnavailable, r.runner.Run(t.Context(), q).Status)
		r.Published = published
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

// requireAtMostOnce compares the requests that upstreams ran with the replies to callers.
func (r *harness) requireAtMostOnce(outcomes []outcome.Outcome) {
	runs := make(map[string]int)
	for _, p := range r.AllReplicas() {
		for id, n := range p.Runs() {
			runs[id] += n
		}
	}
	answered := 0
	for _, o := range outcomes {
		require.LessOrEqual(r, runs[o.ID], 1, "request %s", o.ID)
		if impliesNotRun(o.Status) {
			require.Zero(r, runs[o.ID], "request %s ran and got %d", o.ID, o.Status)
			require.Positive(r, o.RetryAfter)
		}
		if o.Status == http.StatusOK {
			answered++
			require.Equal(r, o.ID, o.Reply.Header.Get(names.RequestID))
			id := strings.TrimSuffix(o.Reply.Header.Get(names.Seal), "."+o.ID)
			require.Equal(r, replica.Part(id, o.ID, 12), o.Reply.Body, "the complete answer to this request")
		}
	}
	require.Greater(r, answered, len(outcomes)/2)
}

// TestRefusedRequestsDidNotRun overloads upstreams with requests that may run only once. A refused attempt must go to another
// upstream or the request be refused.
func TestRefusedRequestsDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := orderShape()
		s.Replicas, s.Queue = 2, 0
		s.Work = func(*rand.Rand) time.Duration { return 60 * time.Millisecond }
		r := newHarness(t, s)
		defer r.stop()
		outcomes := r.GenerateLoad(100, 5*time.Second, 1500*time.Millisecond, r.runner.Run)
		r.requireAtMostOnce(outcomes)
	})
}

// TestGather checks that merged answers contain the greatest records of one part of each service under every fault of the
// answers.
func TestGather(t *testing.T) {
	for _, fault := range []replica.Fault{replica.Sound, replica.Aborted, replica.Truncated, replica.Duplicated, replica.WrongRequestID, replica.InternalError, replica.NoResponse} {
		synctest.Test(t, func(t *testing.T) {
			s := lookupShape()
			r := newHarness(t, s)
			defer r.stop()
			for _, p := range r.AllReplicas() {
				p.SetFault(func(r *rand.Rand) replica.Fault {
					if r.IntN(50) == 0 {
						return fault
					}
					return replica.Sound
				})
			}
			outcomes := r.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, r.runner.Run)
			answered := 0
			for _, o := range outcomes {
				if o.Status == http.StatusOK {
					answered++
					require.GreaterOrEqual(t, s.Services-o.Missing, 18, "0.89 of 20 shards")
					r.requireMerged(o, s.Records, s.Route.TopK, s.Services)
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
		r := newHarness(t, s)
		defer r.stop()
		r.GenerateLoad(20, 3*time.Second, 600*time.Millisecond, r.runner.Run)
		for _, p := range r.Replicas["s07"] {
			p.SetUnresponsive(true)
		}
		outcomes := r.GenerateLoad(20, 5*time.Second, 600*time.Millisecond, r.runner.Run)
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
		r := newHarness(t, s)
		defer r.stop()
		v := *r.Published
		v.ExcludedDomains = map[string]bool{testbed.Domain: true}
		v.Changed = nil
		r.Catalog.Update(&v)
		for _, o := range r.GenerateLoad(20, time.Second, 600*time.Millisecond, r.runner.Run) {
			require.Equal(t, http.StatusServiceUnavailable, o.Status)
			require.Zero(t, o.Latency)
			require.Positive(t, o.RetryAfter)
		}
		r.Catalog.Update(r.Published)
		for _, name := range []string{"s01", "s02", "s03"} {
			for _, p := range r.Replicas[name] {
				p.SetUnresponsive(true)
			}
		}
		for _, o := range r.GenerateLoad(20, time.Second, 600*time.Millisecond, r.runner.Run) {
			require.Equal(t, http.StatusGatewayTimeout, o.Status)
			require.LessOrEqual(t, o.Latency, s.Route.Timeout)
		}
	})
}

// TestCallerLeaves checks that the attempts of a caller that has disconnected are canceled.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := lookupShape()
		s.Work = func(*rand.Rand) time.Duration { return 300 * time.Millisecond }
		r := newHarness(t, s)
		defer r.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		start := time.Now()
		r.runner.Run(ctx, r.NewRequest(600*time.Millisecond))
		require.Equal(t, 50*time.Millisecond, time.Since(start))
		r.runner.Wait(t.Context())
		require.Equal(t, 50*time.Millisecond, time.Since(start), "no attempt stays in flight")
	})
}

// TestMaxAttempts checks that a request is never sent to more upstreams of a service than its route allows.
func TestMaxAttempts(t *testing.T) {
	for _, maxAttempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := lookupShape()
			s.Replicas, s.Route.MaxAttempts = 3, maxAttempts
			r := newHarness(t, s)
			defer r.stop()
			for _, p := range r.AllReplicas() {
				p.SetFault(func(r *rand.Rand) replica.Fault { return replica.Fault(r.IntN(int(replica.Unframed) + 1)) })
			}
			r.GenerateLoad(20, 10*time.Second, 600*time.Millisecond, r.runner.Run)
			r.runner.Wait(t.Context())
			for name, replicas := range r.Replicas {
				servers := make(map[string]int)
				for _, p := range replicas {
					for id := range p.Runs() {
						servers[id]++
					}
				}
				for id, n := range servers {
					require.LessOrEqual(t, n, maxAttempts, "service %s, request %s", name, id)
				}
			}
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
			r := newHarness(t, s)
			defer r.stop()
			q := r.NewRequest(s.Route.Timeout)
			a := r.runner.Run(t.Context(), q)
			time.Sleep(time.Second)
			ran := r.Replicas["s00"][0].Runs()[q.ID]
			require.LessOrEqual(t, ran, 1)
			if impliesNotRun(a.Status) {
				require.Zero(t, ran)
			}
		})
	}
}

// TestCancel checks that cancel decides for each attempt in flight whether it can still be sent, before the caller gets a reply.
func TestCancel(t *testing.T) {
	noop := func() {}
	waiting := &attempt{gate: new(sendGate), cancel: noop}
	l := &subrequest{attempts: []*attempt{waiting, {gate: new(sendGate), cancel: noop, hasEnded: true, notRun: true}}}
	require.False(t, l.cancel())
	require.False(t, waiting.gate.allowSend(), "an attempt that waited for a connection is never sent")
	sent := &attempt{gate: new(sendGate), cancel: noop}
	require.True(t, sent.gate.allowSend())
	l.attempts = append(l.attempts, sent)
	require.True(t, l.cancel())
	l.attempts[2] = &attempt{gate: new(sendGate), cancel: noop, hasEnded: true}
	require.True(t, l.cancel())
}
