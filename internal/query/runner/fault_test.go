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
	warmup       = 100 // queries before the fault begins
	measured     = 500
	queriesEvery = 10 * ms
)

// outcome sums up the measured queries of one policy under one fault.
type outcome struct {
	times    []time.Duration // of the queries that were answered
	coverage float64         // mean
	lowest   float64
	extra    float64 // attempts beyond one for each shard, as a share of these
	mixed    int
	untrue   int
	failed   int
	broken   int // failed for another reason than that the caller hung up
	leaked   int // attempts in flight a while after the last query
}

func (o outcome) quantile(q float64) time.Duration {
	if len(o.times) == 0 {
		return 0
	}
	return o.times[min(int(q*float64(len(o.times))), len(o.times)-1)]
}

// scenario is a fault and what the product must still give.
type scenario struct {
	name     string
	begin    func(r *rig)
	deadline time.Duration // of the caller; 0 if only the preset's holds
	hangUp   time.Duration // of the caller; 0 if never
	lowest   float64       // coverage
	waits    bool          // only the coverage policy waits long enough for that coverage
	extra    float64       // most extra load; 0 if not bounded
	tail     float64       // highest p99 as a multiple of the fault-free one; 0 if not bounded
}

func onFirst(change func(*upstream)) func(*rig) {
	return func(r *rig) { r.upstreams["s-3a"].set(change) }
}

func with(f fault) func(*upstream) { return func(u *upstream) { u.fault = f } }

func serving(snapshots ...string) func(*upstream) {
	return func(u *upstream) {
		u.snapshots = make(map[string]bool)
		for _, s := range snapshots {
			u.snapshots[s] = true
		}
	}
}

// eachLoses gives one replica of every shard the fault, by turns the first and the second.
func eachLoses(f fault) func(*rig) {
	return func(r *rig) {
		for i, s := range shardsOf(r.shards) {
			r.upstreams[s.Replicas[i%2]].set(with(f))
		}
	}
}

var scenarios = []scenario{
	{name: "no fault", begin: func(*rig) {}, lowest: 1, extra: 0.05},
	{name: "one replica 100 times slower", begin: onFirst(func(u *upstream) { u.slowdown = 100 }), lowest: 1, extra: 0.1, tail: 1.5},
	{name: "all replicas of a shard 10 times slower", begin: func(r *rig) {
		r.each("s-3a", func(u *upstream) { u.slowdown = 10 })
		r.each("s-3b", func(u *upstream) { u.slowdown = 10 })
	}, lowest: 0.95},
	{name: "one replica lost", begin: onFirst(with(refusing)), lowest: 1, extra: 0.1},
	{name: "one replica mute", begin: onFirst(with(mute)), lowest: 1, extra: 0.1},
	{name: "one replica of each shard lost", begin: eachLoses(refusing), lowest: 1},
	{name: "one replica of each shard mute", begin: eachLoses(mute), lowest: 1},
	{name: "answers late", begin: onFirst(with(late)), lowest: 1, extra: 0.1},
	{name: "answers crossed", begin: onFirst(with(crossed)), lowest: 1, extra: 0.1},
	{name: "answers truncated", begin: onFirst(with(truncated)), lowest: 1, extra: 0.1},
	{name: "answers doubled", begin: onFirst(with(doubled)), lowest: 1, extra: 0.1},
	{name: "snapshot gone, another in the revision", begin: func(r *rig) {
		r.publish(2, layoutOf("n1", r.shards), layoutOf("n2", r.shards+4))
		r.each("", serving("n2"))
	}, lowest: 1},
	{name: "snapshot gone, another in the next revision", begin: func(r *rig) {
		r.each("", serving("n2"))
		time.AfterFunc(25*ms, func() { r.publish(2, layoutOf("n2", r.shards+4)) })
	}, lowest: 1},
	{name: "repartition in flight", begin: func(r *rig) {
		r.each("", serving("n1", "n2"))
		time.AfterFunc(25*ms, func() { r.publish(2, layoutOf("n2", r.shards+4), layoutOf("n1", r.shards)) })
		time.AfterFunc(100*ms, func() { r.each("", serving("n2")) })
	}, lowest: 1},
	{name: "slow replica reports idle", begin: onFirst(func(u *upstream) { u.slowdown, u.load = 10, 0 }), lowest: 1, extra: 0.1},
	{name: "replica reports busy", begin: onFirst(func(u *upstream) { u.load = 1 }), lowest: 1, extra: 0.05, tail: 1.5},
	{name: "links fall silent", begin: func(r *rig) { r.each("", with(muteOnce)) }, lowest: 1, waits: true, extra: 0.15},
	{name: "all replicas of a shard shed for 40 ms", begin: func(r *rig) {
		for _, name := range []string{"s-3a", "s-3b"} {
			u := r.upstreams[name]
			u.set(func(u *upstream) { u.fault, u.closed = shedding, balancer.StateShedding })
			time.AfterFunc(40*ms, func() { u.set(func(u *upstream) { u.fault, u.closed = healthy, balancer.StateAvailable }) })
		}
	}, lowest: 1},
	{name: "deadline nearly spent", begin: func(*rig) {}, deadline: 6 * ms},
	{name: "caller gone", begin: func(*rig) {}, hangUp: ms},
}

// TestFaults runs product and naive policy over the same upstreams.
func TestFaults(t *testing.T) {
	for _, d := range []deployment{mienDem, tangleFree} {
		product, plain := make([]outcome, len(scenarios)), make([]outcome, len(scenarios))
		t.Run(d.name, func(t *testing.T) {
			for i, s := range scenarios {
				t.Run("product/"+s.name, func(t *testing.T) {
					t.Parallel()
					product[i] = drive(t, d, s, (*rig).runners, warmup, measured)
				})
				t.Run("naive/"+s.name, func(t *testing.T) {
					t.Parallel()
					plain[i] = drive(t, d, s, (*rig).naives, warmup/2, measured/2)
				})
			}
		})
		t.Logf("| %s | p50 | p99 | mean coverage | lowest | extra load | naive p50 | naive p99 | naive coverage | naive lowest |", d.name)
		t.Log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for i, s := range scenarios {
			t.Logf("| %s | %s | %.1f%% | %s |", s.name, product[i], 100*product[i].extra, plain[i])
			t.Run(d.name+"/"+s.name, func(t *testing.T) {
				s.check(t, d, product[i], product[0])
				require.GreaterOrEqual(t, product[i].coverage, plain[i].coverage, "coverage beside the naive policy's")
			})
		}
	}
}

func (o outcome) String() string {
	return fmt.Sprintf("%s | %s | %.4f | %.2f", text(o.quantile(0.5)), text(o.quantile(0.99)), o.coverage, o.lowest)
}

func text(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d)/float64(ms)) }

func (s scenario) check(t *testing.T, d deployment, o, faultFree outcome) {
	require.Zero(t, o.mixed, "mixed snapshots")
	require.Zero(t, o.untrue, "untrue coverage")
	require.Zero(t, o.leaked, "attempts left in flight")
	require.Zero(t, o.broken, "errors")
	if s.hangUp > 0 {
		require.Empty(t, o.times, "answers to a caller that is gone")
		require.Positive(t, o.failed)
		return
	}
	require.Zero(t, o.failed)
	if !s.waits || !d.preset.IsTail() {
		require.GreaterOrEqual(t, o.lowest, s.lowest, "coverage")
	}
	if d.preset.IsTail() {
		require.LessOrEqual(t, o.quantile(1), d.preset.TailWait(), "longest wait of the tail policy")
	}
	if s.extra > 0 {
		require.LessOrEqual(t, o.extra, s.extra, "extra load")
	}
	if s.tail > 0 {
		require.LessOrEqual(t, o.quantile(0.99), time.Duration(s.tail*float64(faultFree.quantile(0.99))), "p99")
	}
	if s.deadline > 0 {
		require.Less(t, o.quantile(1), s.deadline, "the answer is back before the deadline")
	}
}

// drive sends queries at a steady rate, by turns through each instance; the fault begins after the warm-up.
func drive(t *testing.T, d deployment, s scenario, policies func(*rig) []policy, warmup, measured int) outcome {
	var o outcome
	synctest.Test(t, func(*testing.T) {
		r := newRig(d)
		all := policies(r)
		var group sync.WaitGroup
		sent := 0
		shards := 0
		var mu sync.Mutex
		for n := range warmup + measured {
			if n == warmup {
				s.begin(r)
				sent, _ = r.attempts()
			}
			v := r.view()
			group.Go(func() {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if n >= warmup && s.deadline > 0 {
					ctx, cancel = context.WithTimeout(ctx, s.deadline)
					defer cancel()
				}
				if n >= warmup && s.hangUp > 0 {
					time.AfterFunc(s.hangUp, cancel)
				}
				start := time.Now()
				q := runner.Query{RequestID: fmt.Sprintf("r-%d", n), Service: serviceName, Query: fmt.Sprintf("q-%d", n)}
				a, err := all[n%len(all)].Run(ctx, v, q)
				mu.Lock()
				defer mu.Unlock()
				if n >= warmup {
					shards += max(a.Coverage.Total, r.shards)
					o.add(r, a, err, q, time.Since(start))
				}
			})
			time.Sleep(queriesEvery)
		}
		group.Wait()
		time.Sleep(time.Second) // late answers end
		total, inFlight := r.attempts()
		o.leaked = inFlight
		o.extra = float64(total-sent-shards) / float64(shards)
		o.coverage /= float64(max(len(o.times), 1))
		slices.Sort(o.times)
	})
	return o
}

// add judges one answer by its rows, which only the upstreams make.
func (o *outcome) add(r *rig, a answer.Answer, err error, q runner.Query, took time.Duration) {
	if err != nil {
		o.failed++
		if !errors.Is(err, context.Canceled) {
			o.broken++
		}
		return
	}
	shards, snapshots := make(map[string]int), make(map[string]bool)
	for _, row := range a.Rows {
		fields := strings.Split(row, "|")
		shards[fields[0]]++
		snapshots[fields[1]] = true
		if fields[2] != q.Query {
			o.untrue++
		}
	}
	if len(snapshots) > 1 || (len(snapshots) == 1 && !snapshots[a.Snapshot]) {
		o.mixed++
	}
	total := map[string]int{"n1": r.shards, "n2": r.shards + 4}[a.Snapshot]
	if a.RequestID != q.RequestID || !isTrue(a.Coverage, total, shards) {
		o.untrue++
	}
	share := a.Coverage.Share()
	if len(o.times) == 0 {
		o.lowest = share
	}
	o.times = append(o.times, took)
	o.coverage += share
	o.lowest = min(o.lowest, share)
}

// isTrue compares a coverage with the number of rows that came from each shard.
func isTrue(c coverage.Coverage, total int, shards map[string]int) bool {
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
