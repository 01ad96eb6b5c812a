package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"crocuswing/internal/fleet/membership"
	"crocuswing/internal/forward/aggregator"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/connection"

	"github.com/cespare/xxhash/v2"
)

// minDelegatedShards is the number of shards from which one merged answer of an aggregator takes fewer bytes than the parts
// themselves, also if these are small.
const minDelegatedShards = 2

// minAggregatorConnections is the number of connections to each upstream from which instances gather distant shards for each other. With
// a single one, the requests of several instances would wait for each other.
const minAggregatorConnections = 2

// Aggregators selects instances that gather parts and asks them.
type Aggregators interface {
	// GathersItself reports whether this instance gathers the parts of its own requests.
	GathersItself() bool
	// Pick returns an instance of the region for a request, none of those named in tried, and false if none is known to answer.
	Pick(region, requestID string, tried ...string) (membership.Member, bool)
	// Gather fails with *client.UnsentError or *client.RefusedError if no upstream has received anything.
	Gather(ctx context.Context, m membership.Member, q aggregator.Request) (aggregator.Reply, error)
	// Rest asks for the parts that were late in the reply to Gather. After the same errors the aggregator has not accepted the grant.
	Rest(ctx context.Context, m membership.Member, q aggregator.RestRequest, late aggregator.Set) (aggregator.Reply, error)
	// Answered records that the instance has answered in time, Missed that it has not, and Refused that it has refused.
	Answered(m membership.Member)
	Missed(m membership.Member)
	Refused(m membership.Member)
}

// delegation is the shards of a request whose parts an aggregator gathers.
type delegation struct {
	*execution
	region     string
	isNear     bool           // the aggregator is in this region and gathers all shards; see nearAttempts
	isGranted  bool           // the aggregator was granted all attempts on the late shards
	isAccepted bool           // the aggregator has replied to a call with the grant
	late       aggregator.Set // the shards that are late at the aggregator
	instance   membership.Member
	call       uint64 // distinguishes this call from others for requests with the same identifier
	members    []*subrequest
	cancelCall context.CancelFunc
	start      time.Time
	lateAt     time.Time // when its shards fall back to attempts of this instance; zero if they have or need not
	// isGivenUp reports whether the shards have fallen back before the result.
	isGivenUp bool
	hasEnded  bool
	outcome   string
	took      time.Duration
	roundTrip time.Duration // of the call, without the time at the aggregator
}

// delegationResult is the outcome of the call to an aggregator.
type delegationResult struct {
	delegation *delegation
	isRest     bool // of the call for the late parts
	reply      aggregator.Reply
	err        error
}

// delegateShards asks aggregators for the parts of the shards without a usable upstream in this region.
func (e *execution) delegateShards(now time.Time) {
	if !e.mayDelegate(now) {
		return
	}
	shardsByRegion := make(map[string][]*subrequest)
	for _, s := range e.subrequests {
		if s.cluster.Connections() < minAggregatorConnections {
			continue
		}
		var buf [4]string
		regions, isNear := s.cluster.AppendRegions(buf[:0], e.route, s.timing())
		if isNear {
			continue
		}
		for _, region := range regions {
			shardsByRegion[region] = append(shardsByRegion[region], s)
		}
	}
	for len(shardsByRegion) > 0 {
		region := e.largestRegion(shardsByRegion)
		members := shardsByRegion[region]
		delete(shardsByRegion, region)
		var free []*subrequest
		for _, s := range members {
			if s.delegation == nil {
				free = append(free, s)
			}
		}
		if len(free) < minDelegatedShards {
			continue
		}
		// MaySend comes last: after it, the request counts as sent.
		if instance, ok := e.aggregators.Pick(region, e.request.ID); ok && e.request.MaySend() {
			e.startDelegation(&delegation{region: region, instance: instance, members: free}, now)
		}
	}
}

// mayDelegate reports whether aggregators may be asked: each shard needs an attempt for the fallback, and the time for it.
func (e *execution) mayDelegate(now time.Time) bool {
	return e.hasFallback() &&
		e.plan.Objective.Sub(now) >= e.plan.AggregateDelay+e.plan.HedgeDelay(balancer.OtherRegion)
}

// hasFallback reports whether each shard may be sent again after an aggregator may have sent it.
func (e *execution) hasFallback() bool {
	return e.aggregators != nil && !e.isAggregate && e.route.IsGather() && !e.route.NonIdempotent && e.route.MaxAttempts >= 2
}

// largestRegion returns the region with the most shards that are not delegated yet. Requests choose among equal ones by hash.
func (e *execution) largestRegion(shardsByRegion map[string][]*subrequest) string {
	best, bestCount, bestHash := "", -1, uint64(0)
	for region, members := range shardsByRegion {
		count := 0
		for _, s := range members {
			if s.delegation == nil {
				count++
			}
		}
		hash := xxhash.Sum64String(region + " " + e.request.ID)
		if count > bestCount || (count == bestCount && hash > bestHash) {
			best, bestCount, bestHash = region, count, hash
		}
	}
	return best
}

// startDelegation calls the aggregator of d, which has a region, an instance and members.
func (e *execution) startDelegation(d *delegation, now time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), e.plan.Deadline)
	d.execution, d.cancelCall, d.start, d.lateAt = e, cancel, now, now.Add(e.plan.AggregateDelay)
	d.call = rand.Uint64()
	e.delegations = append(e.delegations, d)
	q := aggregator.Request{
		ID: e.request.ID, Call: d.call, Method: e.request.Method, Target: e.request.Target, Path: e.request.Path, Host: e.request.Host,
		Header: e.request.Header, Workspace: e.request.Workspace, Body: e.request.Body, Revision: e.revision,
		TimeLeftUS: e.plan.Deadline.Sub(now).Microseconds(), ObjectiveUS: max(0, e.plan.Objective.Sub(now).Microseconds()), Near: d.isNear,
	}
	for _, s := range d.members {
		s.delegation, s.delegatedRegion, s.isSentByAggregator = d, d.region, true // until the outcome of the call shows otherwise
		q.Shards = q.Shards.With(s.index)
	}
	e.countAggregate("asked", d.isNear)
	e.inFlight.Go(func() {
		defer cancel()
		res := delegationResult{delegation: d}
		res.reply, res.err = e.aggregators.Gather(ctx, d.instance, q)
		d.deliver(res)
	})
}

// countAggregate counts an event of an aggregate by the region of the other instance: near in this region, distant in another one.
func (r *Runner) countAggregate(event string, isNear bool) {
	kind := "distant"
	if isNear {
		kind = "near"
	}
	r.meter.Count("crocuswing_aggregates_" + event + `_total{kind="` + kind + `"}`)
}

// advance lets the shards fall back if the aggregator has not answered in time. A result that arrives later is still used.
func (d *delegation) advance(now time.Time) {
	if d.lateAt.IsZero() || now.Before(d.lateAt) {
		return
	}
	d.lateAt, d.isGivenUp, d.outcome = time.Time{}, true, "silent"
	d.countAggregate("late", d.isNear)
	d.aggregators.Missed(d.instance)
	for _, s := range d.members {
		s.fallBack(now)
	}
}

// handleResult records the parts that the aggregator has gathered, and asks for those that are late. Its other shards fall back.
func (d *delegation) handleResult(res delegationResult, now time.Time) {
	if res.isRest {
		d.handleRest(res, now)
		return
	}
	d.hasEnded, d.lateAt, d.took = true, time.Time{}, now.Sub(d.start)
	switch {
	case res.err == nil && res.reply.RetryAfterUS == 0:
		d.outcome = fmt.Sprintf("%d of %d", res.reply.Answered.Len(), len(d.members))
		d.planner.RecordAggregate(d.route.Name, d.took, time.Duration(res.reply.EarlyUS)*time.Microsecond)
		if !d.isGivenUp {
			d.aggregators.Answered(d.instance)
		}
		d.complete(res.reply)
		d.roundTrip = max(0, d.took-time.Duration(res.reply.TookUS)*time.Microsecond)
		d.callRest(res.reply.Late, now)
	case d.handleFailure(res) && d.isNear && !d.isGivenUp:
		d.askNext(now)
		return
	}
	if d.isGivenUp {
		return // the shards have fallen back already
	}
	for _, s := range d.members {
		if !d.isGranted || !d.late.Has(s.index) {
			s.fallBack(now)
		}
	}
}

// handleRest records the late parts, or why there are none. Attempts of this instance on their shards, if any, go on in either case.
func (d *delegation) handleRest(res delegationResult, now time.Time) {
	if res.err != nil {
		d.outcome += ", late parts: " + res.err.Error()
		d.endGrant(d.isAccepted || !isUnsent(res.err), now)
		return
	}
	d.complete(res.reply)
	if !d.isGranted {
		return
	}
	d.isAccepted = true
	for _, s := range d.members {
		if d.late.Has(s.index) && !res.reply.Late.Has(s.index) && !s.isAnswered && !s.hasFailed {
			s.fail()
		}
	}
	d.callRest(res.reply.Late, now)
}

// callRest asks for the late parts. A near aggregator that has answered in time is granted all attempts; otherwise this instance sends
// an attempt of its own on each of their shards.
func (d *delegation) callRest(late aggregator.Set, now time.Time) {
	d.late = late
	if late.Len() == 0 {
		return
	}
	q := aggregator.RestRequest{ID: d.request.ID, Call: d.call}
	if d.isNear && !d.isGivenUp {
		d.grant()
		q.Grant, q.DueUS = true, max(1, (d.plan.Objective.Sub(now)-d.roundTrip-restMargin).Microseconds())
	}
	ctx, cancel := context.WithDeadline(context.Background(), d.plan.Deadline)
	d.cancelCall()
	d.cancelCall = cancel
	d.inFlight.Go(func() {
		defer cancel()
		res := delegationResult{delegation: d, isRest: true}
		res.reply, res.err = d.aggregators.Rest(ctx, d.instance, q, late)
		d.deliver(res)
	})
}

// deliver passes on a result unless results are no longer received.
func (d *delegation) deliver(res delegationResult) {
	select {
	case d.delegationResults <- res:
	case <-d.done:
	}
}

// handleFailure records that the aggregator has gathered nothing, and reports whether certainly nothing was sent.
func (d *delegation) handleFailure(res delegationResult) (unsent bool) {
	var refused *client.RefusedError
	switch {
	case res.err == nil:
		d.near.retryAfter = max(d.near.retryAfter, time.Duration(res.reply.RetryAfterUS)*time.Microsecond)
		d.outcome = "has no upstreams for " + d.near.retryAfter.String()
	case errors.As(res.err, &refused):
		d.outcome = res.err.Error()
		d.aggregators.Refused(d.instance)
	default:
		d.outcome = res.err.Error()
		d.aggregators.Missed(d.instance)
	}
	if res.err != nil && !isUnsent(res.err) {
		return false
	}
	d.countAggregate("refused", d.isNear)
	for _, s := range d.members {
		s.isSentByAggregator = false
	}
	return true
}

// isUnsent reports whether the error of a call shows that the other instance has not acted on it.
func isUnsent(err error) bool {
	var unsent *client.UnsentError
	var refused *client.RefusedError
	return errors.As(err, &unsent) || errors.As(err, &refused)
}

// complete records the merged parts. They replace the parts of the same shards that attempts of this instance have got meanwhile, since
// the records of single shards cannot be taken out of the merged ones.
func (d *delegation) complete(r aggregator.Reply) {
	records := r.Records
	proofs := r.Proofs
	for _, s := range d.members {
		if !r.Answered.Has(s.index) {
			s.isSentByAggregator = s.isSentByAggregator && (s.isAnswered || r.Sent.Has(s.index))
			continue
		}
		s.completeFromAggregator(connection.Response{Body: records}, proofs[0])
		records, proofs = nil, proofs[1:]
	}
}

// describe appends the outcome to b.
func (d *delegation) describe(b *strings.Builder) {
	outcome := d.outcome
	if !d.hasEnded {
		d.took = time.Since(d.start)
		outcome += " open"
	}
	fmt.Fprintf(b, "via %s:%s/%dms ", d.instance.Name, outcome, d.took.Milliseconds())
}

// fallBack lets the shard continue with attempts of this instance, unless it has its part.
func (s *subrequest) fallBack(now time.Time) {
	s.delegation = nil
	if s.isAnswered || s.hasFailed {
		return
	}
	s.advance(now)
}

// completeFromAggregator records that the part of the shard is in the merged parts of an aggregator.
func (s *subrequest) completeFromAggregator(r connection.Response, proof string) {
	if s.hasFailed {
		s.hasFailed = false
		s.failed--
	}
	if !s.isAnswered {
		s.isAnswered = true
		s.answered++
	}
	s.dueAt = time.Time{}
	s.response, s.proof = r, proof
}

// sendAfterDelegation sends the first attempt of this instance on a shard whose part an aggregator has not got in time. It prefers
// upstreams outside the region of an aggregator in another region, which may have sent the request to those near it. An aggregator of this
// region replies in time also if its upstreams are late, so that its silence says nothing about them.
func (s *subrequest) sendAfterDelegation(now time.Time) {
	var avoided []string
	if s.delegatedRegion != s.region {
		avoided = s.cluster.Names(s.delegatedRegion, true)
	}
	r, ok := s.cluster.Pick(balancer.Retry, s.route, avoided, s.timing())
	if !ok {
		r, ok = s.cluster.Pick(balancer.Retry, s.route, nil, s.timing())
	}
	if !ok {
		s.recheckOrFail(now)
		return
	}
	spend := s.cluster.SpendAboveReserve
	if s.answered < s.required {
		spend = s.cluster.Spend
	}
	if !s.allowExtra(spend) {
		s.scheduleRecheck(now)
		return
	}
	s.send(r, now)
}
