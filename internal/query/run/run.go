// Package run executes one query: it fans out, hedges, retries and gathers within the deadline.
package run

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/policy/budget"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/gather"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/stats/window"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/part"
)

const (
	budgetTokens     = 20
	defaultHedgeWait = 50 * time.Millisecond
	minHedgeWait     = time.Millisecond
)

// Sender chooses upstreams and sends attempts to them.
type Sender interface {
	// Choose picks a replica that may get new work, besides those in tried.
	Choose(s shard.Shard, tried []string) (string, bool)
	// MayHedge tells whether an extra attempt may go to the upstream.
	MayHedge(upstream string) bool
	// Part sends one attempt. It fails with *failure.Failure.
	Part(ctx context.Context, upstream string, q part.Request) (part.Reply, error)
}

// Runner executes queries. It is safe for concurrent use.
type Runner struct {
	sender  Sender
	hedges  *budget.Budget
	retries *budget.Budget
	times   window.Window
	first   atomic.Int64
	extra   atomic.Int64
}

// Query is one search, or a lookup if Key is set.
type Query struct {
	RequestID string
	Service   string
	Query     string
	Key       string
}

// New makes a runner.
func New(s Sender) *Runner {
	return &Runner{sender: s, hedges: budget.New(budgetTokens), retries: budget.New(budgetTokens)}
}

// Attempts gives the number of first and of extra attempts so far.
func (r *Runner) Attempts() (first, extra int64) { return r.first.Load(), r.extra.Load() }

// Run answers q under the configuration of v until ctx ends or the preset's deadline passes.
// A missing shard is no error; it fails with *plan.ServiceError or because ctx was canceled.
func (r *Runner) Run(ctx context.Context, v view.View, q Query) (answer.Answer, error) {
	p, err := plan.New(v.Config(), q.Service, q.Key)
	if err != nil {
		return answer.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.Preset.Deadline())
	defer cancel()
	for round := 0; ; round++ {
		x := newExecution(r, p, q, round)
		gone := x.run(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return answer.Answer{}, ctx.Err()
		}
		next, ok := plan.Without(v.Config(), q.Service, q.Key, p.Snapshot)
		if !gone || !ok || round > 0 {
			return x.answer(), nil
		}
		p = next
	}
}

// execution is one fan-out over one snapshot.
type execution struct {
	*Runner
	plan    plan.Plan
	query   Query
	round   int
	gather  *gather.Gather
	results chan result
	tried   [][]string
	open    []int // attempts in flight, by shard
	pending int   // attempts in flight
	gone    bool
}

type result struct {
	shard    int
	upstream string
	reply    part.Reply
	took     time.Duration
	err      error
}

func newExecution(r *Runner, p plan.Plan, q Query, round int) *execution {
	return &execution{
		Runner:  r,
		plan:    p,
		query:   q,
		round:   round,
		gather:  gather.New(p.Snapshot, p.Shards),
		results: make(chan result, len(p.Shards)),
		tried:   make([][]string, len(p.Shards)),
		open:    make([]int, len(p.Shards)),
	}
}

// run reports whether the snapshot is gone. It returns when all attempts have ended.
func (x *execution) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer x.drain()
	defer cancel()
	x.start(ctx)
	hedge := time.NewTimer(x.hedgeWait())
	defer hedge.Stop()
	tail := x.tailTimer()
	for !x.gather.IsWhole() && x.pending > 0 && !x.gone {
		select {
		case res := <-x.results:
			x.take(ctx, res)
		case <-hedge.C:
			x.hedge(ctx)
		case <-tail:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return x.gone
}

func (x *execution) start(ctx context.Context) {
	x.hedges.Earn(len(x.plan.Shards), x.plan.Preset.HedgeShare)
	x.retries.Earn(len(x.plan.Shards), x.plan.Preset.RetryShare)
	for i := range x.plan.Shards {
		if upstream, ok := x.sender.Choose(x.plan.Shards[i], nil); ok {
			x.first.Add(1)
			x.send(ctx, i, upstream)
		}
	}
}

func (x *execution) send(ctx context.Context, i int, upstream string) {
	q := part.Request{
		RequestID: fmt.Sprintf("%s/%d/%d/%d", x.query.RequestID, x.round, i, len(x.tried[i])),
		Service:   x.plan.Service,
		Shard:     x.plan.Shards[i].Name,
		Snapshot:  x.plan.Snapshot,
		Query:     x.query.Query,
		Key:       x.query.Key,
	}
	x.tried[i] = append(x.tried[i], upstream)
	x.open[i]++
	x.pending++
	go func() {
		start := time.Now()
		reply, err := x.sender.Part(ctx, upstream, q)
		x.results <- result{shard: i, upstream: upstream, reply: reply, took: time.Since(start), err: err}
	}()
}

func (x *execution) take(ctx context.Context, res result) {
	x.pending--
	x.open[res.shard]--
	if res.err == nil {
		x.gather.Add(res.reply)
		x.times.Add(res.took)
		return
	}
	var f *failure.Failure
	if errors.As(res.err, &f) && f.Kind == failure.KindSnapshotGone {
		x.gone = true
		return
	}
	x.retry(ctx, res.shard)
}

func (x *execution) retry(ctx context.Context, i int) {
	if x.gather.Has(i) || x.open[i] > 0 {
		return
	}
	upstream, ok := x.sender.Choose(x.plan.Shards[i], x.tried[i])
	if ok && x.retries.Spend() {
		x.extra.Add(1)
		x.send(ctx, i, upstream)
	}
}

// hedge sends a second attempt for each straggling shard as far as the budget goes.
func (x *execution) hedge(ctx context.Context) {
	for i := range x.plan.Shards {
		if x.gather.Has(i) || x.open[i] != 1 {
			continue
		}
		upstream, ok := x.sender.Choose(x.plan.Shards[i], x.tried[i])
		if !ok || !x.sender.MayHedge(upstream) {
			continue
		}
		if !x.hedges.Spend() {
			return
		}
		x.extra.Add(1)
		x.send(ctx, i, upstream)
	}
}

func (x *execution) hedgeWait() time.Duration {
	wait, ok := x.times.Quantile(x.plan.Preset.HedgeQuantile)
	if !ok {
		return defaultHedgeWait
	}
	return max(wait, minHedgeWait)
}

func (x *execution) tailTimer() <-chan time.Time {
	if wait := x.plan.Preset.TailWait(); wait > 0 {
		return time.After(wait)
	}
	return nil
}

// drain lets the canceled attempts end without blocking them.
func (x *execution) drain() {
	pending := x.pending
	go func() {
		for range pending {
			<-x.results
		}
	}()
}

func (x *execution) answer() answer.Answer {
	return answer.Answer{
		RequestID: x.query.RequestID,
		Revision:  x.plan.Revision,
		Snapshot:  x.plan.Snapshot,
		Coverage:  x.gather.Coverage(),
		Rows:      x.gather.Rows(),
	}
}
