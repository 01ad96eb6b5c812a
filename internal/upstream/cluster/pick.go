package cluster

import (
	"slices"
	"time"

	"crocuswing/internal/query/balancer"
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

// Pick returns the replica for an attempt of a request on the route, and false if no replica may receive it. attempted lists the
// replicas that must not receive the request again.
func (c *Cluster) Pick(p balancer.Purpose, rt *route.Route, attempted []string, timing Timing) (*Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.subsetFraction < 1 && now.Sub(c.subsetUpdated) >= subsetInterval {
		c.updateSubset(now)
	}
	var candidateBuf [8]balancer.Candidate
	candidates := candidateBuf[:0]
	var replicaBuf [8]*Replica
	replicas := replicaBuf[:0]
	for _, r := range c.replicas {
		if !c.isAllowed(r, rt) || !c.hasColdCapacity(r, now) || slices.Contains(attempted, r.Name()) {
			continue
		}
		candidates = append(candidates, c.candidate(r, timing, now))
		replicas = append(replicas, r)
	}
	i, ok := c.pickProbe(candidates, p, timing.HedgeDelay, now)
	if !ok {
		i, ok = balancer.Pick(candidates, p, time.Duration(stuckFraction*float64(timing.HedgeDelay)), c.intn)
	}
	if !ok {
		return nil, false
	}
	r := replicas[i]
	if c.coldRate >= 0 && r.isCold(now) {
		r.coldSendTimes = append(r.coldSendTimes, now)
	}
	return r, true
}

// isAllowed reports whether requests of the route may go to the failure domain and the region of the replica.
func (c *Cluster) isAllowed(r *Replica, rt *route.Route) bool {
	return !c.excluded[r.registration.FailureDomain] && rt.Allows(r.region)
}

// pickProbe returns the index of a suspect replica that is due for a probe. The probe is the first attempt of a request, which is
// hedged after the usual delay if the replica is still slow.
func (c *Cluster) pickProbe(candidates []balancer.Candidate, p balancer.Purpose, hedgeDelay time.Duration, now time.Time) (int, bool) {
	if p != balancer.First || len(candidates) < 2 || !c.HasSpare(probeReserve) {
		return 0, false
	}
	for i := range candidates {
		r := &candidates[i]
		if r.State == balancer.StateAvailable && r.Record.InFlight == 0 && r.Record.IsSuspect(hedgeDelay) &&
			c.history.TakeProbe(r.Upstream, now) {
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
