package runner_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/coverage"
	"crocuswing/internal/query/runner"

	"github.com/stretchr/testify/require"
)

const (
	warmupQueries   = 100 // before the fault starts
	measuredQueries = 500
	queryInterval   = 10 * ms
)

// outcome summarizes the measured queries of one policy under one fault.
type outcome struct {
	latencies        []time.Duration // of the answered queries
	meanCoverage     float64
	minCoverage      float64
	extraLoad        float64 // extra attempts per first attempt
	mixedSnapshots   int
	falseCoverage    int
	failed           int
	unexpectedErrors int // failed for another reason than the caller's disconnect
	leakedAttempts   int // attempts still in flight 1 s after the last query
}

func (o outcome) quantile(q float64) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	return o.latencies[min(int(q*float64(len(o.latencies))), len(o.latencies)-1)]
}

// scenario is a fault and the results that the runner must still reach.
type scenario struct {
	name               string
	inject             func(h *harness)
	deadline           time.Duration // of the caller; 0 if only the preset's applies
	cancelAfter        time.Duration // of the caller; 0 if never
	minCoverage        float64       // of every answer
	coveragePolicyOnly bool          // only the coverage policy waits long enough for minCoverage
	maxExtraLoad       float64       // 0 for no bound
	maxP99Ratio        float64       // of the fault-free p99; 0 for no bound
}

func onOneReplica(change func(*upstream)) func(*harness) {
	return func(h *harness) { h.upstreams["s-3a"].update(change) }
}

func withFault(f fault) func(*upstream) { return func(u *upstream) { u.fault = f } }

func serving(snapshots ...string) func(*upstream) {
	return func(u *upstream) {
		u.snapshots = make(map[string]bool)
		for _, s := range snapshots {
			u.snapshots[s] = true
		}
	}
}

// onOneReplicaPerShard injects the fault into one replica of every shard, alternating between the first and the second.
func onOneReplicaPerShard(f fault) func(*harness) {
	return func(h *harness) {
		for i, s := range shardsOf(h.shards) {
			h.upstreams[s.Replicas[i%2]].update(withFault(f))
		}
	}
}

var scenarios = []scenario{
	{name: "no fault", inject: func(*harness) {}, minCoverage: 1, maxExtraLoad: 0.05},
	{name: "one replica 100 times slower", inject: onOneReplica(func(u *upstream) { u.slowdown = 100 }), minCoverage: 1, maxExtraLoad: 0.1, maxP99Ratio: 1.5},
	{name: "all replicas of a shard 10 times slower", inject: func(h *harness) {
		h.updateAll("s-3a", func(u *upstream) { u.slowdown = 10 })
		h.updateAll("s-3b", func(u *upstream) { u.slowdown = 10 })
	}, minCoverage: 0.95},
	{name: "one replica lost", inject: onOneReplica(withFault(refusing)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "one replica unresponsive", inject: onOneReplica(withFault(unresponsive)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "one replica of each shard lost", inject: onOneReplicaPerShard(refusing), minCoverage: 1},
	{name: "one replica of each shard unresponsive", inject: onOneReplicaPerShard(unresponsive), minCoverage: 1},
	{name: "answers late", inject: onOneReplica(withFault(delayed)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "answers crossed", inject: onOneReplica(withFault(crossed)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "answers truncated", inject: onOneReplica(withFault(truncated)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "answers duplicated", inject: onOneReplica(withFault(duplicated)), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "snapshot gone, another in the revision", inject: func(h *harness) {
		h.publish(2, layoutOf("n1", h.shards), layoutOf("n2", h.shards+4))
		h.updateAll("", serving("n2"))
	}, minCoverage: 1},
	{name: "snapshot gone, another in the next revision", inject: func(h *harness) {
		h.updateAll("", serving("n2"))
		time.AfterFunc(25*ms, func() { h.publish(2, layoutOf("n2", h.shards+4)) })
	}, minCoverage: 1},
	{name: "repartition in flight", inject: func(h *harness) {
		h.updateAll("", serving("n1", "n2"))
		time.AfterFunc(25*ms, func() { h.publish(2, layoutOf("n2", h.shards+4), layoutOf("n1", h.shards)) })
		time.AfterFunc(100*ms, func() { h.updateAll("", serving("n2")) })
	}, minCoverage: 1},
	{name: "slow replica reports idle", inject: onOneReplica(func(u *upstream) { u.slowdown, u.load = 10, 0 }), minCoverage: 1, maxExtraLoad: 0.1},
	{name: "replica reports busy", inject: onOneReplica(func(u *upstream) { u.load = 1 }), minCoverage: 1, maxExtraLoad: 0.05, maxP99Ratio: 1.5},
	{name: "connections stall", inject: func(h *harness) { h.updateAll("", withFault(occasionallyUnresponsive)) }, minCoverage: 1, coveragePolicyOnly: true, maxExtraLoad: 0.15},
	{name: "all replicas of a shard shed for 40 ms", inject: func(h *harness) {
		for _, name := range []string{"s-3a", "s-3b"} {
			u := h.upstreams[name]
			u.update(func(u *upstream) { u.fault, u.state = shedding, balancer.StateShedding })
			time.AfterFunc(40*ms, func() { u.update(func(u *upstream) { u.fault, u.state = healthy, balancer.StateAvailable }) })
		}
	}, minCoverage: 1},
	{name: "deadline nearly spent", inject: func(*harness) {}, deadline: 6 * ms},
	{name: "caller disconnects", inject: func(*harness) {}, cancelAfter: ms},
}

// TestFaults runs the runner and the naive policy against the same upstreams under each fault.
func TestFaults(t *testing.T) {
	for _, d := range []deployment{coverageSite, tailSite} {
		product, baseline := make([]outcome, len(scenarios)), make([]outcome, len(scenarios))
		t.Run(d.name, func(t *testing.T) {
			for i, s := range scenarios {
				t.Run("product/"+s.name, func(t *testing.T) {
					t.Parallel()
					product[i] = runScenario(t, d, s, (*harness).runners, warmupQueries, measuredQueries)
				})
				t.Run("naive/"+s.name, func(t *testing.T) {
					t.Parallel()
					baseline[i] = runScenario(t, d, s, (*harness).naivePolicies, warmupQueries/2, measuredQueries/2)
				})
			}
		})
		t.Logf("| %s | p50 | p99 | mean coverage | lowest | extra load | naive p50 | naive p99 | naive coverage | naive lowest |", d.name)
		t.Log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for i, s := range scenarios {
			t.Logf("| %s | %s | %.1f%% | %s |", s.name, product[i], 100*product[i].extraLoad, baseline[i])
			t.Run(d.name+"/"+s.name, func(t *testing.T) {
				s.check(t, d, product[i], product[0])
				require.GreaterOrEqual(t, product[i].meanCoverage, baseline[i].meanCoverage, "coverage compared with the naive policy")
			})
		}
	}
}

func (o outcome) String() string {
	return fmt.Sprintf("%s | %s | %.4f | %.2f", formatMS(o.quantile(0.5)), formatMS(o.quantile(0.99)), o.meanCoverage, o.minCoverage)
}

func formatMS(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/float64(ms)) }

func (s scenario) check(t *testing.T, d deployment, o, faultFree outcome) {
	require.Zero(t, o.mixedSnapshots, "mixed snapshots")
	require.Zero(t, o.falseCoverage, "false coverage")
	require.Zero(t, o.leakedAttempts, "attempts left in flight")
	require.Zero(t, o.unexpectedErrors, "errors")
	if s.cancelAfter > 0 {
		require.Empty(t, o.latencies, "answers to a disconnected caller")
		require.Positive(t, o.failed)
		return
	}
	require.Zero(t, o.failed)
	if !s.coveragePolicyOnly || !d.preset.IsTail() {
		require.GreaterOrEqual(t, o.minCoverage, s.minCoverage, "coverage")
	}
	if d.preset.IsTail() {
		require.LessOrEqual(t, o.quantile(1), d.preset.TailWait(), "longest wait of the tail policy")
	}
	if s.maxExtraLoad > 0 {
		require.LessOrEqual(t, o.extraLoad, s.maxExtraLoad, "extra load")
	}
	if s.maxP99Ratio > 0 {
		require.LessOrEqual(t, o.quantile(0.99), time.Duration(s.maxP99Ratio*float64(faultFree.quantile(0.99))), "p99")
	}
	if s.deadline > 0 {
		require.Less(t, o.quantile(1), s.deadline, "the answer is back before the deadline")
	}
}

// runScenario sends queries at a steady rate to the instances in turn and injects the fault after the warm-up queries.
func runScenario(t *testing.T, d deployment, s scenario, policies func(*harness) []policy, warmup, measured int) outcome {
	var o outcome
	synctest.Test(t, func(*testing.T) {
		h := newHarness(d)
		all := policies(h)
		var wg sync.WaitGroup
		sent := 0
		shards := 0
		var mu sync.Mutex
		for n := range warmup + measured {
			if n == warmup {
				s.inject(h)
				sent, _ = h.attempts()
			}
			v := h.view()
			wg.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if n >= warmup && s.deadline > 0 {
					ctx, cancel = context.WithTimeout(ctx, s.deadline)
					defer cancel()
				}
				if n >= warmup && s.cancelAfter > 0 {
					time.AfterFunc(s.cancelAfter, cancel)
				}
				start := time.Now()
				q := runner.Query{RequestID: fmt.Sprintf("r-%d", n), Service: serviceName, Query: fmt.Sprintf("q-%d", n)}
				a, err := all[n%len(all)].Run(ctx, v, q)
				mu.Lock()
				defer mu.Unlock()
				if n >= warmup {
					shards += max(a.Coverage.Total, h.shards)
					o.add(h, a, err, q, time.Since(start))
				}
			})
			time.Sleep(queryInterval)
		}
		wg.Wait()
		time.Sleep(time.Second) // until late answers have arrived
		total, inFlight := h.attempts()
		o.leakedAttempts = inFlight
		o.extraLoad = float64(total-sent-shards) / float64(shards)
		o.meanCoverage /= float64(max(len(o.latencies), 1))
		slices.Sort(o.latencies)
	})
	return o
}

// add checks one answer against its rows, which identify the shard, snapshot and query they were produced for.
func (o *outcome) add(h *harness, a answer.Answer, err error, q runner.Query, took time.Duration) {
	if err != nil {
		o.failed++
		if !errors.Is(err, context.Canceled) {
			o.unexpectedErrors++
		}
		return
	}
	shards, snapshots := make(map[string]int), make(map[string]bool)
	for _, row := range a.Rows {
		fields := strings.Split(row, "|")
		shards[fields[0]]++
		snapshots[fields[1]] = true
		if fields[2] != q.Query {
			o.falseCoverage++
		}
	}
	if len(snapshots) > 1 || (len(snapshots) == 1 && !snapshots[a.Snapshot]) {
		o.mixedSnapshots++
	}
	total := map[string]int{"n1": h.shards, "n2": h.shards + 4}[a.Snapshot]
	if a.RequestID != q.RequestID || !isCoverageTrue(a.Coverage, total, shards) {
		o.falseCoverage++
	}
	share := a.Coverage.Share()
	if len(o.latencies) == 0 {
		o.minCoverage = share
	}
	o.latencies = append(o.latencies, took)
	o.meanCoverage += share
	o.minCoverage = min(o.minCoverage, share)
}

// isCoverageTrue reports whether the coverage agrees with the number of rows of each shard.
func isCoverageTrue(c coverage.Coverage, total int, shards map[string]int) bool {
	for _, n := range shards {
		if n != rowsPerPart {
			return false
		}
	}
	for _, name := range c.Missing {
		if shards[name] > 0 {
			return false
		}
	}
	return c.Total == total && c.Answered == len(shards) && len(c.Missing) == total-len(shards)
}
