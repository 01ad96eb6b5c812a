// Package cluster holds the upstreams of one service, its replicas, and picks the one for each attempt of the forward runner.
//
// It skips the replicas that must not receive requests: those that are draining, excluded, shedding load or at their cold rate. One
// that has announced that it is leaving is the last resort for a part of the drain time. Package balancer ranks the rest. A cluster also
// selects the subset of the replicas to which this instance keeps connections.
package cluster

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/departure"
	"crocuswing/internal/upstream/link"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is longer than the second to which the cold rate applies, since requests arrive with different delays.
	coldWindow = 1200 * time.Millisecond
	// preconnectRetryInterval is the time between two dials to a replica without a connection, so that an unreachable upstream costs
	// one dial per interval.
	preconnectRetryInterval = 2 * time.Second
	// stuckFraction is the share of the hedge delay that is passed to balancer.Pick, which counts an attempt in flight as stuck
	// after four times the given duration, that is soon after its hedge is due.
	stuckFraction = 0.3
	// failurePenalty is the cost of a failed attempt in hedge delays. It is high because a retry uses one of the few extra attempts.
	failurePenalty = 10
	// subsetInterval is the time between updates of the subset, well below the time that a process takes to restart.
	subsetInterval = 50 * time.Millisecond
	// failingMisses is the number of consecutive misses after which a replica leaves the subset; a pause of the upstream counts
	// as one miss.
	failingMisses = 3
	// probeReserve is the number of extra attempts, or half of the retry budget if that is less, that must be left for a probe of
	// a suspect replica, so that probes do not take the attempts that retries and other hedges need.
	probeReserve = 4
)

// Cluster holds the replicas of one service. It is safe for concurrent use.
type Cluster struct {
	name    string
	history *history.History
	*retrybudget.Budget

	mu             sync.Mutex
	replicas       []*Replica
	excluded       map[string]bool // failure domains that receive no requests
	coldRate       int             // requests per second of this instance to a cold replica; negative for no limit
	departures     *departure.Register
	drainTime      time.Duration // time for which a leaving upstream serves after its announcement
	instance       string
	connections    int     // connections of this instance to each replica
	subsetFraction float64 // fraction of the replicas to which this instance keeps connections
	preconnected   int     // connections that are opened in advance to each of them
	subsetUpdated  time.Time
}

// Option configures a Cluster.
type Option func(*Cluster)

// WithInstance returns an option that sets the name of the instance, which determines the replicas to which it keeps connections.
func WithInstance(name string) Option { return func(c *Cluster) { c.instance = name } }

// WithDepartures returns an option that shares the announcements of leaving upstreams with other clusters.
func WithDepartures(r *departure.Register) Option { return func(c *Cluster) { c.departures = r } }

// New returns an empty cluster. Its extra attempts are taken from budget.
func New(name string, h *history.History, budget *retrybudget.Budget, options ...Option) *Cluster {
	c := &Cluster{name: name, history: h, Budget: budget, coldRate: -1, subsetFraction: 1, preconnected: 1, departures: departure.New()}
	for _, option := range options {
		option(c)
	}
	return c
}

// Name returns the name of the service.
func (c *Cluster) Name() string { return c.name }

// SetExcludedDomains sets the failure domains that receive no requests.
func (c *Cluster) SetExcludedDomains(domains map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !maps.Equal(c.excluded, domains) {
		c.excluded = domains
		c.updateSubset(time.Now())
	}
}

// SetColdRate sets the number of requests per second of this instance to a cold replica; negative for no limit.
func (c *Cluster) SetColdRate(perSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldRate = perSecond
}

// SetConnections sets the number of connections that this instance may open to each replica.
func (c *Cluster) SetConnections(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = n
}

// Connections returns the number of connections that this instance may open to each replica.
func (c *Cluster) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connections
}

// SetDrainTime sets the time for which an upstream still serves after it has announced that it is leaving. With 0, the default, it
// receives nothing after the announcement.
func (c *Cluster) SetDrainTime(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainTime = d
}

// SetPreconnected sets the number of connections that are opened in advance to each replica, 1 by default.
func (c *Cluster) SetPreconnected(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preconnected = n
}

// SetSubsetFraction sets the fraction of the replicas to which this instance keeps connections, at least one replica unless it is 0. Each
// attempt on a replica outside this subset opens its own connection.
func (c *Cluster) SetSubsetFraction(fraction float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subsetFraction = fraction
	c.updateSubset(time.Now())
}

// Put adds an upstream or updates its registration. open returns the link to a new incarnation.
func (c *Cluster) Put(r registration.Registration, region string, d balancer.Distance, open func() *link.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	i := c.index(r.Upstream)
	if i >= 0 && isSameIncarnation(c.replicas[i].registration, r) {
		known := c.replicas[i]
		known.registration = r
		known.coldUntil = now.Add(r.Cold)
		c.updateSubset(now)
		return
	}
	fresh := &Replica{
		registration: r, region: region, distance: d, link: open(), departure: c.departures.Open(r.Upstream, r.Incarnation),
		coldUntil: now.Add(r.Cold), load: -1,
	}
	if i >= 0 {
		c.replicas[i].link.Close()
		c.replicas[i] = fresh
	} else {
		c.replicas = append(c.replicas, fresh)
		c.sortReplicas()
	}
	c.updateSubset(now)
}

func isSameIncarnation(a, b registration.Registration) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address
}

// Remove removes an upstream; its requests in flight finish.
func (c *Cluster) Remove(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(upstream); i >= 0 {
		now := time.Now()
		c.replicas[i].link.Close()
		c.replicas = slices.Delete(c.replicas, i, i+1)
		c.departures.Release(upstream, now)
		c.updateSubset(now)
	}
}

// Replicas returns the current replicas.
func (c *Cluster) Replicas() []*Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.replicas)
}

func (c *Cluster) index(upstream string) int {
	return slices.IndexFunc(c.replicas, func(r *Replica) bool { return r.registration.Upstream == upstream })
}

// Timing is the expected duration of attempts.
type Timing struct {
	// HedgeDelay is the time after which an attempt at the nearest distance is hedged.
	HedgeDelay time.Duration
	// ExtraLatency is the additional network latency of each distance.
	ExtraLatency [balancer.OtherRegion + 1]time.Duration
}

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
		i, ok = balancer.Pick(candidates, p, time.Duration(stuckFraction*float64(timing.HedgeDelay)), rand.IntN)
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
		Upstream:  r.Name(),
		State:     r.state(now, c.drainTime),
		Distance:  r.distance,
		Transient: r.transient,
		Load:      r.load,
		LoadAge:   now.Sub(r.loadAt),
		Penalty:   time.Duration(failurePenalty * r.failureRate(now) * float64(timing.HedgeDelay)),
		Record:    record,
	}
}

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

// Names returns the names of the replicas that are in the region, or of those that are not.
func (c *Cluster) Names(region string, isInside bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, r := range c.replicas {
		if (r.region == region) == isInside {
			names = append(names, r.Name())
		}
	}
	return names
}

// MaySend reports whether a replica that Pick returned may still receive the request. An upstream may have announced that it is
// leaving, or asked for a pause, while the request waited for a connection.
func (c *Cluster) MaySend(r *Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return !c.excluded[r.registration.FailureDomain] && r.state(now, c.drainTime) != balancer.StateUnavailable && !r.isPaused(now)
}

// Signals is the state of an upstream as reported in a response.
type Signals struct {
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// IsMisdirected reports whether the address now belongs to another upstream.
	IsMisdirected bool
	// IsLeaving reports whether the upstream announced that it is leaving.
	IsLeaving bool
	// Responder is the name of the upstream that sent the response, if the response states it.
	Responder string
	// Load is the number of running and queued requests relative to the slots; negative if unknown.
	Load float64
	// RetryAfter is the pause that the upstream requested when it turned the request away; 0 if none.
	RetryAfter time.Duration
	// Proof proves that the upstream itself produced the response; empty if there is none.
	Proof string
}

// Outcome is the outcome of an attempt on a replica.
type Outcome int

// Outcomes of an attempt.
const (
	// Succeeded means that a complete and usable response arrived.
	Succeeded Outcome = iota
	// Failed means any other response or error.
	Failed
	// Unreachable means that the connection was refused; nothing was sent.
	Unreachable
)

// RecordOutcome records the outcome of an attempt on the replica.
func (c *Cluster) RecordOutcome(r *Replica, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch o {
	case Unreachable:
		r.recordConnectionRefusal(now)
		if c.coldRate >= 0 {
			r.assumedColdUntil = now.Add(assumedColdTime)
		}
	case Succeeded:
		r.connectionRefusals = 0
		r.recordAttempt(false, now)
	case Failed:
		r.connectionRefusals = 0
		r.recordAttempt(true, now)
	}
}

// Change is what a response changed in the state of a replica.
type Change struct {
	// IsLeaving reports whether the response is the first that announces the departure.
	IsLeaving bool
	// Pause is the pause that the response requested, if none was in force; else 0.
	Pause time.Duration
}

// RecordSignals records the state that the replica reported in a response.
func (c *Cluster) RecordSignals(r *Replica, s Signals) (change Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if s.Load >= 0 {
		r.load, r.loadAt = s.Load, now
	}
	change.IsLeaving = c.recordDeparture(r, s, now)
	switch {
	case s.IsMisdirected:
		r.misdirected = true
		return change
	case s.NotRun:
		r.pauseAfterShed(now)
	}
	if s.RetryAfter > 0 {
		if !r.isPaused(now) {
			change.Pause = s.RetryAfter
		}
		r.pauseFor(now, s.RetryAfter)
	}
	return change
}

// RecordDeparture records the announcement in a response that is unusable for its request.
func (c *Cluster) RecordDeparture(r *Replica, s Signals) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Change{IsLeaving: c.recordDeparture(r, s, time.Now())}
}

// recordDeparture attributes an announcement to the upstream that sent the response, which differs from the replica if the address
// now belongs to another one. It reports whether the announcement is the replica's first.
func (c *Cluster) recordDeparture(r *Replica, s Signals, now time.Time) (isFirst bool) {
	switch {
	case !s.IsLeaving:
	case !s.IsMisdirected:
		return r.departure.Announce(now)
	case s.Responder != "":
		c.departures.Announce(s.Responder, now)
	}
	return false
}

// Preconnect starts to open a connection to each of at most limit replicas that have fewer than are opened in advance, and returns the number of dials started.
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

// CanServe returns the time from which a replica accepts requests of the route, and false if no replica will soon. The time is in the
// past unless all of these replicas have requested a pause.
func (c *Cluster) CanServe(rt *route.Route) (from time.Time, ok bool) {
	return c.firstAvailable(rt, func(*Replica, time.Time) bool { return true })
}

// CanServeNow is like CanServe, but leaves out the cold replicas that have reached their rate limit.
func (c *Cluster) CanServeNow(rt *route.Route) (from time.Time, ok bool) {
	return c.firstAvailable(rt, c.hasColdCapacity)
}

// hasColdCapacity reports whether the replica is not cold or its cold rate permits another request now.
func (c *Cluster) hasColdCapacity(r *Replica, now time.Time) bool {
	return c.coldRate < 0 || !r.isCold(now) || r.isWithinColdRate(now, c.coldRate)
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
