// Package runner executes searches and lookups. It fans a query out to one replica of each shard, hedges slow attempts, retries
// failed ones and merges the parts before the deadline. The handler calls it once a query is admitted; a Sender delivers the attempts.
//
// Hedged requests are described by Dean and Barroso, "The tail at scale", Communications of the ACM 56(2), 2013.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/negativecache"
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
	bucketCapacity       = 20 // of the hedge and the retry bucket, unless queries are large
	retryTokensPerSecond = 10 // in addition to the preset's retry share
	minReplyTime         = 2 * time.Millisecond
	maxReplyTime         = 10 * time.Millisecond
	replyTimeDivisor     = 50 // a fiftieth of the remaining time is reserved for the reply to the caller
)

// Sender describes the replicas of a shard and sends attempts to them.
type Sender interface {
	// Candidates appends a candidate for each replica of s to buf and returns it; the runner sets their records.
	Candidates(buf []balancer.Candidate, s shard.Shard) []balancer.Candidate
	// Part sends one attempt to the upstream and returns its reply. Its errors are *failure.Failure.
	Part(ctx context.Context, upstream string, q part.Request) (part.Reply, error)
}

// Meter counts events by metric name.
type Meter interface{ Count(name string) }

// Runner executes queries. It is safe for concurrent use.
type Runner struct {
	sender          Sender
	meter           Meter
	currentView     func() view.View
	intn            func(n int) int
	history         *history.History
	absentSnapshots *negativecache.Cache
	hedgeTokens     *tokenbucket.Bucket
	retryTokens     *tokenbucket.Bucket
	firstAttempts   atomic.Int64
	extraAttempts   atomic.Int64
	executionNumber atomic.Uint64

	mu        sync.Mutex
	latencies map[string]*window.Window // by service
}

// Option configures a Runner.
type Option func(*Runner)

// WithMeter sets the meter that counts hedges, retries, rescues, probes, restarts and dropped parts.
func WithMeter(m Meter) Option { return func(r *Runner) { r.meter = m } }

// WithCurrentView lets a query continue under the current view if the upstreams no longer serve any snapshot of its revision.
func WithCurrentView(current func() view.View) Option {
	return func(r *Runner) { r.currentView = current }
}

// WithRandom replaces the source of random numbers; intn returns one in [0, n).
func WithRandom(intn func(n int) int) Option { return func(r *Runner) { r.intn = intn } }

// Query is one search, or a lookup if Key is set.
type Query struct {
	RequestID string
	Service   string
	Query     string
	Key       string
}

type noopMeter struct{}

func (noopMeter) Count(string) {}

// New returns a Runner that sends its attempts with s.
func New(s Sender, options ...Option) *Runner {
	r := &Runner{
		sender:          s,
		meter:           noopMeter{},
		intn:            rand.IntN,
		history:         history.New(),
		absentSnapshots: negativecache.New(),
		hedgeTokens:     tokenbucket.New(bucketCapacity),
		retryTokens:     tokenbucket.New(bucketCapacity, tokenbucket.WithInitialTokens(bucketCapacity), tokenbucket.WithRate(retryTokensPerSecond)),
		latencies:       make(map[string]*window.Window),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// Attempts returns the number of first and extra attempts so far.
func (r *Runner) Attempts() (first, extra int64) {
	return r.firstAttempts.Load(), r.extraAttempts.Load()
}

// Run executes q under the configuration of v and returns shortly before ctx ends or the preset's deadline passes. Missing shards are
// reported in the coverage and are no error. Run fails with *plan.UnknownServiceError, or with context.Canceled if ctx is canceled.
//
// If the upstreams no longer serve the snapshot, the query restarts on another snapshot of the same revision, or else of the current
// revision. Run returns the answer with the highest coverage of all executions.
func (r *Runner) Run(ctx context.Context, v view.View, q Query) (answer.Answer, error) {
	start := time.Now()
	p, err := r.newPlan(v, q, start)
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
		x.queryStart = start
		x.replan = func() (plan.Plan, bool) { return r.planExcluding(v, q, gone) }
		reason := x.run(ctx)
		if errors.Is(ctx.Err(), context.Canceled) {
			return answer.Answer{}, context.Canceled
		}
		if a := x.answer(); best.Snapshot == "" || a.Coverage.Share() > best.Coverage.Share() {
			best = a
		}
		if reason != endSnapshotGone {
			return best, nil
		}
		r.meter.Count("crocuswing_query_restarts_total")
		r.absentSnapshots.Add(p.Service, p.Snapshot, time.Now())
		p = x.nextPlan
	}
}

// newPlan selects the newest snapshot that was not recently found absent, or the newest one if all were.
func (r *Runner) newPlan(v view.View, q Query, now time.Time) (plan.Plan, error) {
	if absent := r.absentSnapshots.Snapshots(q.Service, now); len(absent) > 0 {
		if p, ok := plan.NewExcluding(v.Config(), q.Service, q.Key, absent); ok {
			return p, nil
		}
	}
	return plan.New(v.Config(), q.Service, q.Key)
}

// planExcluding plans q on a snapshot that is not in gone, first under v and then under the current view if its revision is newer.
func (r *Runner) planExcluding(v view.View, q Query, gone []string) (plan.Plan, bool) {
	if p, ok := plan.NewExcluding(v.Config(), q.Service, q.Key, gone); ok {
		return p, true
	}
	if r.currentView == nil {
		return plan.Plan{}, false
	}
	newest := r.currentView().Config()
	if newest.Revision() <= v.Config().Revision() {
		return plan.Plan{}, false
	}
	return plan.NewExcluding(newest, q.Service, q.Key, gone)
}

// latencyWindow returns the recent latencies of attempts on a service.
func (r *Runner) latencyWindow(service string) *window.Window {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.latencies[service]
	if w == nil {
		w = &window.Window{}
		r.latencies[service] = w
	}
	return w
}

// withReplyTime sets a deadline at the caller's deadline or after maxDuration, less the time that the reply to the caller needs.
func withReplyTime(ctx context.Context, now time.Time, maxDuration time.Duration) (context.Context, context.CancelFunc) {
	end := now.Add(maxDuration)
	if d, ok := ctx.Deadline(); ok && d.Before(end) {
		end = d
	}
	reserve := min(max(end.Sub(now)/replyTimeDivisor, minReplyTime), maxReplyTime)
	return context.WithDeadline(ctx, end.Add(-reserve))
}
