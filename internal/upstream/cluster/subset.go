package cluster

import (
	"cmp"
	"slices"
	"time"

	"crocuswing/internal/query/balancer"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetInterval is the time between updates of the subset, well below the time that a process takes to restart.
	subsetInterval = 50 * time.Millisecond
	// failingMisses is the number of consecutive misses after which a replica leaves the subset; a pause of the upstream counts
	// as one miss.
	failingMisses = 3
	// preconnectRetryInterval is the time between two dials to a replica without a connection, so that an unreachable upstream costs
	// one dial per interval.
	preconnectRetryInterval = 2 * time.Second
)

// sortReplicas sorts the replicas by distance, the nearest first, and those at the same distance in an order specific to this
// instance by rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
// Transactions on Networking 6(1), 1998.
func (c *Cluster) sortReplicas() {
	slices.SortFunc(c.replicas, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance),
			cmp.Compare(xxhash.Sum64String(c.instance+" "+a.Name()), xxhash.Sum64String(c.instance+" "+b.Name())), cmp.Compare(a.Name(), b.Name()))
	})
}

// updateSubset selects the replicas to which this instance keeps connections: the first usable ones, up to subsetFraction of all.
func (c *Cluster) updateSubset(now time.Time) {
	c.subsetUpdated = now
	if c.subsetFraction >= 1 {
		for _, r := range c.replicas {
			r.setTransient(false)
		}
		return
	}
	left := max(1, int(c.subsetFraction*float64(len(c.replicas))))
	if c.subsetFraction <= 0 {
		left = 0
	}
	for _, r := range c.replicas {
		isKept := left > 0 && c.isUsable(r, now)
		if isKept {
			left--
		}
		r.setTransient(!isKept)
	}
}

// isUsable reports whether it is worth keeping connections to the replica.
func (c *Cluster) isUsable(r *Replica, now time.Time) bool {
	state := r.state(now, c.drainTime)
	return !c.excluded[r.registration.FailureDomain] && state != balancer.StateUnavailable && state != balancer.StateLeaving && !r.isDown(now) &&
		c.history.Get(r.Name(), now).Misses < failingMisses
}

// Preconnect starts to open a connection to each of at most limit replicas that have fewer than are opened in advance, and returns the
// number of dials started.
func (c *Cluster) Preconnect(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	opened := 0
	for _, r := range c.replicas {
		if opened == limit {
			break
		}
		state := r.state(now, c.drainTime)
		if r.transient || c.excluded[r.registration.FailureDomain] || state == balancer.StateUnavailable || state == balancer.StateLeaving || now.Sub(r.preconnectedAt) < preconnectRetryInterval {
			continue
		}
		r.preconnectedAt = now
		if r.link.Preconnect(c.preconnected) {
			opened++
		}
	}
	return opened
}
