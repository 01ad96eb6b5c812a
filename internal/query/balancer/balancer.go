// Package balancer picks the replica that gets an attempt.
//
// The power of two choices is due to Mitzenmacher, "The power of two choices in randomized load
// balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001. Weighing latency
// with the work in flight follows the Peak EWMA balancer of Finagle.
package balancer

import (
	"math"
	"time"

	"crocuswing/internal/stats/history"
)

// State tells which attempts a replica may get.
type State int

// States of a replica.
const (
	// StateAvailable permits every attempt.
	StateAvailable State = iota
	// StateCold permits first attempts only.
	StateCold
	// StateShedding permits nothing until the time that the upstream asked for has passed.
	StateShedding
	// StateUnavailable permits nothing: leaving, taken out or unknown.
	StateUnavailable
)

// Distance tells how far a replica is.
type Distance int

// Distances of a replica.
const (
	SameDomain Distance = iota
	SameRegion
	OtherRegion
)

// Purpose tells what an attempt is for.
type Purpose int

// Purposes of an attempt.
const (
	// First is the first attempt on a shard.
	First Purpose = iota
	// Retry follows a failed attempt.
	Retry
	// Hedge goes out beside an attempt that is still in flight.
	Hedge
)

const (
	margin       = 1.25        // scores closer than this factor are alike
	loadMargin   = 0.25        // load reports closer than this share are alike
	loadHalfLife = time.Second // after which a load report counts half
	halfLife     = time.Second // after which a high latency without new samples counts half
)

// assumed is the time of an attempt at each distance before anything is known.
var assumed = [...]time.Duration{SameDomain: 2 * time.Millisecond, SameRegion: 4 * time.Millisecond, OtherRegion: 20 * time.Millisecond}

// Candidate is a replica at the moment of the choice.
type Candidate struct {
	Upstream string
	State    State
	Distance Distance
	// Outstanding is the number of this instance's requests in flight or waiting.
	Outstanding int
	// Limit is the number of requests that may be in flight; 0 if unknown.
	Limit int
	// Load is the share of slots in use that the upstream reported, 0 to 1; negative if unknown.
	Load float64
	// LoadAge is the age of the report.
	LoadAge time.Duration
	// Penalty is what an attempt is expected to lose because the upstream refuses or fails some of them.
	Penalty time.Duration
	// Transient tells that this instance keeps no connection to the upstream, so that an attempt needs a new one.
	Transient bool
	// Record is what this instance saw of the upstream.
	Record history.Record
}

// IsFull tells whether an attempt would have to wait for a slot.
func (c Candidate) IsFull() bool { return c.Limit > 0 && c.inFlight() >= c.Limit }

// IsEligible tells whether the replica may get an attempt for the given purpose. A hedge goes neither to a
// cold nor to a full nor to a failing replica; usual is as for history.Record.IsSuspect.
func (c Candidate) IsEligible(p Purpose, usual time.Duration) bool {
	switch p {
	case Hedge:
		return c.State == StateAvailable && !c.IsFull() && !c.Record.IsFailing(usual)
	case Retry:
		return c.State == StateAvailable || (c.State == StateCold && !c.IsFull())
	default:
		return c.State == StateAvailable || c.State == StateCold
	}
}

// Pick gives the index of the replica for an attempt, and false if none may get it. One of the nearest
// replicas is compared with a random other one; those that are neither full nor suspect go first.
// intn gives a random number below n.
func Pick(all []Candidate, p Purpose, usual time.Duration, intn func(n int) int) (int, bool) {
	var buf [16]int
	best := buf[:0]
	lowest := math.MaxInt
	for i := range all {
		if !all[i].IsEligible(p, usual) {
			continue
		}
		rank := all[i].rank(usual)
		if rank < lowest {
			lowest, best = rank, best[:0]
		}
		if rank == lowest {
			best = append(best, i)
		}
	}
	switch len(best) {
	case 0:
		return 0, false
	case 1:
		return best[0], true
	}
	a, b := two(all, best, intn)
	return better(all, a, b, intn), true
}

// rank puts suspect and full replicas last, and before them those that need a new connection.
func (c *Candidate) rank(usual time.Duration) int {
	switch {
	case c.Record.IsSuspect(usual), c.IsFull():
		return 2
	case c.Transient:
		return 1
	}
	return 0
}

// two takes a random one of the nearest and a random one of the others.
func two(all []Candidate, from []int, intn func(int) int) (a, b int) {
	nearest := 0
	for i, c := range from {
		if all[c].Distance >= all[from[nearest]].Distance {
			continue
		}
		nearest = i
	}
	count := 0
	for i, c := range from {
		if all[c].Distance == all[from[nearest]].Distance {
			count++
			if i != nearest && intn(count) == 0 {
				nearest = i
			}
		}
	}
	other := intn(len(from) - 1)
	if other >= nearest {
		other++
	}
	return from[nearest], from[other]
}

func better(all []Candidate, a, b int, intn func(int) int) int {
	costA, costB := all[a].cost(), all[b].cost()
	loadA, loadB := all[a].load(), all[b].load()
	switch {
	case costA*margin < costB:
		return a
	case costB*margin < costA:
		return b
	case loadA+loadMargin < loadB:
		return a
	case loadB+loadMargin < loadA:
		return b
	case all[a].Distance != all[b].Distance:
		if all[a].Distance < all[b].Distance {
			return a
		}
		return b
	case intn(2) == 0:
		return a
	}
	return b
}

// cost is the expected time of one more attempt behind those in flight.
func (c *Candidate) cost() float64 {
	return float64(max(c.ExpectedLatency(), c.Record.Oldest)+c.Penalty) * float64(1+c.inFlight())
}

// ExpectedLatency is the time that an attempt is likely to take: the mean of the recent ones. An old mean fades to
// the usual time for the distance, but not where the last attempts were misses.
func (c *Candidate) ExpectedLatency() time.Duration {
	floor, latency := assumed[c.Distance], c.Record.Latency
	switch {
	case latency == 0:
		return floor
	case latency <= floor, c.Record.Misses > 0:
		return latency
	}
	return floor + time.Duration(float64(latency-floor)*decay(c.Record.Age, halfLife))
}

// load is the reported load, closer to the middle the older the report is.
func (c *Candidate) load() float64 {
	const middle = 0.5
	if c.Load < 0 || math.IsNaN(c.Load) {
		return middle
	}
	return middle + (min(c.Load, 1)-middle)*decay(c.LoadAge, loadHalfLife)
}

func (c *Candidate) inFlight() int { return max(c.Outstanding, c.Record.InFlight) }

func decay(age, half time.Duration) float64 { return math.Exp2(-float64(age) / float64(half)) }
