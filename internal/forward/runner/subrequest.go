package runner

import (
	"context"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/connection"
)

// lostAttemptFactor is the number of hedge delays after which an attempt counts as lost.
const lostAttemptFactor = 4

// subrequest is the share of a request that goes to one service.
type subrequest struct {
	*execution
	index              int
	cluster            *cluster.Cluster
	attempts           []*attempt
	dueAt              time.Time // time of the next call of advance; zero if there is none
	isAnswered         bool
	hasFailed          bool        // no further attempt is sent
	isReported         bool        // the part is in an earlier reply of an aggregate
	needsGrant         bool        // an aggregate may send another attempt only after a grant
	overBudget         bool        // the retry budget refused an extra attempt
	delegation         *delegation // gathers the part at present; nil if none does
	delegatedRegion    string
	isSentByAggregator bool // an upstream may have received the request from an aggregator
	isHandedOver       bool // the aggregator was granted all attempts of the route
	response           connection.Response
	proof              string
	upstreamError      *connection.Response // the latest failure that an upstream sent
}

// advance sends the first attempt, a retry or a hedge, depending on the attempts so far.
func (s *subrequest) advance(now time.Time) {
	s.dueAt = time.Time{}
	if s.isAnswered || s.hasFailed {
		return
	}
	current := s.newestInFlight()
	switch {
	case len(s.attempts) == 0:
		s.sendFirst(now)
	case current == nil:
		s.retry(now)
	default:
		s.hedge(current, now)
	}
}

// timing returns the hedge delay, the extra latencies and the time left of the request, with which a cluster compares its replicas.
func (e *execution) timing() cluster.Timing {
	return cluster.Timing{
		HedgeDelay: e.plan.HedgeDelay(balancer.SameDomain), ExtraLatency: e.plan.ExtraLatency, Objective: max(0, time.Until(e.plan.Objective)),
	}
}

// newestInFlight returns the newest attempt in flight, or nil if there is none.
func (s *subrequest) newestInFlight() *attempt {
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if !s.attempts[i].hasEnded {
			return s.attempts[i]
		}
	}
	return nil
}

func (s *subrequest) sendFirst(now time.Time) {
	if s.delegatedRegion != "" {
		s.sendAfterDelegation(now)
		return
	}
	if s.isRegional() && !s.cluster.HasPromptReplica(s.route, s.timing()) {
		s.fail() // the instance that asked can reach the upstreams of other regions as well
		return
	}
	r, ok := s.cluster.Pick(balancer.First, s.route, s.outsideReplicas(), s.timing())
	if !ok {
		s.recheckOrFail(now)
		return
	}
	s.send(r, now)
}

// retry sends another attempt after all earlier ones have failed.
func (s *subrequest) retry(now time.Time) {
	if s.countPossiblyRun() >= s.attemptLimit() {
		s.failUnlessGrantable()
		return
	}
	r, ok := s.cluster.Pick(balancer.Retry, s.route, append(s.usedReplicas(), s.outsideReplicas()...), s.timing())
	if !ok && !s.isRegional() {
		// No unused replica is available. One that failed may get the request again unless the route is non-idempotent.
		r, ok = s.cluster.Pick(balancer.Retry, s.route, s.excludedReplicas(), s.timing())
	}
	if !ok {
		s.recheckOrFail(now)
		return
	}
	if !s.allowExtra(s.cluster.Spend) {
		s.scheduleRecheck(now)
		return
	}
	s.send(r, now)
}

// recheckOrFail schedules a recheck if an upstream may accept the request in time. Otherwise the subrequest fails.
func (s *subrequest) recheckOrFail(now time.Time) {
	if from, ok := s.cluster.CanServe(s.route); ok && !s.isRegional() && from.Before(s.latestUse()) {
		s.scheduleRecheck(now)
		return
	}
	s.fail()
}

// latestUse returns the time after which an answer to the subrequest is of no use: the objective if the reply can do without it.
func (s *subrequest) latestUse() time.Time {
	if s.route.IsGather() && len(s.subrequests)-s.failed > s.required {
		return s.plan.Objective
	}
	return s.plan.ReplyDeadline
}

// hedge sends another attempt if slow, the newest one in flight, is older than its hedge delay. An attempt that was not sent yet is
// replaced. While the hedge is decided, slow cannot begin to be sent: otherwise both could reach an upstream.
func (s *subrequest) hedge(slow *attempt, now time.Time) {
	if late := slow.start.Add(s.plan.HedgeDelay(slow.replica.Distance())); now.Before(late) {
		s.dueAt = late
		return
	}
	if s.isRegional() {
		return // the instance that asked sends the hedge
	}
	defer slow.gate.hold()()
	if s.route.NonIdempotent && slow.gate.isSent() {
		return
	}
	if s.countPossiblyRun() >= s.attemptLimit() {
		s.needsGrant = s.canBeGranted()
		return
	}
	purpose := balancer.Hedge
	if now.Sub(slow.start) >= lostAttemptFactor*s.plan.HedgeDelay(slow.replica.Distance()) {
		purpose = balancer.Retry // a replica with a poor record is better than none
	}
	r, ok := s.cluster.Pick(purpose, s.route, s.usedReplicas(), s.timing())
	if !ok {
		s.scheduleRecheck(now)
		return
	}
	if !s.allowExtra(s.cluster.SpendAboveReserve) {
		s.scheduleRecheck(now)
		return
	}
	if slow.gate.withdraw() {
		slow.cancel() // the hedge replaces it
	}
	s.meter.Count("crocuswing_forward_hedges_total")
	s.send(r, now)
}

// allowExtra charges an extra attempt to the retry budget and reports whether it may be sent. While no attempt can have
// reached an upstream, it charges nothing.
func (s *subrequest) allowExtra(spend func() bool) bool {
	if s.countSent() == 0 {
		return true
	}
	s.overBudget = !spend()
	return !s.overBudget
}

// outsideReplicas returns the names of the replicas that must not get the request from this instance: for an aggregate, those in other
// regions.
func (s *subrequest) outsideReplicas() []string {
	if !s.isRegional() {
		return nil
	}
	return s.cluster.Names(s.region, false)
}

func (s *subrequest) scheduleRecheck(now time.Time) { s.dueAt = now.Add(recheckInterval) }

func (s *subrequest) fail() {
	s.hasFailed = true
	s.failed++
}

// send starts an attempt. The attempt is canceled if the caller disconnects, but not when another one is answered, unless it
// is slow (see cancelSlow): its outcome still counts in the replica's record, and canceling it would cost a connection.
func (s *subrequest) send(r *cluster.Replica, now time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), s.plan.Deadline)
	a := &attempt{replica: r, cancel: cancel, start: now, gate: new(sendGate)}
	s.attempts = append(s.attempts, a)
	hedgeDelay := s.plan.HedgeDelay(r.Distance())
	s.dueAt = now.Add(hedgeDelay)
	s.history.Begin(r.Name(), now)
	index := len(s.attempts) - 1
	snd := sender{Runner: s.Runner, request: s.request, route: s.route, cluster: s.cluster, replica: r, gate: a.gate, start: now, deadline: s.plan.Deadline, hedgeDelay: hedgeDelay}
	s.inFlight.Go(func() {
		defer cancel()
		res := snd.run(ctx)
		res.subrequest, res.attempt = s, index
		s.deliver(res)
	})
}

// isRegional reports whether the subrequest goes only to upstreams of this region, on behalf of an instance of another one.
func (s *subrequest) isRegional() bool { return s.isAggregate && !s.isNear }

// canBeGranted reports whether a grant would permit more attempts.
func (s *subrequest) canBeGranted() bool { return s.isNear && !s.isGranted }

// failUnlessGrantable fails the subrequest, or leaves it to a grant if one can permit another attempt.
func (s *subrequest) failUnlessGrantable() {
	if s.canBeGranted() {
		s.needsGrant = true
		return
	}
	s.fail()
}

// useGrant goes on with a subrequest that waits for the grant.
func (s *subrequest) useGrant(now time.Time) {
	if s.needsGrant {
		s.needsGrant = false
		s.advance(now)
	}
}

// cancel cancels the attempts in flight and reports whether any attempt may have run. An attempt that has not been sent yet
// never will be.
func (s *subrequest) cancel() (mayHaveRun bool) {
	mayHaveRun = s.isSentByAggregator
	for _, a := range s.attempts {
		if a.hasEnded {
			mayHaveRun = mayHaveRun || !a.notRun
			continue
		}
		if !a.gate.withdraw() {
			mayHaveRun = true
		}
		a.cancel()
	}
	return mayHaveRun
}

// cancelSlow cancels the attempts in flight on slow upstreams: all of them if the subrequest has no answer, otherwise those
// that exceed their hedge delay. The others are about to end, and canceling them would cost a connection each.
func (s *subrequest) cancelSlow(now time.Time) {
	for _, a := range s.attempts {
		if !a.hasEnded && (!s.isAnswered || now.Sub(a.start) > s.plan.HedgeDelay(a.replica.Distance())) {
			a.cancel()
		}
	}
}
