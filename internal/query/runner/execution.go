package runner

import (
	"context"
	"strconv"
	"time"

	"crocuswing/internal/query/answer"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/gatherer"
	"crocuswing/internal/query/plan"
	"crocuswing/internal/stats/window"
	"crocuswing/internal/wire/part"
)

const (
	defaultHedgeDelay = 50 * time.Millisecond // while there are no samples
	minHedgeDelay     = time.Millisecond
	hedgeDelayDivisor = 4 // the hedge delay is at most a quarter of the preset's deadline
	rescueFactor      = 4 // a shard is stuck after this many hedge delays
)

// endReason is the reason why an execution ended.
type endReason int

const (
	endComplete     endReason = iota // every shard has its part
	endSnapshotGone                  // the upstreams no longer serve the snapshot and there is another one
	endIncomplete                    // the tail wait or the deadline passed, or the caller disconnected
)

// execution is one fan-out of a query over one snapshot. Only the goroutine of run changes it.
type execution struct {
	*Runner
	plan            plan.Plan
	query           Query
	queryStart      time.Time // of the query, before any restart
	start           time.Time // of this execution
	attemptIDPrefix string
	replan          func() (plan.Plan, bool)
	nextPlan        plan.Plan // set with snapshotGone

	ctx                context.Context // canceled when the execution ends
	deadline           time.Time
	latencies          *window.Window
	hedgeDelay         time.Duration // age at which an attempt is hedged
	rescueAge          time.Duration // age at which a shard counts as stuck
	secondAttemptTime  time.Duration // time that the tail policy allows for a second attempt
	maxExpectedLatency time.Duration // of the replicas that are not suspect
	hedgeCount         int           // hedges sent by this execution

	gatherer      *gatherer.Gatherer
	shards        []shardState
	results       chan result
	pending       int         // attempts in flight
	attemptNumber int         // of the next attempt
	snapshotGone  bool        // the query continues with nextPlan
	tailTimer     *time.Timer // fires when the wait for missing shards ends
	stepTimer     *time.Timer // fires at nextStep
	nextStep      time.Time   // at or before the earliest due of all shards; zero if none is due
	buf           []balancer.Candidate
}

// shardState is the state of one shard.
type shardState struct {
	attempts    []attemptState
	inFlight    int
	hedged      bool // since the latest retry
	hedgeDenied bool // there was no token for a hedge
	rescues     int  // since the latest retry
	backoff     time.Duration
	due         time.Time // time of the next step; zero if there is none
}

// attemptState is the state of one attempt on a shard.
type attemptState struct {
	upstream string
	cancel   context.CancelFunc
	start    time.Time
	status   attemptStatus
}

type attemptStatus int

const (
	statusInFlight attemptStatus = iota
	statusEnded
	statusSnapshotGone // the upstream does not serve the snapshot
)

func newExecution(r *Runner, p plan.Plan, q Query) *execution {
	attempts := make([]attemptState, len(p.Shards))
	x := &execution{
		Runner:          r,
		plan:            p,
		query:           q,
		start:           time.Now(),
		attemptIDPrefix: q.RequestID + "/" + strconv.FormatUint(r.executionNumber.Add(1), 36) + "/",
		latencies:       r.latencyWindow(p.Service),
		gatherer:        gatherer.New(p.Snapshot, p.Shards),
		shards:          make([]shardState, len(p.Shards)),
		results:         make(chan result, len(p.Shards)),
	}
	for i := range x.shards {
		x.shards[i].attempts = attempts[i : i : i+1]
	}
	return x
}

// run sends the attempts and handles their results until the execution ends. Canceled attempts may still be returning then.
func (x *execution) run(ctx context.Context) endReason {
	ctx, cancel := context.WithCancel(ctx)
	defer x.discardResults()
	defer cancel()
	x.ctx = ctx
	x.deadline, _ = ctx.Deadline()
	if ctx.Err() != nil {
		return endIncomplete
	}
	x.setDelays()
	x.stepTimer = time.NewTimer(x.hedgeDelay)
	defer x.stepTimer.Stop()
	x.fanOut()
	x.tailTimer = time.NewTimer(x.tailWait())
	defer x.tailTimer.Stop()
	for {
		switch {
		case x.snapshotGone:
			return endSnapshotGone
		case x.gatherer.IsComplete():
			return endComplete
		}
		select {
		case res := <-x.results:
			x.handleResult(res)
		case <-x.stepTimer.C:
			x.handlePendingResults()
			x.runDueSteps()
		case <-x.tailTimer.C:
			if !x.extendTailWait() {
				return endIncomplete
			}
		case <-ctx.Done():
			return endIncomplete
		}
	}
}

// setDelays derives the hedge delay and the rescue age from the recent latencies of the service.
func (x *execution) setDelays() {
	maxDelay := max(x.plan.Preset.Deadline()/hedgeDelayDivisor, minHedgeDelay)
	x.hedgeDelay = min(defaultHedgeDelay, maxDelay)
	if wait, ok := x.latencies.Quantile(x.plan.Preset.HedgeQuantile); ok {
		x.hedgeDelay = min(max(wait, minHedgeDelay), maxDelay)
	}
	x.rescueAge = rescueFactor * x.hedgeDelay
}

// tailWait returns the time to wait for missing shards. Under the tail policy it is the preset's quantile of recent latencies, plus
// the time for a second attempt in place of a lost one: the same quantile, or 1.5 times the highest expected latency if that is more.
// It never exceeds the remaining wait, which it is under the other policies and while there are no samples.
func (x *execution) tailWait() time.Duration {
	remaining := x.remainingWait()
	tailLatency, ok := x.latencies.Quantile(x.plan.Preset.EffectiveTailQuantile())
	if !ok || !x.plan.Preset.IsTail() {
		x.secondAttemptTime = remaining
		return remaining
	}
	x.secondAttemptTime = max(tailLatency, x.maxExpectedLatency+x.maxExpectedLatency/2)
	return min(time.Until(x.start.Add(tailLatency+x.secondAttemptTime)), remaining)
}

// extendTailWait prolongs the wait, up to the preset's limit, for missing shards whose second attempt was not sent or has not had its
// time: no replica was available, there was no token for a hedge, or the hedge was sent late. It reports whether there is time left.
func (x *execution) extendTailWait() bool {
	remaining := x.remainingWait()
	var wait time.Duration
	for i := range x.shards {
		s := &x.shards[i]
		switch {
		case x.gatherer.HasPart(i):
		case s.inFlight == 0 || s.hedgeDenied:
			wait = remaining
		default:
			wait = max(wait, time.Until(s.attempts[len(s.attempts)-1].start.Add(x.secondAttemptTime)))
		}
	}
	wait = min(wait, remaining)
	x.tailTimer.Reset(wait)
	return wait > 0
}

// remainingWait returns the time until the preset's tail wait ends, or until the deadline if the answer policy is not tail.
func (x *execution) remainingWait() time.Duration {
	if x.plan.Preset.IsTail() {
		return time.Until(x.queryStart.Add(x.plan.Preset.TailWait()))
	}
	return time.Until(x.deadline)
}

// fanOut deposits the tokens for the first attempts in the buckets and sends one on every shard.
func (x *execution) fanOut() {
	x.hedgeTokens.Deposit(len(x.shards), x.plan.Preset.HedgeShare)
	x.retryTokens.Deposit(len(x.shards), x.plan.Preset.RetryShare)
	for i := range x.shards {
		x.sendFirst(i, time.Now())
	}
}

// schedule sets the time of the next step of a shard.
func (x *execution) schedule(s *shardState, due time.Time) {
	s.due = due
	if x.nextStep.IsZero() || due.Before(x.nextStep) {
		x.nextStep = due
		x.stepTimer.Reset(time.Until(due))
	}
}

// handlePendingResults handles all results that have already arrived, so that a busy instance does not hedge a shard that has its part.
func (x *execution) handlePendingResults() {
	for {
		select {
		case res := <-x.results:
			x.handleResult(res)
		default:
			return
		}
	}
}

// runDueSteps runs the steps that are due and sets the timer to the earliest remaining one.
func (x *execution) runDueSteps() {
	now := time.Now()
	x.nextStep = time.Time{}
	for i := range x.shards {
		s := &x.shards[i]
		switch {
		case s.due.IsZero():
		case s.due.After(now):
			x.schedule(s, s.due)
		default:
			x.step(i, now)
		}
	}
}

// newRequest returns the request of the next attempt on the shard at index i.
func (x *execution) newRequest(i int) part.Request {
	x.attemptNumber++
	return part.Request{
		RequestID: x.attemptIDPrefix + strconv.Itoa(x.attemptNumber),
		Service:   x.plan.Service,
		Shard:     x.plan.Shards[i].Name,
		Snapshot:  x.plan.Snapshot,
		Query:     x.query.Query,
		Key:       x.query.Key,
	}
}

// discardResults receives the results of canceled attempts in the background, so that their goroutines can end. It counts the parts
// that arrive too late.
func (x *execution) discardResults() {
	pending := x.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if res := <-x.results; res.err == nil {
				x.countDropped("late")
			}
		}
	}()
}

func (x *execution) answer() answer.Answer {
	return answer.Answer{
		RequestID: x.query.RequestID,
		Revision:  x.plan.Revision,
		Snapshot:  x.plan.Snapshot,
		Coverage:  x.gatherer.Coverage(),
		Rows:      x.gatherer.Rows(),
	}
}
