package runner

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"crocuswing/internal/forward/merge"
	"crocuswing/internal/forward/reply"
	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/timing"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/upstream/cluster"
)

// recheckInterval is how long a subrequest waits before it looks again for an upstream that accepts it. It is a fraction of
// a typical service time.
const recheckInterval = 10 * time.Millisecond

// reasonFull is the reason of the refusal of a request for which the limiter has no room.
const reasonFull = "this instance has begun as much as it may"

// maxHoldDivisor limits how long a request is held for upstreams that requested a pause: to this part of the time until its objective.
const maxHoldDivisor = 4

// execution is the state of one request. Only the goroutine that called run modifies it.
type execution struct {
	*Runner
	request     request.Request
	route       *route.Route
	revision    int64 // of the configuration
	plan        timing.Plan
	isAggregate bool      // gathers parts for another instance
	isNear      bool      // the other instance is in the same region; see aggregate
	isGranted   bool      // the other instance has granted all attempts of the route
	isCutShort  bool      // the instance stops before the reply deadline of the request
	wakeAt      time.Time // when the loop checks whether the reply is due, in addition to other events; zero if never

	subrequests       []*subrequest
	delegations       []*delegation
	required          int          // number of subrequests that must be answered
	answered          int          // number of subrequests that have an answer
	failed            int          // number of subrequests that have finally failed
	refusal           *reply.Reply // the reply if the request is refused before anything was sent
	results           chan result
	delegationResults chan delegationResult
	commands          chan func(now time.Time) // calls for late parts; the loop of an aggregate runs them
	near              nearAttempts
	done              chan struct{} // closed when results are no longer received
}

func newExecution(r *Runner, req request.Request, rt *route.Route, revision int64) *execution {
	services := rt.Shards
	if !rt.IsGather() {
		services = []string{r.splitter.Next(rt)}
	}
	clusters := make([]*cluster.Cluster, len(services))
	for i, s := range services {
		clusters[i] = r.clusters.Cluster(s)
	}
	return newExecutionOn(r, req, rt, revision, r.planner.Plan(req, rt), clusters)
}

// newExecutionOn returns an execution with the given plan that sends one subrequest to each cluster. It changes nothing in the runner.
func newExecutionOn(r *Runner, req request.Request, rt *route.Route, revision int64, plan timing.Plan, clusters []*cluster.Cluster) *execution {
	e := &execution{Runner: r, request: req, route: rt, revision: revision, plan: plan, required: 1}
	if end := r.end.Load(); end != nil {
		e.isCutShort = end.Before(e.plan.ReplyDeadline)
		e.plan = e.plan.WithEnd(*end)
	}
	if rt.IsGather() {
		e.required = rt.MinParts()
	}
	e.subrequests = make([]*subrequest, len(clusters))
	for i, c := range clusters {
		e.subrequests[i] = &subrequest{execution: e, index: i, cluster: c}
	}
	e.results = make(chan result, len(clusters))
	e.delegationResults = make(chan delegationResult, 1)
	e.done = make(chan struct{})
	return e
}

func (e *execution) run(ctx context.Context) reply.Reply {
	now := time.Now()
	if rep, isRefused := e.refuseLate(now); isRefused {
		return rep
	}
	if !e.limiter.Acquire(len(e.subrequests), e.route.Rank) {
		return refused(reasonFull)
	}
	defer e.limiter.Release(len(e.subrequests))
	defer e.close()
	if !e.delegateAll(now) {
		e.runDirectly(now)
	}
	var rep reply.Reply
	if !e.loop(ctx, func(now time.Time) (isDue bool) {
		rep, isDue = e.replyIfDue(now)
		return isDue
	}) {
		return reply.Failed(http.StatusBadGateway, "the caller has left")
	}
	return rep
}

// refuseLate returns the reply to a request that would end too late to begin, and false if it may begin.
func (e *execution) refuseLate(now time.Time) (reply.Reply, bool) {
	if !now.Before(e.plan.ReplyDeadline) {
		return refused("no time is left"), true
	}
	if e.isCutShort && e.route.NonIdempotent {
		return refused("this instance stops before the time of the request is over"), true
	}
	return reply.Reply{}, false
}

// refuseShort returns the reply to a request for which too few services have an upstream that may take work, and false if enough have.
func (e *execution) refuseShort(now time.Time) (reply.Reply, bool) {
	available, wait := e.available(now)
	if available >= e.required {
		return reply.Reply{}, false
	}
	return refusedFor(fmt.Sprintf("%d of %d services have an upstream that may take work", available, len(e.subrequests)), wait), true
}

// runDirectly starts the subrequests of a request that no aggregator gathers as a whole, or refuses it.
func (e *execution) runDirectly(now time.Time) {
	if rep, isRefused := e.refuseShort(now); isRefused {
		e.refusal = &rep
		return
	}
	for _, s := range e.subrequests {
		s.cluster.AddRequest()
	}
	e.delegateShards(now)
	e.begin(now)
}

// begin sends the first attempts, except on the shards that are delegated.
func (e *execution) begin(now time.Time) {
	for _, s := range e.subrequests {
		if s.delegation == nil {
			s.advance(now)
		}
	}
}

// loop handles events until isDue returns true. If ctx ends first, it cancels all attempts and returns false.
func (e *execution) loop(ctx context.Context, isDue func(now time.Time) bool) bool {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	stopping := e.stopping
	for {
		now := time.Now()
		if isDue(now) {
			return true
		}
		timer.Reset(e.untilNextEvent(now))
		select {
		case res := <-e.results:
			e.handleResult(res)
		case res := <-e.delegationResults:
			res.delegation.handleResult(res, time.Now())
		case command := <-e.commands:
			command(time.Now())
		case <-timer.C:
			e.handlePendingResults()
			e.advanceDue(time.Now())
		case <-stopping:
			stopping = nil
			e.plan = e.plan.WithEnd(*e.end.Load())
		case <-ctx.Done():
			e.cancelAll()
			return false
		}
	}
}

// close stops the receipt of results and cancels the attempts on slow upstreams. Their responses are no longer needed, and the
// work costs the upstream more than a new connection.
func (e *execution) close() {
	close(e.done)
	e.discardResults()
	e.cancelDelegations()
	now := time.Now()
	for _, s := range e.subrequests {
		s.cancelSlow(now)
		s.freeError()
	}
}

// cancelDelegations ends the calls to aggregators.
func (e *execution) cancelDelegations() {
	for _, d := range e.delegations {
		d.cancelCall()
	}
}

// deliver passes on the result of an attempt, or discards it if results are no longer received.
func (e *execution) deliver(res result) {
	select {
	case e.results <- res:
	case <-e.done:
		res.response.Free()
	}
	select {
	case <-e.done:
		e.discardResults() // close may have missed this one
	default:
	}
}

// discardResults frees the responses that were delivered but not received.
func (e *execution) discardResults() {
	for {
		select {
		case res := <-e.results:
			res.response.Free()
		default:
			return
		}
	}
}

// available returns the number of subrequests that can start soon, and after which time enough of them can, which is 0 if that is
// unknown. A request that would have to wait for cold upstreams is refused: otherwise each request would use up some of the little
// capacity, and few would get all of their parts. So is one that would have to wait long for upstreams that requested a pause.
func (e *execution) available(now time.Time) (n int, wait time.Duration) {
	latestStart := now.Add(max(0, e.plan.Objective.Sub(now)) / maxHoldDivisor)
	var starts []time.Time
	for _, s := range e.subrequests {
		from, ok := s.cluster.CanServeNow(e.route)
		if !ok {
			continue
		}
		starts = append(starts, from)
		if !from.After(latestStart) {
			n++
		}
	}
	if n < e.required && len(starts) >= e.required {
		slices.SortFunc(starts, time.Time.Compare)
		wait = starts[e.required-1].Sub(now)
	}
	return n, wait
}

// replyIfDue returns the reply if it has to be sent now.
func (e *execution) replyIfDue(now time.Time) (reply.Reply, bool) {
	switch {
	case e.refusal != nil:
		return *e.refusal, true
	case e.answered == len(e.subrequests), e.answered >= e.required && e.answered+e.failed == len(e.subrequests):
		return e.successReply(), true
	case e.answered >= e.required && !now.Before(e.plan.Objective):
		return e.successReply(), true
	case len(e.subrequests)-e.failed < e.required:
		return e.failureReply(http.StatusBadGateway, "too many services have failed"), true
	case !now.Before(e.plan.ReplyDeadline):
		return e.failureReply(http.StatusGatewayTimeout, "the time is over"), true
	}
	return reply.Reply{}, false
}

// untilNextEvent returns the time until a subrequest is due or the reply has to be sent.
func (e *execution) untilNextEvent(now time.Time) time.Duration {
	next := e.plan.ReplyDeadline
	switch {
	case e.isAggregate:
		next = e.plan.Deadline
	case e.route.IsGather() && now.Before(e.plan.Objective):
		next = e.plan.Objective
	}
	for _, s := range e.subrequests {
		if !s.dueAt.IsZero() && s.dueAt.Before(next) {
			next = s.dueAt
		}
	}
	if !e.wakeAt.IsZero() && e.wakeAt.Before(next) {
		next = e.wakeAt
	}
	for _, d := range e.delegations {
		if !d.lateAt.IsZero() && d.lateAt.Before(next) {
			next = d.lateAt
		}
	}
	return max(0, next.Sub(now))
}

// handlePendingResults handles the results that have already arrived, so that an answered subrequest is not hedged.
func (e *execution) handlePendingResults() {
	for {
		select {
		case res := <-e.results:
			e.handleResult(res)
		case res := <-e.delegationResults:
			res.delegation.handleResult(res, time.Now())
		default:
			return
		}
	}
}

func (e *execution) handleResult(res result) {
	res.subrequest.handleResult(res, time.Now())
}

func (e *execution) advanceDue(now time.Time) {
	for _, d := range e.delegations {
		d.advance(now)
	}
	for _, s := range e.subrequests {
		if !s.dueAt.IsZero() && !now.Before(s.dueAt) {
			s.advance(now)
		}
	}
}

// cancelAll cancels all attempts, since the caller no longer waits for an answer.
func (e *execution) cancelAll() {
	e.cancelDelegations()
	for _, s := range e.subrequests {
		s.cancel()
	}
}

func (e *execution) successReply() reply.Reply {
	if !e.route.IsGather() {
		resp := e.subrequests[0].response
		return reply.FromUpstream(resp)
	}
	m := merge.New(e.route.TopK)
	rep := reply.Reply{Status: http.StatusOK}
	for _, s := range e.subrequests {
		if !s.isAnswered {
			rep.Missing++
			continue
		}
		rep.Proofs = append(rep.Proofs, s.proof)
		m.Add(s.response.Body)
	}
	rep.Body = m.Bytes()
	return rep
}

// failureReply cancels the attempts and returns a reply without an answer: a refusal if no attempt can have run, and otherwise
// a failure with the given status. If an upstream of a request to a single service sent a failure, it returns that instead.
func (e *execution) failureReply(status int, reason string) reply.Reply {
	mayHaveRun := false
	for _, s := range e.subrequests {
		if resp := s.upstreamError; resp != nil && !e.route.IsGather() {
			s.upstreamError = nil // the reply frees it
			return reply.FromUpstream(*resp)
		}
		mayHaveRun = s.cancel() || mayHaveRun
	}
	if !mayHaveRun {
		return refused(reason)
	}
	return reply.Failed(status, reason)
}

// describe lists the attempts for the log, except those of subrequests whose only attempt was answered.
func (e *execution) describe() string {
	var b strings.Builder
	for _, d := range e.delegations {
		d.describe(&b)
	}
	for _, s := range e.subrequests {
		s.describe(&b)
	}
	return b.String()
}
