package runner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/query/runner"

	"github.com/stretchr/testify/require"
)

// runQuery runs one query with p.
func runQuery(ctx context.Context, t *testing.T, p policy, h *harness) answer.Answer {
	t.Helper()
	a, err := p.Run(ctx, h.view(), runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
	require.NoError(t, err)
	return a
}

// warmUp returns the runner of the first instance after enough queries for latency quantiles.
func warmUp(t *testing.T, h *harness) policy {
	t.Helper()
	p := h.runners()[0]
	for range 20 {
		runQuery(t.Context(), t, p, h)
	}
	return p
}

func TestRestart(t *testing.T) {
	n1, n2, n3 := layoutOf("n1", 20), layoutOf("n2", 24), layoutOf("n3", 20)
	for _, c := range []struct {
		name     string
		first    []layout.Layout // of revision 1, under which the query starts
		second   []layout.Layout // of revision 2, in force after the query has started
		served   []string
		revision uint64
		snapshot string
		answered int
	}{
		{"another of the revision goes first", []layout.Layout{n1, n2}, []layout.Layout{n3}, []string{"n2", "n3"}, 1, "n2", 24},
		{"else one of the current revision", []layout.Layout{n1}, []layout.Layout{n2}, []string{"n2"}, 2, "n2", 24},
		{"else the shards are missing", []layout.Layout{n1}, []layout.Layout{n1}, []string{"n2"}, 1, "n1", 0},
		{"two are gone", []layout.Layout{n1, n2, n3}, []layout.Layout{n1}, []string{"n3"}, 1, "n3", 20},
		{"none is gone", []layout.Layout{n1, n2}, []layout.Layout{n2}, []string{"n1", "n2"}, 1, "n1", 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(coverageSite)
				h.publish(1, c.first...)
				v := h.view()
				h.publish(2, c.second...)
				h.updateAll("", serving(c.served...))
				start := time.Now()
				a, err := h.runners()[0].Run(t.Context(), v, runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
				require.NoError(t, err)
				require.Equal(t, c.revision, a.Revision)
				require.Equal(t, c.snapshot, a.Snapshot)
				require.Equal(t, c.answered, a.Coverage.Answered)
				require.Len(t, a.Coverage.Missing, a.Coverage.Total-c.answered)
				require.Less(t, time.Since(start), coverageSite.preset.Deadline())
			})
		})
	}
}

// TestOneReplicaLacksSnapshot checks that a query stays on a snapshot that only some of the replicas do not serve.
func TestOneReplicaLacksSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(coverageSite)
		h.publish(1, layoutOf("n2", 20), layoutOf("n1", 20))
		h.updateAll("", serving("n1", "n2"))
		h.updateAll("a", serving("n1"))
		a := runQuery(t.Context(), t, h.runners()[0], h)
		require.Equal(t, "n2", a.Snapshot)
		require.Equal(t, 20, a.Coverage.Answered)
	})
}

func TestCancellation(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(t *testing.T, h *harness, p policy)
	}{
		{"a hedge wins", func(t *testing.T, h *harness, p policy) {
			require.Equal(t, 20, runQuery(t.Context(), t, p, h).Coverage.Answered)
			require.Positive(t, h.counter("crocuswing_hedges_total"))
		}},
		{"a hedge wins while another shard is slow", func(t *testing.T, h *harness, p policy) {
			h.updateAll("s-5a", func(u *upstream) { u.fault, u.slowdown = healthy, 100 })
			h.updateAll("s-5b", func(u *upstream) { u.slowdown = 100 })
			time.AfterFunc(100*ms, func() {
				_, inFlight := h.attempts()
				require.Positive(t, inFlight, "the slow shard's")
				require.LessOrEqual(t, inFlight, 3, "only the slow shard's")
			})
			require.Equal(t, 20, runQuery(t.Context(), t, p, h).Coverage.Answered)
		}},
		{"the deadline passes", func(t *testing.T, h *harness, p policy) {
			h.updateAll("", withFault(unresponsive))
			ctx, cancel := context.WithTimeout(t.Context(), 100*ms)
			defer cancel()
			end := time.Now().Add(100 * ms)
			require.Zero(t, runQuery(ctx, t, p, h).Coverage.Answered)
			require.True(t, time.Now().Before(end), "the answer is back before the deadline")
			require.False(t, h.latestDeadline.After(end), "attempts carry the deadline")
		}},
		{"the caller disconnects", func(t *testing.T, h *harness, p policy) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(5*ms, cancel)
			_, err := p.Run(ctx, h.view(), runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
			require.ErrorIs(t, err, context.Canceled)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(coverageSite)
				p := warmUp(t, h)
				h.updateAll("a", withFault(unresponsive))
				h.latestDeadline = time.Time{}
				c.end(t, h, p)
				synctest.Wait()
				_, inFlight := h.attempts()
				require.Zero(t, inFlight, "attempts left in flight")
			})
		})
	}
}

func TestDroppedPartsAreCounted(t *testing.T) {
	for name, f := range map[string]fault{"crossed": crossed, "incomplete": truncated, "late": delayed} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(coverageSite)
				p := warmUp(t, h)
				h.updateAll("a", withFault(f))
				require.Equal(t, 20, runQuery(t.Context(), t, p, h).Coverage.Answered)
				time.Sleep(time.Second)
				require.Positive(t, h.counter(fmt.Sprintf("crocuswing_parts_dropped_total{reason=%q}", name)))
			})
		})
	}
}

// TestHedgesLeaveTokens checks that a query during a stall of all upstreams does not spend all hedge tokens.
func TestHedgesLeaveTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(coverageSite)
		p := warmUp(t, h)
		before := h.counter("crocuswing_hedges_total")
		h.updateAll("", withFault(unresponsive))
		ctx, cancel := context.WithTimeout(t.Context(), 60*ms)
		defer cancel()
		runQuery(ctx, t, p, h)
		spent := h.counter("crocuswing_hedges_total") - before
		require.Positive(t, spent)
		require.LessOrEqual(t, spent, 11, "half of 20 tokens and of the one that the query earned")
	})
}

// TestHedgeAfterRetry checks that a retry is hedged too: one replica refuses, one never answers, and the third answers the hedge.
func TestHedgeAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(coverageSite)
		p := warmUp(t, h)
		h.publish(2, layout.Layout{Snapshot: "n1", Shards: []shard.Shard{{Name: "s-0", Replicas: []string{"s-0a", "s-1a", "s-2a"}}}})
		for range 20 { // independently of the replica that is picked first
			h.upstreams["s-0a"].update(withFault(refusing))
			h.upstreams["s-1a"].update(withFault(unresponsive))
			start := time.Now()
			require.Equal(t, 1, runQuery(t.Context(), t, p, h).Coverage.Answered)
			require.Less(t, time.Since(start), 100*ms)
		}
	})
}

// TestNoReplicaAtStart checks that a shard gets its first attempt soon after a replica becomes available.
func TestNoReplicaAtStart(t *testing.T) {
	for _, state := range []balancer.State{balancer.StateShedding, balancer.StateUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(coverageSite)
			h.updateAll("", func(u *upstream) { u.state = state })
			time.AfterFunc(300*ms, func() { h.updateAll("b", func(u *upstream) { u.state = balancer.StateAvailable }) })
			start := time.Now()
			a := runQuery(t.Context(), t, h.runners()[0], h)
			require.Equal(t, 20, a.Coverage.Answered)
			require.Less(t, time.Since(start), 400*ms)
			sent, _ := h.attempts()
			require.Equal(t, 20, sent)
		})
	}
}

// TestColdSuspectGetsWork checks that an upstream that failed and came back cold receives attempts again.
func TestColdSuspectGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(coverageSite)
		p := warmUp(t, h)
		u := h.upstreams["s-0a"]
		h.updateAll("b", func(u *upstream) { u.state = balancer.StateUnavailable })
		u.update(withFault(refusing))
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		runQuery(ctx, t, p, h)
		h.updateAll("b", func(u *upstream) { u.state = balancer.StateAvailable })
		u.update(func(u *upstream) {
			u.fault, u.state, u.snapshots = healthy, balancer.StateCold, map[string]bool{"n1": true}
		})
		extra := h.counter("crocuswing_probes_total")
		before, after := 0, 0
		u.update(func(u *upstream) { before = u.received })
		for range 200 {
			time.Sleep(100 * ms)
			runQuery(t.Context(), t, p, h)
		}
		u.update(func(u *upstream) { after = u.received })
		require.Greater(t, after-before, 20)
		require.Equal(t, extra, h.counter("crocuswing_probes_total"), "a cold upstream gets no extra work")
	})
}

func TestUnknownService(t *testing.T) {
	h := newHarness(coverageSite)
	_, err := h.runners()[0].Run(t.Context(), h.view(), runner.Query{Service: "none"})
	var unknown *plan.UnknownServiceError
	require.True(t, errors.As(err, &unknown))
}

// TestRecovery checks that a faulty replica receives few attempts, and its full share again after it recovers.
func TestRecovery(t *testing.T) {
	for name, f := range map[string]fault{"unresponsive": unresponsive, "refusing": refusing, "crossed": crossed, "truncated": truncated} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(coverageSite)
				p := warmUp(t, h)
				u := h.upstreams["s-0a"] // in the failure domain of the first instance, unlike its other replica
				received := func(queries int) int {
					before, after := 0, 0
					u.update(func(u *upstream) { before = u.received })
					for range queries {
						runQuery(t.Context(), t, p, h)
						time.Sleep(100 * ms)
					}
					u.update(func(u *upstream) { after = u.received })
					return after - before
				}
				require.Greater(t, received(50), 45)
				u.update(withFault(f))
				require.Less(t, received(100), 10, "while it has the fault")
				u.update(withFault(healthy))
				received(160) // the longest interval between probes is 16 s
				require.Greater(t, received(50), 45, "after it has recovered")
			})
		})
	}
}

// TestAbsentSnapshotIsSkipped checks that queries after a restart start on the snapshot that the upstreams serve.
func TestAbsentSnapshotIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(coverageSite)
		h.publish(1, layoutOf("n2", 20), layoutOf("n1", 20))
		p := h.runners()[0]
		require.Equal(t, "n1", runQuery(t.Context(), t, p, h).Snapshot)
		before, _ := h.attempts()
		require.Equal(t, "n1", runQuery(t.Context(), t, p, h).Snapshot)
		after, _ := h.attempts()
		require.Equal(t, 20, after-before)
		h.updateAll("", serving("n1", "n2"))
		time.Sleep(time.Second)
		require.Equal(t, "n2", runQuery(t.Context(), t, p, h).Snapshot, "the newest one is read again")
	})
}

// TestAnswerPolicy checks how long each answer policy waits for a shard without any working replica.
func TestAnswerPolicy(t *testing.T) {
	for _, c := range []struct {
		deployment
		minWait, maxWait time.Duration
	}{
		{coverageSite, 900 * ms, 1000 * ms},
		{tailSite, 30 * ms, 100 * ms}, // at most half of the preset's tail wait
	} {
		t.Run(c.preset.AnswerPolicy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(c.deployment)
				p := warmUp(t, h)
				h.updateAll("s-3a", withFault(unresponsive))
				h.updateAll("s-3b", withFault(unresponsive))
				start := time.Now()
				a := runQuery(t.Context(), t, p, h)
				require.Equal(t, []string{"s-3"}, a.Coverage.Missing)
				require.Greater(t, time.Since(start), c.minWait)
				require.Less(t, time.Since(start), c.maxWait)
			})
		})
	}
}
