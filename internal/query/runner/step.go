package runner

import (
	"time"

	"crocuswing/internal/query/balancer"
)

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
	// probeReserve is the minimum number of tokens for a probe, so that probes leave tokens for hedges.
	probeReserve = 5
)

// sendFirst sends the first attempt on a shard, and an additional probe to each suspect replica that is due for one.
func (x *execution) sendFirst(i int, now time.Time) {
	candidates := x.candidates(i, now)
	c, ok := x.pickColdProbe(candidates, now)
	if !ok {
		c, ok = balancer.Pick(candidates, balancer.First, x.hedgeDelay, x.intn)
	}
	if !ok {
		x.backOff(i, now)
		return
	}
	x.firstAttempts.Add(1)
	x.schedule(&x.shards[i], now.Add(x.hedgeDelay))
	x.send(i, candidates[c].Upstream, now, false)
	for p := range candidates {
		if candidates[p].Record.IsSuspect(x.hedgeDelay) {
			x.probeSuspect(i, &candidates[p], p == c, now)
		} else {
			x.maxExpectedLatency = max(x.maxExpectedLatency, candidates[p].ExpectedLatency())
		}
	}
}

// pickColdProbe returns the index of a cold suspect replica that is due for a probe. Such a replica receives the first attempt instead
// of an additional probe: a cold upstream must not receive extra load, but without any attempts it would never become warm.
func (x *execution) pickColdProbe(candidates []balancer.Candidate, now time.Time) (int, bool) {
	for i := range candidates {
		c := &candidates[i]
		if c.State == balancer.StateCold && c.Record.IsSuspect(x.hedgeDelay) && !c.IsFull() &&
			c.Record.InFlight == 0 && x.history.TakeProbe(c.Upstream, now) {
			return i, true
		}
	}
	return 0, false
}

// probeSuspect sends a probe to a suspect replica in addition to the first attempt, so that no answer depends on it.
func (x *execution) probeSuspect(i int, c *balancer.Candidate, isFirst bool, now time.Time) {
	if !isFirst && x.takeProbe(c, now) {
		x.sendExtra(i, c.Upstream, now, true, "crocuswing_probes_total")
	}
}

// takeProbe reports whether a probe to c is due and paid for. It spends a hedge token, or a retry token if the preset has no hedge
// share.
func (x *execution) takeProbe(c *balancer.Candidate, now time.Time) bool {
	bucket := x.hedgeTokens
	if x.plan.Preset.HedgeShare == 0 {
		bucket = x.retryTokens
	}
	return c.State == balancer.StateAvailable && c.Record.InFlight == 0 &&
		bucket.Tokens() >= probeReserve && x.history.TakeProbe(c.Upstream, now) && bucket.Spend()
}

// step sends the attempt that is due on a shard, if any.
func (x *execution) step(i int, now time.Time) {
	s := &x.shards[i]
	switch {
	case x.gatherer.HasPart(i):
		s.due = time.Time{}
	case len(s.attempts) == 0:
		x.sendFirst(i, now)
	case s.inFlight == 0:
		x.retry(i, now, false, false)
	default:
		x.hedgeOrRescue(i, now)
	}
}

// retry sends another attempt after all earlier ones have ended, or backs off if that is not possible. With unusedOnly it picks only
// replicas without an earlier attempt on this shard: it is set directly after a failure, so that the other replicas are used again only
// after a backoff. A free retry spends no token.
func (x *execution) retry(i int, now time.Time, unusedOnly, free bool) {
	s := &x.shards[i]
	candidates := x.candidates(i, now)
	if x.isSnapshotGone(s, candidates) {
		x.switchSnapshot(i, now)
		return
	}
	candidates = s.withoutAttempted(candidates, func(a attemptState) bool { return unusedOnly || a.status == statusSnapshotGone })
	c, ok := balancer.Pick(candidates, balancer.Retry, x.hedgeDelay, x.intn)
	if ok = ok && x.hasTime(&candidates[c], now) && (free || x.retryTokens.Spend()); !ok {
		x.backOff(i, now)
		return
	}
	s.hedged, s.rescues = false, 0
	x.schedule(s, now.Add(x.hedgeDelay))
	x.sendExtra(i, candidates[c].Upstream, now, false, "crocuswing_retries_total")
}

// hedgeOrRescue sends an additional attempt while one is in flight: a hedge after the hedge delay, and further attempts (rescues) paid
// with retry tokens while the shard is stuck.
func (x *execution) hedgeOrRescue(i int, now time.Time) {
	s := &x.shards[i]
	rescueAt := s.oldestStart().Add(x.rescueAge << s.rescues)
	next := now.Add(x.hedgeDelay)
	switch {
	case !now.Before(rescueAt):
		if x.rescueShard(i, now) {
			s.rescues++
		}
	case s.hedged:
		next = rescueAt
	default:
		if hedgeAt := x.hedge(i, now); hedgeAt.After(now) {
			next = hedgeAt
		}
	}
	if now.Before(rescueAt) && rescueAt.Before(next) {
		next = rescueAt
	}
	x.schedule(s, next)
}

// hedge sends a second attempt. If it is too early for one to win, it returns the time to send it; otherwise it returns now.
func (x *execution) hedge(i int, now time.Time) (hedgeAt time.Time) {
	s := &x.shards[i]
	candidates := s.withoutAttempted(x.candidates(i, now), func(attemptState) bool { return true })
	c, ok := balancer.Pick(candidates, balancer.Hedge, x.hedgeDelay, x.intn)
	if !ok || !x.hasTime(&candidates[c], now) {
		return now
	}
	if hedgeAt = x.hedgeTime(s, &candidates[c], now); hedgeAt.After(now) {
		return hedgeAt
	}
	if s.hedgeDenied = !x.mayHedge() || !x.hedgeTokens.Spend(); s.hedgeDenied {
		return now
	}
	x.hedgeCount++
	s.hedged = true
	x.sendExtra(i, candidates[c].Upstream, now, false, "crocuswing_hedges_total")
	return now
}

// mayHedge limits the hedges of one query to half of the tokens that it found, so that one query cannot spend them all.
func (x *execution) mayHedge() bool { return float64(x.hedgeCount) < x.hedgeTokens.Tokens() }

// hedgeTime returns the earliest time at which a hedge to c is likely to win. The time by which the attempt in flight exceeds its
// upstream's usual latency estimates how much longer it takes; a hedge is sent once this is half of the latency expected of c.
func (x *execution) hedgeTime(s *shardState, c *balancer.Candidate, now time.Time) time.Time {
	for _, a := range s.attempts {
		if a.status == statusInFlight {
			latency := min(x.history.Get(a.upstream, now).Latency, x.hedgeDelay)
			return a.start.Add(max(x.hedgeDelay, latency+c.ExpectedLatency()/2))
		}
	}
	return now
}

// rescueShard sends one more attempt on a stuck shard, if necessary to a replica that already has one, because the connection of the
// attempt in flight may be stalled.
func (x *execution) rescueShard(i int, now time.Time) bool {
	s := &x.shards[i]
	candidates := s.withoutAttempted(x.candidates(i, now), func(attemptState) bool { return true })
	c, ok := balancer.Pick(candidates, balancer.Retry, x.hedgeDelay, x.intn)
	if !ok {
		candidates = s.withoutAttempted(x.candidates(i, now), func(a attemptState) bool { return a.status == statusSnapshotGone })
		c, ok = balancer.Pick(candidates, balancer.Retry, x.hedgeDelay, x.intn)
	}
	if !ok || !x.hasTime(&candidates[c], now) || !x.retryTokens.Spend() {
		return false
	}
	x.sendExtra(i, candidates[c].Upstream, now, false, "crocuswing_rescues_total")
	return true
}

func (x *execution) sendExtra(i int, upstream string, now time.Time, probe bool, metric string) {
	x.extraAttempts.Add(1)
	x.meter.Count(metric)
	x.send(i, upstream, now, probe)
}

// backOff schedules the next step of a shard for which no replica or token was available, with an exponentially growing delay.
func (x *execution) backOff(i int, now time.Time) {
	s := &x.shards[i]
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	x.schedule(s, now.Add(s.backoff))
}

// candidates returns the replicas of a shard with their records. The slice is valid until the next call.
func (x *execution) candidates(i int, now time.Time) []balancer.Candidate {
	x.buf = x.sender.Candidates(x.buf[:0], x.plan.Shards[i])
	for c := range x.buf {
		x.buf[c].Record = x.history.Get(x.buf[c].Upstream, now)
	}
	return x.buf
}

// hasTime reports whether an attempt on c is expected to end before the deadline.
func (x *execution) hasTime(c *balancer.Candidate, now time.Time) bool {
	return x.deadline.Sub(now) > c.ExpectedLatency()
}

// isSnapshotGone reports whether every eligible replica has answered that it does not serve the snapshot.
func (x *execution) isSnapshotGone(s *shardState, candidates []balancer.Candidate) bool {
	gone := false
	for i := range candidates {
		if !candidates[i].IsEligible(balancer.First, x.hedgeDelay) {
			continue
		}
		if !s.reportedGone(candidates[i].Upstream) {
			return false
		}
		gone = true
	}
	return gone
}

// switchSnapshot ends the execution if there is another snapshot. Otherwise the shard backs off and checks again later.
func (x *execution) switchSnapshot(i int, now time.Time) {
	next, ok := x.replan()
	if !ok {
		x.backOff(i, now)
		return
	}
	x.nextPlan = next
	x.snapshotGone = true
}

// withoutAttempted filters candidates in place: it removes the replicas with an attempt for which drop returns true.
func (s *shardState) withoutAttempted(candidates []balancer.Candidate, drop func(attemptState) bool) []balancer.Candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		dropped := false
		for _, a := range s.attempts {
			dropped = dropped || (a.upstream == c.Upstream && drop(a))
		}
		if !dropped {
			kept = append(kept, c)
		}
	}
	return kept
}

func (s *shardState) reportedGone(upstream string) bool {
	for _, a := range s.attempts {
		if a.upstream == upstream && a.status == statusSnapshotGone {
			return true
		}
	}
	return false
}

// oldestStart returns the start of the oldest attempt in flight, or the zero time if there is none.
func (s *shardState) oldestStart() time.Time {
	for _, a := range s.attempts {
		if a.status == statusInFlight {
			return a.start
		}
	}
	return time.Time{}
}
