package runner

import (
	"time"
)

const (
	// maxNearTries is the number of aggregators of this region that a request asks before this instance gathers its parts itself.
	maxNearTries = 2
	// restMargin is the time before the objective, in addition to a round trip, at which the late parts are due at a near aggregator.
	restMargin = 2 * time.Millisecond
)

// nearAttempts is the state of a request whose shards are all handed to an aggregator of this region. The aggregator counts the request
// in its retry budget and sends one attempt for each shard. If it answers in time, it is granted the others; if not, it has no grant and
// never gets one, and this instance sends one attempt for each shard that has no part.
type nearAttempts struct {
	tried      []string      // names of the instances that were asked
	retryAfter time.Duration // longest wait that an aggregator has stated that could serve fewer parts than an answer needs
}

// delegateAll asks an aggregator of this region for all parts, and reports whether it did. It does not where this instance gathers its
// own requests, or where too little time would be left after an aggregator that does not answer.
func (e *execution) delegateAll(now time.Time) bool {
	if !e.hasFallback() || e.aggregators.GathersItself() || !e.route.Allows(e.region) || e.plan.ReplyDeadline.Sub(now) < 2*e.plan.AggregateDelay {
		return false
	}
	return e.askNear(now)
}

// askNear asks an aggregator of this region that was not asked yet, and reports whether there was one.
func (e *execution) askNear(now time.Time) bool {
	if len(e.near.tried) >= maxNearTries {
		return false
	}
	instance, ok := e.aggregators.Pick(e.region, e.request.ID, e.near.tried...)
	if !ok || !e.request.MaySend() {
		return false
	}
	e.near.tried = append(e.near.tried, instance.Name)
	e.startDelegation(&delegation{region: e.region, isNear: true, instance: instance, members: e.subrequests}, now)
	return true
}

// askNext asks another aggregator after one that has sent nothing. Without one, this instance gathers the parts itself, unless an
// aggregator, which knows the upstreams better, could not serve enough of them.
func (d *delegation) askNext(now time.Time) {
	for _, s := range d.members {
		s.delegation, s.delegatedRegion = nil, ""
	}
	switch {
	case d.askNear(now):
	case d.near.retryAfter > 0:
		rep := refusedFor("too few services have an upstream that may take work", d.near.retryAfter)
		d.refusal = &rep
	default:
		d.runDirectly(now)
	}
}

// grant hands all attempts on the late shards over to the aggregator.
func (d *delegation) grant() {
	d.isGranted = true
	for _, s := range d.members {
		if d.late.Has(s.index) {
			s.isHandedOver = true
		}
	}
}

// endGrant ends the grant after a call that has failed. The shards that are late fail if the aggregator may have used the grant, and
// otherwise fall back to an attempt of this instance.
func (d *delegation) endGrant(isUsed bool, now time.Time) {
	if !d.isGranted {
		return
	}
	d.isGranted = false
	if isUsed {
		d.aggregators.Missed(d.instance)
	}
	for _, s := range d.members {
		if !d.late.Has(s.index) || s.isAnswered || s.hasFailed {
			continue
		}
		if isUsed {
			s.fail()
			continue
		}
		s.isHandedOver = false
		s.fallBack(now)
	}
}
