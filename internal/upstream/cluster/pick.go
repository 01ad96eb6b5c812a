package cluster

import (
	"slices"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/locality"
	"crocuswing/internal/routing/route"
)

const (
	// stuckFraction is the share of the hedge delay that is passed to balancer.Pick, which counts an attempt in flight as stuck
	// after four times the given duration, that is soon after its hedge is due.
	stuckFraction = 0.3
	// failurePenalty is the cost of a failed attempt in hedge delays. It is high because a retry uses one of the few extra attempts.
	failurePenalty = 10
	// probeReserve is the number of extra attempts, or half of the retry budget if that is less, that must be left for a probe of
	// a suspect replica, so that probes do not take the attempts that retries and other hedges need.
	probeReserve = 4
)

// Timing is the expected duration of attempts.
type Timing struct {
	// HedgeDelay is the time after which an attempt at the nearest distance is hedged.
	HedgeDelay time.Duration
	// ExtraLatency is the additional network latency of each distance.
	ExtraLatency [balancer.OtherRegion + 1]time.Duration
	// Objective is the time that is left until the objective of the request; 0 if unknown.
	Objective time.Duration
}

// choice is what a pick is made from: the replicas that may receive the request, each with its candidate.
type choice struct {
	replicas     []*Replica
	candidates   []balancer.Candidate
	shares       locality.Shares
	price        time.Duration // of a crossing to another failure domain
	hasShares    bool          // the shares of the failure domains are in force for the service
	suspectAfter time.Duration
}

// Pick returns the replica for an attempt of a request on the route, and false if no replica may receive it. attempted lists the
// replicas that must not receive the request again.
func (c *Cluster) Pick(p balancer.Purpose, rt *route.Route, attempted []string, timing Timing) (*Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.subsetFraction < 1 && now.Sub(c.subsetUpdated) >= subsetInterval {
		c.updateSubset(now)
	}
	var replicaBuf [8]*Replica
	var candidateBuf [8]balancer.Candidate
	ch := c.newChoice(replicaBuf[:0], candidateBuf[:0], rt, attempted, timing, now)
	// Assigning ch.shares to c.shares would move the buffers to the heap.
	shares, ok := c.nextShares(timing, now)
	if ok {
		c.shares = shares
	}
	ch.shares, ch.hasShares = shares, ok
	i, ok := c.probeIndex(&ch, p, timing.HedgeDelay, now)
	if ok {
		ok = c.history.TakeProbe(ch.candidates[i].Upstream, now)
	}
	if !ok {
		i, ok = ch.pick(p, c.intn)
	}
	if !ok {
		return nil, false
	}
	r := ch.replicas[i]
	if c.coldShare != nil && r.isCold(now) {
		r.recordColdSend(now)
	}
	return r, true
}

// newChoice returns the choice among the replicas that may receive the request, which it appends to the given slices, without
// the shares. It changes nothing in the cluster.
func (c *Cluster) newChoice(replicas []*Replica, candidates []balancer.Candidate, rt *route.Route, attempted []string, timing Timing, now time.Time) choice {
	for _, r := range c.replicas {
		if c.exclusion(r, rt, now) != "" || slices.Contains(attempted, r.Name()) {
			continue
		}
		candidates = append(candidates, c.candidate(r, timing, now))
		replicas = append(replicas, r)
	}
	return choice{replicas: replicas, candidates: candidates, suspectAfter: stuckAfter(timing), price: c.price()}
}

// stuckAfter returns the duration that is passed to the balancer as the tail latency.
func stuckAfter(timing Timing) time.Duration {
	return time.Duration(stuckFraction * float64(timing.HedgeDelay))
}

// pick returns the index of the replica for an attempt that is not a probe. A first attempt goes to the failure domain that the shares
// give, unless its replicas cannot take it at once.
func (ch *choice) pick(p balancer.Purpose, intn func(int) int) (int, bool) {
	if i, ok := ch.pickByShare(p, intn); ok {
		return i, true
	}
	return balancer.Pick(ch.candidates, p, ch.suspectAfter, intn)
}

// exclusion returns why the replica may not receive a request of the route whatever its state, or "".
func (c *Cluster) exclusion(r *Replica, rt *route.Route, now time.Time) string {
	switch {
	case c.excluded[r.registration.FailureDomain]:
		return "its failure domain is out"
	case !rt.Allows(r.region):
		return "its region is not allowed"
	case !c.hasColdCapacity(r, now):
		return "its cold rate is used up"
	}
	return ""
}

// isAllowed reports whether requests of the route may go to the failure domain and the region of the replica.
func (c *Cluster) isAllowed(r *Replica, rt *route.Route) bool {
	return !c.excluded[r.registration.FailureDomain] && rt.Allows(r.region)
}

// probeIndex returns the index of a suspect replica that is due for a probe. The probe is the first attempt of a request, which is
// hedged after the usual delay if the replica is still slow.
func (c *Cluster) probeIndex(ch *choice, p balancer.Purpose, hedgeDelay time.Duration, now time.Time) (int, bool) {
	if p != balancer.First || len(ch.candidates) < 2 || !c.HasSpare(probeReserve) {
		return 0, false
	}
	for i := range ch.candidates {
		r := &ch.candidates[i]
		if r.State == balancer.StateAvailable && r.Record.InFlight == 0 && r.Record.IsSuspect(hedgeDelay) && c.history.IsProbeDue(r.Upstream, now) {
			return i, true
		}
	}
	return 0, false
}

func (c *Cluster) candidate(r *Replica, timing Timing, now time.Time) balancer.Candidate {
	record := c.history.Get(r.Name(), now)
	record.OldestAge = max(0, record.OldestAge-timing.ExtraLatency[r.distance])
	return balancer.Candidate{
		Upstream:   r.Name(),
		State:      r.state(now, c.drainTime),
		Distance:   r.distance,
		Transient:  r.transient,
		Load:       r.load,
		LoadAge:    now.Sub(r.loadAt),
		WorkFactor: r.relativeFactor(),
		Path:       timing.ExtraLatency[r.distance],
		Penalty:    time.Duration(failurePenalty * r.failureRate(now) * float64(timing.HedgeDelay)),
		Record:     record,
	}
}
