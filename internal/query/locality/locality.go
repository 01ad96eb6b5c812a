// Package locality decides which shares of a service's requests go to the upstreams of which failure domains.
//
// Load pattern: a metastable overload of one failure domain while others have room, and its reverse, a domain that is flooded by all
// others at once. Requests stay in the nearest domains while the upstreams there are about as fast as others. If they are slow or busy, a
// growing share leaves, to the domains whose expected time is lower, including the network and the price of a crossing.
//
// The shares follow Smith, "The stability of a dynamic model of traffic assignment - an application of a method of Lyapunov",
// Transportation Science 18(3), 1984: between each pair of domains, requests move from the slower to the faster in proportion to the
// difference, which converges to the state in which none gains by moving. Four rules keep it stable under delayed reports:
//
//   - The time constant of moves is e times the delay of the control loop. A linear loop with delay d and time constant T does not
//     overshoot if d/T is at most 1/e.
//   - The queue of a full domain is the sum of all excess, so that its length tells late that enough has moved. Loads are therefore
//     extrapolated, and the speed of moves is proportional to the gain up to about the delay of the loop.
//   - The rate of moves to a domain other than the nearest is proportional to the room that its upstreams report, divided by the number of
//     other domains, all of which may move at the same time. Together they approach the limit as one would.
//   - A move away needs a gain of at least minGain of the work; the move back needs none.
//
// The package has no I/O and no clock. Shares are immutable values, so that a reader can compute the next ones without changing anything.
package locality

import (
	"math"
	"slices"
	"time"

	"crocuswing/internal/query/balancer"
)

const (
	// neutralLoad is the load that is assumed without a report. Package balancer assumes the same.
	neutralLoad = 0.5
	// loadHalfLife is the age at which a reported load has half its weight. Loads follow the demand, not the single requests, and change
	// more slowly than work factors.
	loadHalfLife = 500 * time.Millisecond
	// smoothing is the time constant of the average of the reported loads. The shares themselves average over a longer time.
	smoothing = 50 * time.Millisecond
	// leadFactor is the time by which loads are extrapolated, in delays of the loop.
	leadFactor = 2
	// gainScale is the gain, in delays of the loop, at which requests move at full speed: an excess that lasts for the delay of the loop
	// makes requests wait about that long. A gain in units of the work would make shares oscillate with reports some 100 ms old.
	gainScale = 0.7
	// fullLoad is the load above which a domain gets no more requests from farther ones. Queues of upstreams with two to four slots
	// grow steeply above it.
	fullLoad = 0.9
	// minGain is the gain of a move away, in units of the work, below which none takes place. It exceeds the noise of the averages.
	minGain = 0.2
	// minHomeShare is the share of requests that stays in the nearest domains in any case, so that their reports remain new.
	minHomeShare = 0.05
	// chanceWait shapes the expected wait at loads around 1: arrivals by chance wait although the mean load is below 1.
	chanceWait = 0.35
	// updateInterval is the shortest time between two updates, which bounds their cost. It is well below the smoothing.
	updateInterval = 10 * time.Millisecond
	// maxStep bounds the time for which one update moves requests, for services with rare requests.
	maxStep = 200 * time.Millisecond
)

// Group is the usable upstreams of the service in one failure domain.
type Group struct {
	Domain   string
	Distance balancer.Distance
	// Slots is the number of requests that the upstreams run at a time.
	Slots float64
	// Load is the number of running and waiting requests per slot as last reported, and LoadAge the age of the report.
	Load    float64
	LoadAge time.Duration
	// Work is the expected duration of the work of a request without waiting, with the reported work factor.
	Work time.Duration
	// Latency is the mean latency that this instance measured, without Path; 0 if there are no samples.
	Latency time.Duration
	// Path is the additional network latency of the domain compared with the nearest one.
	Path time.Duration
	// IsCold reports whether all upstreams of the group have just started. No requests are moved to them.
	IsCold bool
}

// Policy is what the operators and the caller of a request want.
type Policy struct {
	// Price is the waiting that a crossing to another failure domain has to save in addition to its own latency.
	Price time.Duration
	// Objective is the time that is left until the objective of the request; 0 if unknown. The price does not count if the request would
	// miss it in the nearest domains.
	Objective time.Duration
	// Domains is the number of failure domains whose instances may send to the same upstreams.
	Domains int
}

// Share is the share of requests that goes to one failure domain.
type Share struct {
	Domain   string
	Distance balancer.Distance
	Share    float64
	// Load is the average load on which the decision is based.
	Load float64
	// Expected is the expected time of a request, with the path but without the price.
	Expected time.Duration

	// predicted is the extrapolated load.
	predicted float64
}

// Shares are the shares of all domains at one moment. The zero value has none.
type Shares struct {
	at     time.Time
	shares []Share
}

// All returns the shares, the nearest domains first. The result must not be modified.
func (s Shares) All() []Share { return s.shares }

// Leaving returns the share of requests that leaves the domains at the nearest distance.
func (s Shares) Leaving() float64 {
	leaving := 0.0
	for _, share := range s.shares {
		if share.Distance > s.shares[0].Distance {
			leaving += share.Share
		}
	}
	return leaving
}

// IsDue reports whether Next would change the shares at now.
func (s Shares) IsDue(now time.Time) bool { return now.Sub(s.at) >= updateInterval }

// Next returns the shares at now, given the state of all domains that may receive requests. Domains that have disappeared lose their
// share to the others in proportion to their room.
func (s Shares) Next(groups []Group, p Policy, now time.Time) Shares {
	if len(groups) == 0 {
		return Shares{at: now}
	}
	groups = slices.Clone(groups)
	slices.SortStableFunc(groups, func(a, b Group) int { return int(a.Distance - b.Distance) })
	step := min(max(0, now.Sub(s.at)), maxStep)
	if len(s.shares) == 0 {
		step = 0
	}
	next := Shares{at: now, shares: s.carryOver(groups, step)}
	next.move(groups, p, step)
	next.keepHome()
	return next
}

// carryOver returns the shares of the groups before any moves, with their loads and expected times.
func (s Shares) carryOver(groups []Group, step time.Duration) []Share {
	shares := make([]Share, len(groups))
	total := 0.0
	for i, g := range groups {
		shares[i] = Share{Domain: g.Domain, Distance: g.Distance, Load: g.weightedLoad()}
		slope := 0.0 // of the load, per second
		for _, former := range s.shares {
			if former.Domain == g.Domain {
				weight := -math.Expm1(-float64(step) / float64(smoothing))
				slope = (shares[i].Load - former.Load) / smoothing.Seconds()
				shares[i].Load = former.Load + weight*(shares[i].Load-former.Load)
				shares[i].Share = former.Share
				total += former.Share
			}
		}
		shares[i].predicted = max(0, shares[i].Load+leadFactor*g.loop().Seconds()*slope)
		shares[i].Expected = g.expected(shares[i].predicted)
	}
	for i, lost := range spread(groups, shares, len(s.shares) == 0) {
		shares[i].Share += max(0, 1-total) * lost
	}
	return shares
}

// spread returns how requests that have no share yet are divided: by room, or at the first time by slots among the nearest domains.
func spread(groups []Group, shares []Share, isFirst bool) []float64 {
	// minRoom keeps the division defined if all domains are full.
	const minRoom = 0.05
	weights := make([]float64, len(groups))
	sum := 0.0
	for i, g := range groups {
		switch {
		case !isFirst:
			weights[i] = g.Slots * max(minRoom, g.room(shares[i].predicted))
		case g.Distance == groups[0].Distance:
			weights[i] = g.Slots
		}
		sum += weights[i]
	}
	for i := range weights {
		if sum > 0 {
			weights[i] /= sum
		} else {
			weights[i] = 1 / float64(len(weights))
		}
	}
	return weights
}

// move moves requests between all pairs of domains for the time step.
func (s Shares) move(groups []Group, p Policy, step time.Duration) {
	price := p.Price
	if p.Objective > 0 && s.shares[0].Expected > p.Objective {
		price = 0
	}
	delta := make([]float64, len(groups))
	for i := range groups {
		out := make([]float64, len(groups))
		sum := 0.0
		for j := range groups {
			if i != j {
				out[j] = s.rate(groups, i, j, price, p) * step.Seconds()
				sum += out[j]
			}
		}
		if sum == 0 {
			continue
		}
		moved := -math.Expm1(-sum) * s.shares[i].Share
		delta[i] -= moved
		for j := range out {
			delta[j] += moved * out[j] / sum
		}
	}
	for i := range delta {
		s.shares[i].Share = max(0, s.shares[i].Share+delta[i]) // max is for rounding
	}
}

// rate returns the share of the requests of domain i that moves to domain j in a second.
func (s Shares) rate(groups []Group, i, j int, price time.Duration, p Policy) float64 {
	from, to := &groups[i], &groups[j]
	gain := s.cost(groups, i, price) - s.cost(groups, j, price)
	work := float64(max(from.Work, to.Work, time.Microsecond))
	limit := 1.0
	if to.Distance > groups[0].Distance {
		limit = to.room(s.shares[j].predicted) / float64(max(1, p.Domains-1))
		if p.Objective > 0 && s.shares[j].Expected > p.Objective {
			limit = 0 // it would miss the objective there as well
		}
	}
	if to.Distance > from.Distance {
		gain -= minGain * work
	}
	if gain <= 0 {
		return 0
	}
	loop := max(from.loop(), to.loop())
	return min(1, gain/max(work, gainScale*float64(loop))) * limit / (math.E * loop.Seconds())
}

// cost returns the expected time at a domain, with the price of the crossing.
func (s Shares) cost(groups []Group, i int, price time.Duration) float64 {
	cost := s.shares[i].Expected
	if groups[i].Distance > balancer.SameDomain {
		cost += price
	}
	return float64(cost)
}

// keepHome leaves at least minHomeShare to the nearest domains.
func (s Shares) keepHome() {
	home := 1 - s.Leaving()
	if home >= minHomeShare {
		return
	}
	count := 0.0
	for _, share := range s.shares {
		if share.Distance == s.shares[0].Distance {
			count++
		}
	}
	for i := range s.shares {
		if s.shares[i].Distance == s.shares[0].Distance {
			s.shares[i].Share += (minHomeShare - home) / count
		} else {
			s.shares[i].Share *= (1 - minHomeShare) / (1 - home)
		}
	}
}

// loop returns the delay of the control loop: the time until a changed share shows in the average load. A report may be twice as old as it
// seems.
func (g *Group) loop() time.Duration {
	return smoothing + 2*min(g.LoadAge, loadHalfLife) + g.Path + g.Work
}

// room returns the part of the capacity that is free for requests of other domains at the given load.
func (g *Group) room(load float64) float64 {
	if g.IsCold {
		return 0
	}
	return max(0, 1-load/fullLoad)
}

// weightedLoad returns the reported load, which approaches neutralLoad with the age of the report.
func (g *Group) weightedLoad() float64 {
	if !(g.Load >= 0) { // true for NaN too
		return neutralLoad
	}
	return neutralLoad + (g.Load-neutralLoad)*math.Exp2(-float64(g.LoadAge)/float64(loadHalfLife))
}

// expected returns the expected time of a request: the work, the wait at the given load, and the path. A domain whose measured latency is
// more than twice as long is slower than it reports.
func (g *Group) expected(load float64) time.Duration {
	excess := (load - 1) / 2
	wait := excess + math.Sqrt(excess*excess+chanceWait*chanceWait)
	return g.Path + max(time.Duration(float64(g.Work)*(1+wait)), g.Latency/2)
}
