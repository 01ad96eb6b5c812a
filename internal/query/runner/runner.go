// Package runner executes one query: it fans out, hedges, retries and gathers within the deadline.
//
// Hedged requests are due to Dean and Barroso, "The tail at scale", Communications of the ACM 56(2), 2013.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/absence"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/policy/tokenbucket"
	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/stats/window"
	"crocuswing/internal/wire/part"
)

const (
	budgetTokens   = 20 // most tokens of each budget while queries are small
	retryRate      = 10 // tokens a second that the retry budget gets besides its share
	minReplyTime   = 2 * time.Millisecond
	maxReplyTime   = 10 * time.Millisecond
	replyTimeShare = 50 // the way back to the caller gets a fiftieth of the time left
)

// Sender knows the replicas and sends attempts to them.
type Sender interface {
	// Candidates appends what is known of each replica of s to buf.
	Candidates(buf []balancer.Candidate, s shard.Shard) []balancer.Candidate
	// Part sends one attempt. It fails with *failure.Failure.
	Part(ctx context.Context, upstream string, q part.Request) (part.Reply, error)
}

// Meter counts events by the name of their metric.
type Meter interface{ Count(name string) }

// Runner executes queries. It is safe for concurrent use.
type Runner struct {
	sender  Sender
	meter   Meter
	current func() view.View
	intn    func(n int) int
	history *history.History
	absence *absence.Absence
	hedges  *tokenbucket.Bucket
	retries *tokenbucket.Bucket
	first   atomic.Int64
	extra   atomic.Int64
	number  atomic.Uint64

	mu    sync.Mutex
	times map[string]*window.Window // by service
}

// Option changes how a runner is made.
type Option func(*Runner)

// WithMeter counts hedges, retries, probes, restarts and dropped parts.
func WithMeter(m Meter) Option { return func(r *Runner) { r.meter = m } }

// WithCurrentView lets a query whose revision has no snapshot left go on under the current view.
func WithCurrentView(current func() view.View) Option { return func(r *Runner) { r.current = current } }

// WithRandom replaces the source of random numbers; intn gives one below n.
func WithRandom(intn func(n int) int) Option { return func(r *Runner) { r.intn = intn } }

// Query is one search, or a lookup if Key is set.
type Query struct {
	RequestID string
	Service   string
	Query     string
	Key       string
}

type silent struct{}

func (silent) Count(string) {}

// New makes a runner.
func New(s Sender, options ...Option) *Runner {
	r := &Runner{
		sender:  s,
		meter:   silent{},
		intn:    rand.IntN,
		history: history.New(),
		absence: absence.New(),
		hedges:  tokenbucket.New(budgetTokens),
		retries: tokenbucket.New(budgetTokens, tokenbucket.WithInitialTokens(budgetTokens), tokenbucket.WithRate(retryRate)),
		times:   make(map[string]*window.Window),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Attempts gives the number of first and of extra attempts so far.
func (r *Runner) Attempts() (first, extra int64) { return r.first.Load(), r.extra.Load() }

// Run answers q under the configuration of v until shortly before ctx ends or the preset's deadline passes.
// A missing shard is no error; it fails with *plan.UnknownServiceError or because ctx was canceled.
//
// If the snapshot is gone from the upstreams, the query starts again on another one of the same revision,
// else on one of the current revision. The answer is the best of all rounds.
func (r *Runner) Run(ctx context.Context, v view.View, q Query) (answer.Answer, error) {
	start := time.Now()
	p, err := r.plan(v, q, start)
	if err != nil {
		return answer.Answer{}, err
	}
	ctx, cancel := withReplyTime(ctx, start, p.Preset.Deadline())
	defer cancel()
	var best answer.Answer
	var gone []string
	for {
		gone = append(gone, p.Snapshot)
		x := newExecution(r, p, q)
		x.begun = start
		x.restart = func() (plan.Plan, bool) { return r.without(v, q, gone) }
		ended := x.run(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return answer.Answer{}, context.Canceled
		}
		if a := x.answer(); best.Snapshot == "" || a.Coverage.Share() > best.Coverage.Share() {
			best = a
		}
		if ended != endGone {
			return best, nil
		}
		r.meter.Count("crocuswing_query_restarts_total")
		r.absence.Add(p.Service, p.Snapshot, time.Now())
		p = x.next
	}
}

// plan pins the newest snapshot that was not found absent lately, or the newest one if all were.
func (r *Runner) plan(v view.View, q Query, now time.Time) (plan.Plan, error) {
	if absent := r.absence.Snapshots(q.Service, now); len(absent) > 0 {
		if p, ok := plan.NewExcluding(v.Config(), q.Service, q.Key, absent); ok {
			return p, nil
		}
	}
	return plan.New(v.Config(), q.Service, q.Key)
}

// without plans q on a snapshot besides those that are gone.
func (r *Runner) without(v view.View, q Query, gone []string) (plan.Plan, bool) {
	if p, ok := plan.NewExcluding(v.Config(), q.Service, q.Key, gone); ok {
		return p, true
	}
	if r.current == nil {
		return plan.Plan{}, false
	}
	newest := r.current().Config()
	if newest.Revision() <= v.Config().Revision() {
		return plan.Plan{}, false
	}
	return plan.NewExcluding(newest, q.Service, q.Key, gone)
}

// window gives the recent times of the attempts of a service.
func (r *Runner) window(service string) *window.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.times[service]
	if w == nil {
		w = &window.Window{}
		r.times[service] = w
	}
	return w
}

// withReplyTime ends ctx so early that the answer reaches the caller before its deadline.
func withReplyTime(ctx context.Context, now time.Time, longest time.Duration) (context.Context, context.CancelFunc) {
	end := now.Add(longest)
	if own, ok := ctx.Deadline(); ok && own.Before(end) {
		end = own
	}
	back := min(max(end.Sub(now)/replyTimeShare, minReplyTime), maxReplyTime)
	return context.WithDeadline(ctx, end.Add(-back))
}
