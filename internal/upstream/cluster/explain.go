package cluster

import (
	"math/rand/v2"
	"time"

	"crocuswing/internal/operator/routereport"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
)

const (
	// explainDraws is the number of picks from which the chances of replicas are estimated. The cluster is locked meanwhile.
	explainDraws = 50
	// maxExplainedReplicas bounds the size of an explanation.
	maxExplainedReplicas = 20
)

var distanceNames = [...]string{balancer.SameDomain: "same-domain", balancer.SameRegion: "same-region", balancer.OtherRegion: "other-region"}

var stateNames = [...]string{
	balancer.StateAvailable: "available", balancer.StateCold: "cold", balancer.StateShedding: "pausing", balancer.StateLeaving: "leaving",
	balancer.StateUnavailable: "unavailable",
}

// Explain returns what Pick would decide now for the first attempt of a request on the route. It runs the same decisions with random numbers of
// its own, and changes nothing.
func (c *Cluster) Explain(rt *route.Route, timing Timing) routereport.Service {
	from, ok := c.CanServeNow(rt)
	s := routereport.Service{Name: c.name, CanServe: ok, ExtraAttempts: c.Remaining()}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if ok {
		s.AvailableInMS = routereport.MS(max(0, from.Sub(now)))
	}
	ch := c.newChoice(nil, nil, rt, nil, timing, now)
	ch.shares, ch.hasShares = c.nextShares(timing, now)
	if s.ByLoad = ch.hasShares; s.ByLoad {
		s.Leaving = ch.shares.Leaving()
		for _, share := range ch.shares.All() {
			s.Domains = append(s.Domains, routereport.Domain{Name: share.Domain, Share: share.Share, Load: share.Load, ExpectedMS: routereport.MS(share.Expected)})
		}
	}
	chances := ch.chances()
	probe, isProbe := c.probeIndex(&ch, balancer.First, timing.HedgeDelay, now)
	for _, r := range c.replicas[:min(len(c.replicas), maxExplainedReplicas)] {
		e := c.explainReplica(r, rt, timing, now)
		for i, candidate := range ch.replicas {
			if candidate == r {
				e.Chance, e.Probe = chances[i], isProbe && i == probe
			}
		}
		s.Candidates = append(s.Candidates, e)
	}
	return s
}

// chances returns the share of first attempts that each candidate gets.
func (ch *choice) chances() []float64 {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chances := make([]float64, len(ch.candidates))
	for range explainDraws {
		if i, ok := ch.pick(balancer.First, rng.IntN); ok {
			chances[i] += 1.0 / explainDraws
		}
	}
	return chances
}

func (c *Cluster) explainReplica(r *Replica, rt *route.Route, timing Timing, now time.Time) routereport.Candidate {
	candidate := c.candidate(r, timing, now)
	suspectAfter := stuckAfter(timing)
	e := routereport.Candidate{
		Upstream: r.Name(), Domain: r.registration.FailureDomain, Region: r.region, Distance: distanceNames[r.distance], State: stateNames[candidate.State],
		Load: -1, Slots: r.slotCount(), WorkFactor: r.workFactor, InFlight: candidate.Record.InFlight, LatencyMS: routereport.MS(candidate.Record.Latency),
		Misses: candidate.Record.Misses, Rank: candidate.Rank(suspectAfter), CostMS: routereport.MS(candidate.Cost()), Connected: !r.transient,
	}
	if r.load >= 0 {
		e.Load, e.LoadAgeMS = r.load, routereport.MS(candidate.LoadAge)
	}
	e.RuledOut = c.exclusion(r, rt, now)
	if e.RuledOut == "" && !candidate.IsEligible(balancer.First, suspectAfter) {
		e.RuledOut = c.ineligibility(r, now)
	}
	return e
}

// ineligibility returns why the state of the replica permits no first attempt.
func (c *Cluster) ineligibility(r *Replica, now time.Time) string {
	_, isLeaving := r.departure.Announced()
	switch {
	case r.misdirected:
		return "its address belongs to another upstream"
	case r.registration.Draining:
		return "it is draining"
	case r.isPaused(now):
		return "it asked for a pause"
	case now.Before(r.shedUntil):
		return "it has just shed a request"
	case now.Before(r.backoffUntil):
		return "it refused a connection"
	case isLeaving:
		return "it is leaving"
	}
	return ""
}
