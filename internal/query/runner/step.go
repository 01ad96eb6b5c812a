package runner

import (
	"time"

	"crocuswing/internal/query/balancer"
)

const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
	// probeReserve is the number of tokens that probes leave to hedges.
	probeReserve = 5
)

// begin sends the first attempt on a shard, and a probe beside it if a suspect replica is due for one.
func (x *execution) begin(i int, now time.Time) {
	all := x.candidates(i, now)
	c, ok := x.trial(all, now)
	if !ok {
		c, ok = balancer.Pick(all, balancer.First, x.usual, x.intn)
	}
	if !ok {
		x.park(i, now)
		return
	}
	x.first.Add(1)
	x.setDue(&x.slots[i], now.Add(x.usual))
	x.send(i, all[c].Upstream, now, false)
	for p := range all {
		if all[p].Record.IsSuspect(x.usual) {
			x.probe(i, &all[p], p == c, now)
		} else {
			x.farthest = max(x.farthest, all[p].ExpectedLatency())
		}
	}
}

// trial picks a cold suspect replica that is due for another try. It gets the first attempt and no probe
// beside one, since a cold upstream gets no extra work, and without any it would never be warm again.
func (x *execution) trial(all []balancer.Candidate, now time.Time) (int, bool) {
	for i := range all {
		c := &all[i]
		if c.State == balancer.StateCold && c.Record.IsSuspect(x.usual) && !c.IsFull() &&
			c.Record.InFlight == 0 && x.history.TakeProbe(c.Upstream, now) {
			return i, true
		}
	}
	return 0, false
}

// probe tries a suspect replica beside the first attempt, so that no answer waits for it.
func (x *execution) probe(i int, c *balancer.Candidate, isFirst bool, now time.Time) {
	if !isFirst && x.isProbeDue(c, now) {
		x.extraAttempt(i, c.Upstream, now, true, "crocuswing_probes_total")
	}
}

// isProbeDue spends a token if it reports true: of the hedge budget, or if the preset gives it no share,
// of the retry budget.
func (x *execution) isProbeDue(c *balancer.Candidate, now time.Time) bool {
	tokens := x.hedges
	if x.plan.Preset.HedgeShare == 0 {
		tokens = x.retries
	}
	return c.State == balancer.StateAvailable && c.Record.InFlight == 0 &&
		tokens.Tokens() >= probeReserve && x.history.TakeProbe(c.Upstream, now) && tokens.Spend()
}

// step does what is due on a shard.
func (x *execution) step(i int, now time.Time) {
	s := &x.slots[i]
	switch {
	case x.gather.HasPart(i):
		s.due = time.Time{}
	case len(s.tries) == 0:
		x.begin(i, now)
	case s.open == 0:
		x.again(i, now, false, false)
	default:
		x.help(i, now)
	}
}

// again follows attempts that all failed: at once on a replica that was not tried, else after a wait.
// A free retry takes nothing from the budget.
func (x *execution) again(i int, now time.Time, fresh, free bool) {
	s := &x.slots[i]
	all := x.candidates(i, now)
	if x.isGone(s, all) {
		x.leaveSnapshot(i, now)
		return
	}
	all = s.without(all, func(t try) bool { return fresh || t.state == tryGone })
	c, ok := balancer.Pick(all, balancer.Retry, x.usual, x.intn)
	if ok = ok && x.hasTime(&all[c], now) && (free || x.retries.Spend()); !ok {
		x.park(i, now)
		return
	}
	s.hedged, s.rescues = false, 0
	x.setDue(s, now.Add(x.usual))
	x.extraAttempt(i, all[c].Upstream, now, false, "crocuswing_retries_total")
}

// help sends an attempt beside one in flight: a hedge after its usual time, and further ones from the
// budget of retries while the shard is stuck.
func (x *execution) help(i int, now time.Time) {
	s := &x.slots[i]
	stuck := s.begun().Add(x.rescue << s.rescues)
	next := now.Add(x.usual)
	switch {
	case !now.Before(stuck):
		if x.rescueShard(i, now) {
			s.rescues++
		}
	case s.hedged:
		next = stuck
	default:
		if worth := x.hedge(i, now); worth.After(now) {
			next = worth
		}
	}
	if now.Before(stuck) && stuck.Before(next) {
		next = stuck
	}
	x.setDue(s, next)
}

// hedge sends a second attempt, or gives the time from which one would be worth its load.
func (x *execution) hedge(i int, now time.Time) (worth time.Time) {
	s := &x.slots[i]
	all := s.without(x.candidates(i, now), func(try) bool { return true })
	c, ok := balancer.Pick(all, balancer.Hedge, x.usual, x.intn)
	if !ok || !x.hasTime(&all[c], now) {
		return now
	}
	if worth = x.worth(s, &all[c], now); worth.After(now) {
		return worth
	}
	if s.denied = !x.mayHedge() || !x.hedges.Spend(); s.denied {
		return now
	}
	x.hedged++
	s.hedged = true
	x.extraAttempt(i, all[c].Upstream, now, false, "crocuswing_hedges_total")
	return now
}

// mayHedge keeps one query from emptying the budget: it spends at most half of what it finds.
func (x *execution) mayHedge() bool { return float64(x.hedged) < x.hedges.Tokens() }

// worth is the time from which a hedge to c is likely to win: what an attempt has overrun is a measure of
// what it still lacks, and c needs its own time.
func (x *execution) worth(s *slot, c *balancer.Candidate, now time.Time) time.Time {
	for _, t := range s.tries {
		if t.state == tryOpen {
			usual := min(x.history.Record(t.upstream, now).Latency, x.usual)
			return t.start.Add(max(x.usual, usual+c.ExpectedLatency()/2))
		}
	}
	return now
}

// rescueShard tries a replica once more; the link of the attempt in flight may be silent.
func (x *execution) rescueShard(i int, now time.Time) bool {
	s := &x.slots[i]
	all := s.without(x.candidates(i, now), func(try) bool { return true })
	c, ok := balancer.Pick(all, balancer.Retry, x.usual, x.intn)
	if !ok {
		all = s.without(x.candidates(i, now), func(t try) bool { return t.state == tryGone })
		c, ok = balancer.Pick(all, balancer.Retry, x.usual, x.intn)
	}
	if !ok || !x.hasTime(&all[c], now) || !x.retries.Spend() {
		return false
	}
	x.extraAttempt(i, all[c].Upstream, now, false, "crocuswing_rescues_total")
	return true
}

func (x *execution) extraAttempt(i int, upstream string, now time.Time, probe bool, metric string) {
	x.extra.Add(1)
	x.meter.Count(metric)
	x.send(i, upstream, now, probe)
}

// park lets a shard wait until a replica or a token of the budget may be there.
func (x *execution) park(i int, now time.Time) {
	s := &x.slots[i]
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	x.setDue(s, now.Add(s.backoff))
}

// candidates gives what is known of the replicas of a shard, until the next call.
func (x *execution) candidates(i int, now time.Time) []balancer.Candidate {
	x.buf = x.sender.Candidates(x.buf[:0], x.plan.Shards[i])
	for c := range x.buf {
		x.buf[c].Record = x.history.Record(x.buf[c].Upstream, now)
	}
	return x.buf
}

// hasTime tells whether one more attempt on c would usually end before the deadline.
func (x *execution) hasTime(c *balancer.Candidate, now time.Time) bool {
	return x.deadline.Sub(now) > c.ExpectedLatency()
}

// isGone tells whether every replica that may get an attempt has said that it does not serve the snapshot.
func (x *execution) isGone(s *slot, all []balancer.Candidate) bool {
	gone := false
	for i := range all {
		if !all[i].IsEligible(balancer.First, x.usual) {
			continue
		}
		if !s.saidGone(all[i].Upstream) {
			return false
		}
		gone = true
	}
	return gone
}

// leaveSnapshot ends the execution if there is another snapshot, else the query waits for one.
func (x *execution) leaveSnapshot(i int, now time.Time) {
	next, ok := x.restart()
	if !ok {
		x.park(i, now)
		return
	}
	x.next = next
	x.gone = true
}

// without filters all in place: it drops the replicas with an attempt for which drop reports true.
func (s *slot) without(all []balancer.Candidate, drop func(try) bool) []balancer.Candidate {
	kept := all[:0]
	for _, c := range all {
		dropped := false
		for _, t := range s.tries {
			dropped = dropped || (t.upstream == c.Upstream && drop(t))
		}
		if !dropped {
			kept = append(kept, c)
		}
	}
	return kept
}

func (s *slot) saidGone(upstream string) bool {
	for _, t := range s.tries {
		if t.upstream == upstream && t.state == tryGone {
			return true
		}
	}
	return false
}

// begun is the start of the oldest attempt in flight.
func (s *slot) begun() time.Time {
	for _, t := range s.tries {
		if t.state == tryOpen {
			return t.start
		}
	}
	return time.Time{}
}
