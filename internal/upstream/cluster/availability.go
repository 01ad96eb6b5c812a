package cluster

import (
	"slices"
	"time"

	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
)

// AppendRegions appends to dst the regions with a replica that can take a first attempt of a request of the route, and reports whether
// one of these replicas is in the region of this instance. Those that do not answer at present do not count.
func (c *Cluster) AppendRegions(dst []string, rt *route.Route, timing Timing) (regions []string, isNear bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.replicas {
		if !c.isUsableNow(r, rt, timing, now) {
			continue
		}
		isNear = isNear || r.distance < balancer.OtherRegion
		if !slices.Contains(dst, r.region) {
			dst = append(dst, r.region)
		}
	}
	return dst, isNear
}

// HasPromptReplica reports whether a replica of this region can be expected to answer a request of the route without delay: it answers
// at present, and a connection to it is free.
func (c *Cluster) HasPromptReplica(rt *route.Route, timing Timing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(c.replicas, func(r *Replica) bool {
		return r.distance < balancer.OtherRegion && c.isUsableNow(r, rt, timing, now) && r.link.HasCapacity()
	})
}

// isUsableNow reports whether the replica can take a first attempt of a request of the route and answers at present.
func (c *Cluster) isUsableNow(r *Replica, rt *route.Route, timing Timing, now time.Time) bool {
	if !c.isAllowed(r, rt) || !c.hasColdCapacity(r, now) {
		return false
	}
	candidate := c.candidate(r, timing, now)
	isStuck := candidate.Record.OldestAge > timing.HedgeDelay || candidate.Record.Misses >= failingMisses
	return (candidate.State == balancer.StateAvailable || candidate.State == balancer.StateCold) && !isStuck
}

// MaySend reports whether a replica that Pick returned may still receive the request. An upstream may have announced that it is
// leaving, or asked for a pause, while the request waited for a connection.
func (c *Cluster) MaySend(r *Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return !c.excluded[r.registration.FailureDomain] && r.state(now, c.drainTime) != balancer.StateUnavailable && !r.isPaused(now)
}

// CanServe returns the time from which a replica accepts requests of the route, and false if no replica will soon. The time is in the
// past unless all of these replicas have requested a pause.
func (c *Cluster) CanServe(rt *route.Route) (from time.Time, ok bool) {
	return c.firstAvailable(rt, func(*Replica, time.Time) bool { return true })
}

// CanServeNow is like CanServe, but leaves out the cold replicas that have reached their rate limit.
func (c *Cluster) CanServeNow(rt *route.Route) (from time.Time, ok bool) {
	return c.firstAvailable(rt, c.hasColdCapacity)
}

// firstAvailable returns the earliest end of a pause among the replicas that can accept requests of the route and satisfy match.
func (c *Cluster) firstAvailable(rt *route.Route, match func(r *Replica, now time.Time) bool) (from time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, r := range c.replicas {
		if !c.isAllowed(r, rt) || r.state(now, c.drainTime) == balancer.StateUnavailable || r.isDown(now) || !match(r, now) {
			continue
		}
		if !ok || r.pausedUntil.Before(from) {
			from, ok = r.pausedUntil, true
		}
	}
	return from, ok
}
