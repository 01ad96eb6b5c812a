// Package balancer selects the replica of a shard or service that receives an attempt. The runner of queries and package cluster call
// it for each attempt with what they know of the replicas.
//
// It compares two candidates and picks the one with the lower cost. See Mitzenmacher, "The power of two choices in randomized load
// balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001. The cost weights latency with the attempts in
// flight, as the Peak EWMA balancer of Finagle does.
package balancer

import (
	"math"
	"time"

	"crocuswing/internal/stats/history"
)

// State determines which attempts a replica may receive.
type State int

// States of a replica.
const (
	// StateAvailable permits every attempt.
	StateAvailable State = iota
	// StateCold permits first attempts, and retries unless the replica is full, but no hedges.
	StateCold
	// StateShedding permits no attempts until the time that the upstream asked for has passed.
	StateShedding
	// StateLeaving permits first attempts and retries if no other replica can take them.
	StateLeaving
	// StateUnavailable permits no attempts: the upstream is draining, excluded or unknown.
	StateUnavailable
)

// Distance is the network distance between this instance and a replica. Nearer ones have lower values.
type Distance int

// Distances of a replica.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Purpose is the reason for an attempt.
type Purpose int

// Purposes of an attempt.
const (
	// First is the first attempt on a shard.
	First Purpose = iota
	// Retry follows a failed attempt.
	Retry
	// Hedge is sent while an earlier attempt is still in flight.
	Hedge
)

const (
	costMargin         = 1.25        // costs within this factor count as equal
	loadMargin         = 0.25        // reported loads within this difference count as equal
	loadReportHalfLife = time.Second // age at which a reported load has half its weight
	latencyHalfLife    = time.Second // age at which the excess of a mean latency over the default is halved
	// workFactorHalfLife is the age at which a reported work factor has half its weight. Upstreams change it many times a second.
	workFactorHalfLife = 150 * time.Millisecond
	// maxWorkFactor bounds the effect of a work factor, so that an odd report of one upstream does not outweigh the measured latency.
	maxWorkFactor = 8
)

// defaultLatency is the expected latency at each distance before the first sample.
var defaultLatency = [...]time.Duration{SameDomain: 2 * time.Millisecond, SameRegion: 4 * time.Millisecond, OtherRegion: 20 * time.Millisecond}

// Candidate describes a replica at the time of the selection.
type Candidate struct {
	Upstream string
	State    State
	Distance Distance
	// Outstanding is the number of requests that this instance has in flight to the upstream or queued for it.
	Outstanding int
	// Limit is the maximum number of requests in flight; 0 if unknown.
	Limit int
	// Load is the fraction of slots in use that the upstream reported, 0 to 1; negative if unknown.
	Load float64
	// LoadAge is the age of the reported load.
	LoadAge time.Duration
	// WorkFactor is the duration of work that the upstream reported together with Load, relative to that of the attempts in Record; 0 if
	// it reports none.
	WorkFactor float64
	// Path is the part of the expected latency that is due to the network and independent of the work factor.
	Path time.Duration
	// Penalty is the expected delay of an attempt due to the share of attempts that the upstream refuses or fails.
	Penalty time.Duration
	// Transient reports whether this instance keeps no connection to the upstream, so that an attempt has to open one.
	Transient bool
	// Record holds this instance's own measurements of the upstream.
	Record history.Record
}

// IsFull reports whether an attempt would have to wait for a slot.
func (c Candidate) IsFull() bool { return c.Limit > 0 && c.inFlight() >= c.Limit }

// IsEligible reports whether the replica may receive an attempt for purpose p. Cold, full and failing replicas receive no hedges.
// tailLatency is the time within which nearly all attempts on the service are answered.
func (c Candidate) IsEligible(p Purpose, tailLatency time.Duration) bool {
	switch p {
	case Hedge:
		return c.State == StateAvailable && !c.IsFull() && !c.Record.IsFailing(tailLatency)
	case Retry:
		return c.State == StateAvailable || c.State == StateLeaving || (c.State == StateCold && !c.IsFull())
	default:
		return c.State == StateAvailable || c.State == StateLeaving || c.State == StateCold
	}
}

// Pick returns the index of the replica for an attempt, and false if no replica is eligible. It compares a random one of the nearest
// replicas with another random one. Replicas that need a new connection are considered only if there are no others, then suspect
// and full ones, and leaving ones last. tailLatency is as in Candidate.IsEligible; intn returns a random number in [0, n).
func Pick(candidates []Candidate, p Purpose, tailLatency time.Duration, intn func(n int) int) (int, bool) {
	var buf [16]int
	best := buf[:0]
	lowestRank := math.MaxInt
	for i := range candidates {
		if !candidates[i].IsEligible(p, tailLatency) {
			continue
		}
		rank := candidates[i].rank(tailLatency)
		if rank < lowestRank {
			lowestRank, best = rank, best[:0]
		}
		if rank == lowestRank {
			best = append(best, i)
		}
	}
	switch len(best) {
	case 0:
		return 0, false
	case 1:
		return best[0], true
	}
	a, b := samplePair(candidates, best, intn)
	return better(candidates, a, b, intn), true
}

// Rank returns how the replica is ranked, as in Pick: 0 is the best.
func (c *Candidate) Rank(tailLatency time.Duration) int { return c.rank(tailLatency) }

// Cost returns the expected time of one more attempt, weighted with the attempts already in flight, by which Pick compares replicas.
func (c *Candidate) Cost() time.Duration { return time.Duration(c.cost()) }

// rank orders replicas by preference: 0 for ordinary ones, 1 for those that need a new connection, 2 for suspect and full ones, 3 for
// leaving ones.
func (c *Candidate) rank(tailLatency time.Duration) int {
	switch {
	case c.State == StateLeaving:
		return 3
	case c.Record.IsSuspect(tailLatency), c.IsFull():
		return 2
	case c.Transient:
		return 1
	}
	return 0
}

// samplePair returns a random one of the nearest replicas in best and a random one of the rest.
func samplePair(candidates []Candidate, best []int, intn func(int) int) (a, b int) {
	nearest := 0
	for i, c := range best {
		if candidates[c].Distance >= candidates[best[nearest]].Distance {
			continue
		}
		nearest = i
	}
	count := 0
	for i, c := range best {
		if candidates[c].Distance == candidates[best[nearest]].Distance {
			count++
			if i != nearest && intn(count) == 0 {
				nearest = i
			}
		}
	}
	other := intn(len(best) - 1)
	if other >= nearest {
		other++
	}
	return best[nearest], best[other]
}

// better returns the replica with the lower cost. Ties are broken by the reported load, then by the distance, then at random.
func better(candidates []Candidate, a, b int, intn func(int) int) int {
	costA, costB := candidates[a].cost(), candidates[b].cost()
	loadA, loadB := candidates[a].load(), candidates[b].load()
	switch {
	case costA*costMargin < costB:
		return a
	case costB*costMargin < costA:
		return b
	case loadA+loadMargin < loadB:
		return a
	case loadB+loadMargin < loadA:
		return b
	case candidates[a].Distance != candidates[b].Distance:
		if candidates[a].Distance < candidates[b].Distance {
			return a
		}
		return b
	case intn(2) == 0:
		return a
	}
	return b
}

// cost returns the expected time of one more attempt, weighted with the attempts already in flight.
func (c *Candidate) cost() float64 {
	return float64(max(c.scaledLatency(), c.Record.OldestAge)+c.Penalty) * float64(1+c.inFlight())
}

// scaledLatency returns the expected latency, with the part that is not due to the network scaled by the reported work factor.
func (c *Candidate) scaledLatency() time.Duration {
	expected := c.ExpectedLatency()
	work := expected - c.Path
	if c.WorkFactor <= 0 || work <= 0 {
		return expected
	}
	factor := min(max(c.WorkFactor, 1.0/maxWorkFactor), maxWorkFactor)
	return expected + time.Duration(float64(work)*(factor-1)*decay(c.LoadAge, workFactorHalfLife))
}

// ExpectedLatency returns the mean latency of recent attempts. A high mean decays toward the default for the distance while there are
// no new samples, unless the latest attempts were misses.
func (c *Candidate) ExpectedLatency() time.Duration {
	base, latency := defaultLatency[c.Distance], c.Record.Latency
	switch {
	case latency == 0:
		return base
	case latency <= base, c.Record.Misses > 0:
		return latency
	}
	return base + time.Duration(float64(latency-base)*decay(c.Record.SampleAge, latencyHalfLife))
}

// load returns the reported load. It decays toward 0.5 with the age of the report.
func (c *Candidate) load() float64 {
	const neutral = 0.5
	if c.Load < 0 || math.IsNaN(c.Load) {
		return neutral
	}
	return neutral + (min(c.Load, 1)-neutral)*decay(c.LoadAge, loadReportHalfLife)
}

func (c *Candidate) inFlight() int { return max(c.Outstanding, c.Record.InFlight) }

func decay(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
