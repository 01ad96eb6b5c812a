package runner_test

import (
	"context"
	"fmt"
	"runtime"
	"runtime/pprof"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/runner"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

// large returns a deployment of the size that the design targets: 1,100 shards, with 99 % of the answers within 240 ms.
func large() deployment {
	d := coverageSite
	d.name, d.shards = "1,100 shards", 1100
	d.preset.DeadlineMS = 240
	return d
}

func TestLargeFanOut(t *testing.T) {
	for _, s := range []scenario{
		{name: "no fault", inject: func(*harness) {}, minCoverage: 1, maxExtraLoad: 0.05},
		{name: "one replica in a hundred 100 times slower", inject: func(h *harness) {
			for i, sh := range shardsOf(h.shards) {
				if i%50 == 0 {
					h.upstreams[sh.Replicas[i/50%2]].update(func(u *upstream) { u.slowdown = 100 })
				}
			}
		}, minCoverage: 1, maxExtraLoad: 0.1},
		{name: "one replica of each shard lost", inject: onOneReplicaPerShard(refusing), minCoverage: 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			const queries, warmup = 100, 10
			o := runScenario(t, large(), s, (*harness).runners, warmup, queries)
			t.Logf("| %s | %s | %.1f%% |", s.name, o, 100*o.extraLoad)
			s.check(t, large(), o, o)
			require.Less(t, o.quantile(0.99), 240*ms)
		})
	}
}

// TestNoGoroutineLeak checks that queries that ended early leave no goroutines and no attempts in flight.
func TestNoGoroutineLeak(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(large())
		h.updateAll("a", withFault(unresponsive))
		all := h.runners()
		for n := range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 30*ms)
			_, err := all[0].Run(ctx, h.view(), runner.Query{RequestID: fmt.Sprint(n), Service: serviceName, Query: "q"})
			require.NoError(t, err)
			cancel()
		}
		synctest.Wait()
		_, inFlight := h.attempts()
		require.Zero(t, inFlight)
		var stacks strings.Builder
		require.NoError(t, pprof.Lookup("goroutine").WriteTo(&stacks, 2))
		require.NotContains(t, stacks.String(), "runner.(*execution)")
	})
}

// instantSender answers immediately, so that a benchmark measures only the runner.
type instantSender struct{}

func (instantSender) Candidates(buf []balancer.Candidate, s shard.Shard) []balancer.Candidate {
	for _, name := range s.Replicas {
		buf = append(buf, balancer.Candidate{Upstream: name, Load: -1})
	}
	return buf
}

func (instantSender) Part(_ context.Context, _ string, q part.Request) (part.Reply, error) {
	return part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot}, nil
}

func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{20, 200, 1100} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			d := large()
			d.shards = shards
			v := newHarness(d).view()
			r := runner.New(instantSender{})
			q := runner.Query{RequestID: "bench", Service: serviceName, Query: "q"}
			b.ReportAllocs()
			start := time.Now()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				if a, err := r.Run(context.Background(), v, q); err != nil || a.Coverage.Answered != shards {
					b.Fatal(a.Coverage, err)
				}
			}
			runtime.ReadMemStats(&after)
			perShard := float64(b.N * shards)
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/perShard, "ns/shard")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/perShard, "allocs/shard")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/perShard, "B/shard")
		})
	}
}
