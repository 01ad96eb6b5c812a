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

// ask runs one query through the first instance.
func ask(ctx context.Context, t *testing.T, p policy, r *rig) answer.Answer {
	t.Helper()
	a, err := p.Run(ctx, r.view(), runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
	require.NoError(t, err)
	return a
}

// warm runs queries until the times of the service are known.
func warm(t *testing.T, r *rig) policy {
	t.Helper()
	p := r.runners()[0]
	for range 20 {
		ask(t.Context(), t, p, r)
	}
	return p
}

func TestRestart(t *testing.T) {
	n1, n2, n3 := layoutOf("n1", 20), layoutOf("n2", 24), layoutOf("n3", 20)
	for _, c := range []struct {
		name     string
		first    []layout.Layout // of revision 1, with which the query starts
		second   []layout.Layout // of revision 2, in force when it has begun
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
				r := newRig(mienDem)
				r.publish(1, c.first...)
				v := r.view()
				r.publish(2, c.second...)
				r.each("", serving(c.served...))
				start := time.Now()
				a, err := r.runners()[0].Run(t.Context(), v, runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
				require.NoError(t, err)
				require.Equal(t, c.revision, a.Revision)
				require.Equal(t, c.snapshot, a.Snapshot)
				require.Equal(t, c.answered, a.Coverage.Answered)
				require.Len(t, a.Coverage.Missing, a.Coverage.Total-c.answered)
				require.Less(t, time.Since(start), mienDem.preset.Deadline())
			})
		})
	}
}

// TestOneReplicaBehind checks that a snapshot is not left because one replica does not serve it.
func TestOneReplicaBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(mienDem)
		r.publish(1, layoutOf("n2", 20), layoutOf("n1", 20))
		r.each("", serving("n1", "n2"))
		r.each("a", serving("n1"))
		a := ask(t.Context(), t, r.runners()[0], r)
		require.Equal(t, "n2", a.Snapshot)
		require.Equal(t, 20, a.Coverage.Answered)
	})
}

func TestWithdrawal(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(t *testing.T, r *rig, p policy)
	}{
		{"a hedge wins", func(t *testing.T, r *rig, p policy) {
			require.Equal(t, 20, ask(t.Context(), t, p, r).Coverage.Answered)
			require.Positive(t, r.counted("crocuswing_hedges_total"))
		}},
		{"a hedge wins while another shard is slow", func(t *testing.T, r *rig, p policy) {
			r.each("s-5a", func(u *upstream) { u.fault, u.slowdown = healthy, 100 })
			r.each("s-5b", func(u *upstream) { u.slowdown = 100 })
			time.AfterFunc(100*ms, func() {
				_, inFlight := r.attempts()
				require.Positive(t, inFlight, "the slow shard's")
				require.LessOrEqual(t, inFlight, 3, "only the slow shard's")
			})
			require.Equal(t, 20, ask(t.Context(), t, p, r).Coverage.Answered)
		}},
		{"the deadline passes", func(t *testing.T, r *rig, p policy) {
			r.each("", with(mute))
			ctx, cancel := context.WithTimeout(t.Context(), 100*ms)
			defer cancel()
			end := time.Now().Add(100 * ms)
			require.Zero(t, ask(ctx, t, p, r).Coverage.Answered)
			require.True(t, time.Now().Before(end), "the answer is back before the deadline")
			require.False(t, r.latest.After(end), "attempts carry the deadline")
		}},
		{"the caller hangs up", func(t *testing.T, r *rig, p policy) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(5*ms, cancel)
			_, err := p.Run(ctx, r.view(), runner.Query{RequestID: "r", Service: serviceName, Query: "q"})
			require.ErrorIs(t, err, context.Canceled)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(mienDem)
				p := warm(t, r)
				r.each("a", with(mute))
				r.latest = time.Time{}
				c.end(t, r, p)
				synctest.Wait()
				_, inFlight := r.attempts()
				require.Zero(t, inFlight, "attempts left in flight")
			})
		})
	}
}

func TestDroppedPartsAreCounted(t *testing.T) {
	for name, f := range map[string]fault{"crossed": crossed, "incomplete": truncated, "late": late} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(mienDem)
				p := warm(t, r)
				r.each("a", with(f))
				require.Equal(t, 20, ask(t.Context(), t, p, r).Coverage.Answered)
				time.Sleep(time.Second)
				require.Positive(t, r.counted(fmt.Sprintf("crocuswing_parts_dropped_total{reason=%q}", name)))
			})
		})
	}
}

// TestSlowMoment checks that queries in a moment when nothing answers leave tokens to a later one.
func TestSlowMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(mienDem)
		p := warm(t, r)
		before := r.counted("crocuswing_hedges_total")
		r.each("", with(mute))
		ctx, cancel := context.WithTimeout(t.Context(), 60*ms)
		defer cancel()
		ask(ctx, t, p, r)
		spent := r.counted("crocuswing_hedges_total") - before
		require.Positive(t, spent)
		require.LessOrEqual(t, spent, 11, "half of 20 tokens and of the one that the query earned")
	})
}

// TestStragglerAfterRetry has three replicas: one refuses, one never answers, the third is hedged to.
func TestStragglerAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(mienDem)
		p := warm(t, r)
		r.publish(2, layout.Layout{Snapshot: "n1", Shards: []shard.Shard{{Name: "s-0", Replicas: []string{"s-0a", "s-1a", "s-2a"}}}})
		for range 20 { // whichever is chosen first
			r.upstreams["s-0a"].set(with(refusing))
			r.upstreams["s-1a"].set(with(mute))
			start := time.Now()
			require.Equal(t, 1, ask(t.Context(), t, p, r).Coverage.Answered)
			require.Less(t, time.Since(start), 100*ms)
		}
	})
}

// TestNoReplicaAtTheStart checks that a shard is tried as soon as a replica may get work.
func TestNoReplicaAtTheStart(t *testing.T) {
	for _, state := range []balancer.State{balancer.StateShedding, balancer.StateUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(mienDem)
			r.each("", func(u *upstream) { u.closed = state })
			time.AfterFunc(300*ms, func() { r.each("b", func(u *upstream) { u.closed = balancer.StateAvailable }) })
			start := time.Now()
			a := ask(t.Context(), t, r.runners()[0], r)
			require.Equal(t, 20, a.Coverage.Answered)
			require.Less(t, time.Since(start), 400*ms)
			sent, _ := r.attempts()
			require.Equal(t, 20, sent)
		})
	}
}

// TestColdSuspectWarms checks that an upstream that failed and came back cold gets work again.
func TestColdSuspectWarms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(mienDem)
		p := warm(t, r)
		u := r.upstreams["s-0a"]
		r.each("b", func(u *upstream) { u.closed = balancer.StateUnavailable })
		u.set(with(refusing))
		ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
		defer cancel()
		ask(ctx, t, p, r)
		r.each("b", func(u *upstream) { u.closed = balancer.StateAvailable })
		u.set(func(u *upstream) {
			u.fault, u.closed, u.snapshots = healthy, balancer.StateCold, map[string]bool{"n1": true}
		})
		extra := r.counted("crocuswing_probes_total")
		before, after := 0, 0
		u.set(func(u *upstream) { before = u.drawn })
		for range 200 {
			time.Sleep(100 * ms)
			ask(t.Context(), t, p, r)
		}
		u.set(func(u *upstream) { after = u.drawn })
		require.Greater(t, after-before, 20)
		require.Equal(t, extra, r.counted("crocuswing_probes_total"), "a cold upstream gets no extra work")
	})
}

func TestUnknownService(t *testing.T) {
	r := newRig(mienDem)
	_, err := r.runners()[0].Run(t.Context(), r.view(), runner.Query{Service: "none"})
	var unknown *plan.UnknownServiceError
	require.True(t, errors.As(err, &unknown))
}

// TestRecovery checks that a replica with a fault is spared and gets its share of the attempts again later.
func TestRecovery(t *testing.T) {
	for name, f := range map[string]fault{"mute": mute, "refusing": refusing, "crossed": crossed, "truncated": truncated} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(mienDem)
				p := warm(t, r)
				u := r.upstreams["s-0a"] // in the failure domain of the first instance, unlike its other replica
				drawn := func(queries int) int {
					before, after := 0, 0
					u.set(func(u *upstream) { before = u.drawn })
					for range queries {
						ask(t.Context(), t, p, r)
						time.Sleep(100 * ms)
					}
					u.set(func(u *upstream) { after = u.drawn })
					return after - before
				}
				require.Greater(t, drawn(50), 45)
				u.set(with(f))
				require.Less(t, drawn(100), 10, "while it has the fault")
				u.set(with(healthy))
				drawn(160) // the longest wait for a probe is 16 s
				require.Greater(t, drawn(50), 45, "after it has recovered")
			})
		})
	}
}

// TestAbsentSnapshotIsSkipped checks that queries after a restart begin on the snapshot that is there.
func TestAbsentSnapshotIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(mienDem)
		r.publish(1, layoutOf("n2", 20), layoutOf("n1", 20))
		p := r.runners()[0]
		require.Equal(t, "n1", ask(t.Context(), t, p, r).Snapshot)
		before, _ := r.attempts()
		require.Equal(t, "n1", ask(t.Context(), t, p, r).Snapshot)
		after, _ := r.attempts()
		require.Equal(t, 20, after-before)
		r.each("", serving("n1", "n2"))
		time.Sleep(time.Second)
		require.Equal(t, "n2", ask(t.Context(), t, p, r).Snapshot, "the newest is tried again")
	})
}

// TestAnswerPolicy has a shard that nobody answers for.
func TestAnswerPolicy(t *testing.T) {
	for _, c := range []struct {
		deployment
		least, most time.Duration
	}{
		{mienDem, 900 * ms, 1000 * ms},
		{tangleFree, 30 * ms, 100 * ms}, // half of the longest wait that the preset permits
	} {
		t.Run(c.preset.AnswerPolicy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(c.deployment)
				p := warm(t, r)
				r.each("s-3a", with(mute))
				r.each("s-3b", with(mute))
				start := time.Now()
				a := ask(t.Context(), t, p, r)
				require.Equal(t, []string{"s-3"}, a.Coverage.Missing)
				require.Greater(t, time.Since(start), c.least)
				require.Less(t, time.Since(start), c.most)
			})
		})
	}
}
