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
	coldHedgeWait = 50 * time.Millisecond // without samples
	minHedgeWait  = time.Millisecond
	waitShare     = 4 // a hedge waits at most a quarter of the preset's deadline
	rescueFactor  = 4 // a shard is stuck after this many hedge waits
)

// end tells why an execution ended.
type end int

const (
	endWhole end = iota // every shard has its part
	endGone             // the snapshot is gone and there is another
	endCut              // the tail wait or the deadline passed, or the caller hung up
)

// execution is one fan-out over one snapshot. Only its own goroutine changes it.
type execution struct {
	*Runner
	plan    plan.Plan
	query   Query
	begun   time.Time // of the query
	start   time.Time // of this execution
	prefix  string    // of the identifiers of attempts
	restart func() (plan.Plan, bool)
	next    plan.Plan // on another snapshot, once this one is gone

	ctx      context.Context // ends with the execution
	deadline time.Time
	times    *window.Window
	usual    time.Duration // time after which an attempt is hedged
	rescue   time.Duration // age at which a shard counts as stuck
	chance   time.Duration // that the tail policy gives to a second attempt
	farthest time.Duration // highest expected time of a replica that is not suspect
	hedged   int           // hedges sent

	gather  *gatherer.Gatherer
	slots   []slot
	results chan result
	pending int // attempts in flight
	number  int // of the next attempt
	gone    bool
	tail    *time.Timer // fires when missing shards are not waited for any more
	timer   *time.Timer // fires at wake
	wake    time.Time   // not after the next step of any shard; zero if there is none
	buf     []balancer.Candidate
}

// slot is the state of one shard.
type slot struct {
	tries   []try
	open    int // attempts in flight
	hedged  bool
	denied  bool // the budget refused a hedge
	rescues int
	backoff time.Duration
	due     time.Time // of the next step; zero if there is none
}

// try is one attempt on a shard.
type try struct {
	upstream string
	cancel   context.CancelFunc
	start    time.Time
	state    tryState
}

type tryState int

const (
	tryOpen tryState = iota
	tryEnded
	tryGone // the upstream does not serve the snapshot
)

func newExecution(r *Runner, p plan.Plan, q Query) *execution {
	tries := make([]try, len(p.Shards))
	x := &execution{
		Runner:  r,
		plan:    p,
		query:   q,
		start:   time.Now(),
		prefix:  q.RequestID + "/" + strconv.FormatUint(r.number.Add(1), 36) + "/",
		times:   r.window(p.Service),
		gather:  gatherer.New(p.Snapshot, p.Shards),
		slots:   make([]slot, len(p.Shards)),
		results: make(chan result, len(p.Shards)),
	}
	for i := range x.slots {
		x.slots[i].tries = tries[i : i : i+1]
	}
	return x
}

// run returns when the execution has ended; withdrawn attempts may still be ending then.
func (x *execution) run(ctx context.Context) end {
	ctx, cancel := context.WithCancel(ctx)
	defer x.drain()
	defer cancel()
	x.ctx = ctx
	x.deadline, _ = ctx.Deadline()
	if ctx.Err() != nil {
		return endCut
	}
	x.pace()
	x.timer = time.NewTimer(x.usual)
	defer x.timer.Stop()
	x.fanOut()
	x.tail = time.NewTimer(x.tailWait())
	defer x.tail.Stop()
	for {
		switch {
		case x.gone:
			return endGone
		case x.gather.IsComplete():
			return endWhole
		}
		select {
		case res := <-x.results:
			x.take(res)
		case <-x.timer.C:
			x.takeAll()
			x.stepAll()
		case <-x.tail.C:
			if !x.extend() {
				return endCut
			}
		case <-ctx.Done():
			return endCut
		}
	}
}

// pace sets the waits of this execution from the recent times of the service.
func (x *execution) pace() {
	longest := max(x.plan.Preset.Deadline()/waitShare, minHedgeWait)
	x.usual = min(coldHedgeWait, longest)
	if wait, ok := x.times.Quantile(x.plan.Preset.HedgeQuantile); ok {
		x.usual = min(max(wait, minHedgeWait), longest)
	}
	x.rescue = rescueFactor * x.usual
}

// tailWait is the time left for missing shards: that in which the preset's share of attempts is answered,
// and once more as much, or what the farthest replica needs, for an attempt after one that was lost.
func (x *execution) tailWait() time.Duration {
	longest := x.longestWait()
	most, ok := x.times.Quantile(x.plan.Preset.TailShare())
	if !ok || !x.plan.Preset.IsTail() {
		x.chance = longest
		return longest
	}
	x.chance = max(most, x.farthest+x.farthest/2)
	return min(time.Until(x.start.Add(most+x.chance)), longest)
}

// extend waits on, up to the preset's longest wait, for missing shards that had no second chance yet: no
// replica could be tried, the budget refused their hedge, or it came late.
func (x *execution) extend() bool {
	longest := x.longestWait()
	var wait time.Duration
	for i := range x.slots {
		s := &x.slots[i]
		switch {
		case x.gather.HasPart(i):
		case s.open == 0 || s.denied:
			wait = longest
		default:
			wait = max(wait, time.Until(s.tries[len(s.tries)-1].start.Add(x.chance)))
		}
	}
	wait = min(wait, longest)
	x.tail.Reset(wait)
	return wait > 0
}

// longestWait is the time left for the query.
func (x *execution) longestWait() time.Duration {
	if x.plan.Preset.IsTail() {
		return time.Until(x.begun.Add(x.plan.Preset.TailWait()))
	}
	return time.Until(x.deadline)
}

// fanOut sends the first attempts.
func (x *execution) fanOut() {
	x.hedges.Deposit(len(x.slots), x.plan.Preset.HedgeShare)
	x.retries.Deposit(len(x.slots), x.plan.Preset.RetryShare)
	for i := range x.slots {
		x.begin(i, time.Now())
	}
}

// setDue plans the next step of a shard.
func (x *execution) setDue(s *slot, due time.Time) {
	s.due = due
	if x.wake.IsZero() || due.Before(x.wake) {
		x.wake = due
		x.timer.Reset(time.Until(due))
	}
}

// takeAll handles the attempts that have ended, so that a busy instance hedges no shard that has its part.
func (x *execution) takeAll() {
	for {
		select {
		case res := <-x.results:
			x.take(res)
		default:
			return
		}
	}
}

// stepAll does what is due and sets the timer to the next step of any shard.
func (x *execution) stepAll() {
	now := time.Now()
	x.wake = time.Time{}
	for i := range x.slots {
		s := &x.slots[i]
		switch {
		case s.due.IsZero():
		case s.due.After(now):
			x.setDue(s, s.due)
		default:
			x.step(i, now)
		}
	}
}

// request is the next attempt on the shard at index i.
func (x *execution) request(i int) part.Request {
	x.number++
	return part.Request{
		RequestID: x.prefix + strconv.Itoa(x.number),
		Service:   x.plan.Service,
		Shard:     x.plan.Shards[i].Name,
		Snapshot:  x.plan.Snapshot,
		Query:     x.query.Query,
		Key:       x.query.Key,
	}
}

// drain lets the withdrawn attempts end without blocking them.
func (x *execution) drain() {
	pending := x.pending
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if res := <-x.results; res.err == nil {
				x.drop("late")
			}
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
