// Package cluster holds the upstreams of one service and picks among them.
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
	"crocuswing/internal/upstream/link"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is longer than the second of the bound, since requests take unequal times to arrive.
	coldWindow = 1200 * time.Millisecond
	// warmEvery is how often a connection is opened ahead to a replica that has none; an upstream that cannot be
	// reached costs one try in that time.
	warmEvery = 2 * time.Second
	// stuckShare makes an attempt in flight count as stuck soon after the time at which it is hedged; history counts four
	// times the given duration.
	stuckShare = 0.3
	// failureCost is the number of hedge times that a failed attempt is worth: it takes an extra attempt, which are few.
	failureCost = 10
	// settleEvery is how soon connections follow what is known of the replicas, well below the time in which a process starts again.
	settleEvery = 50 * time.Millisecond
	// failingMisses in a row take the connections of a replica to another one; a pause is one miss.
	failingMisses = 3
	// probeReserve is the number of extra attempts that trials of suspect replicas leave to others, where there are as many.
	probeReserve = 4
)

// Cluster is safe for concurrent use.
type Cluster struct {
	name    string
	history *history.History
	*retrybudget.Budget

	mu        sync.Mutex
	replicas  []*Replica
	out       map[string]bool // failure domains that get no work
	coldRate  int             // requests a second of this instance to a cold replica; negative for no bound
	instance  string
	keptShare float64 // share of the replicas to which this instance keeps connections
	settled   time.Time
}

// Option changes how a cluster is made.
type Option func(*Cluster)

// WithInstance names the instance, so that instances differ in the replicas to which they keep connections.
func WithInstance(name string) Option { return func(c *Cluster) { c.instance = name } }

// New makes an empty cluster. Its extra attempts draw on a.
func New(name string, h *history.History, a *retrybudget.Budget, options ...Option) *Cluster {
	c := &Cluster{name: name, history: h, Budget: a, coldRate: -1, keptShare: 1}
	for _, o := range options {
		o(c)
	}
	return c
}

// Name is that of the service.
func (c *Cluster) Name() string { return c.name }

// SetExcludedDomains changes the failure domains that get no work.
func (c *Cluster) SetExcludedDomains(out map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !maps.Equal(c.out, out) {
		c.out = out
		c.settle(time.Now())
	}
}

// SetColdRate changes the number of requests a second to a cold replica; negative for no bound.
func (c *Cluster) SetColdRate(perSecond int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldRate = perSecond
}

// SetSubsetFraction changes the share of the replicas to which this instance keeps connections, at least one. Attempts on the others open one
// each.
func (c *Cluster) SetSubsetFraction(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keptShare = share
	c.settle(time.Now())
}

// Put adds an upstream or brings its registration up to date. open makes the link of a new incarnation.
func (c *Cluster) Put(r registration.Registration, region string, d balancer.Distance, open func() *link.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	i := c.index(r.Upstream)
	if i >= 0 && isSameStart(c.replicas[i].registration, r) {
		known := c.replicas[i]
		known.registration = r
		known.coldUntil = now.Add(r.Cold)
		c.settle(now)
		return
	}
	fresh := &Replica{registration: r, region: region, distance: d, link: open(), coldUntil: now.Add(r.Cold), load: -1}
	if i >= 0 {
		c.replicas[i].link.Close()
		c.replicas[i] = fresh
	} else {
		c.replicas = append(c.replicas, fresh)
		c.prefer()
	}
	c.settle(now)
}

func isSameStart(a, b registration.Registration) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address
}

// Remove forgets an upstream; its requests in flight finish.
func (c *Cluster) Remove(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(upstream); i >= 0 {
		c.replicas[i].link.Close()
		c.replicas = slices.Delete(c.replicas, i, i+1)
		c.settle(time.Now())
	}
}

// Replicas gives the present replicas.
func (c *Cluster) Replicas() []*Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.replicas)
}

func (c *Cluster) index(upstream string) int {
	return slices.IndexFunc(c.replicas, func(r *Replica) bool { return r.registration.Upstream == upstream })
}

// Timing is what an attempt takes at most, as a rule.
type Timing struct {
	// HedgeDelay is the time after which an attempt at the nearest distance is late.
	HedgeDelay time.Duration
	// ExtraLatency is what the way takes longer at each distance.
	ExtraLatency [balancer.OtherRegion + 1]time.Duration
}

// prefer sorts the replicas: the nearest first, and among those at one distance in an order of this instance's own. It is rendezvous
// hashing: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
func (c *Cluster) prefer() {
	slices.SortFunc(c.replicas, func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance),
			cmp.Compare(xxhash.Sum64String(c.instance+" "+a.Name()), xxhash.Sum64String(c.instance+" "+b.Name())), cmp.Compare(a.Name(), b.Name()))
	})
}

// settle keeps connections to the first replicas that can be used, as many as are this instance's part.
func (c *Cluster) settle(now time.Time) {
	c.settled = now
	if c.keptShare >= 1 {
		for _, r := range c.replicas {
			r.setTransient(false)
		}
		return
	}
	left := max(1, int(c.keptShare*float64(len(c.replicas))))
	for _, r := range c.replicas {
		isKept := left > 0 && c.isUsable(r, now)
		if isKept {
			left--
		}
		r.setTransient(!isKept)
	}
}

// isUsable tells whether a replica is worth a connection.
func (c *Cluster) isUsable(r *Replica, now time.Time) bool {
	return !c.out[r.registration.FailureDomain] && r.state(now) != balancer.StateUnavailable && !r.isDown(now) &&
		c.history.Record(r.Name(), now).Misses < failingMisses
}

// Pick gives the replica for an attempt of a request on the route, and false if none may get it. tried names the replicas that
// had the request already.
func (c *Cluster) Pick(p balancer.Purpose, on *route.Route, tried []string, u Timing) (*Replica, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.keptShare < 1 && now.Sub(c.settled) >= settleEvery {
		c.settle(now)
	}
	var buf [8]balancer.Candidate
	all := buf[:0]
	var of [8]*Replica
	replicas := of[:0]
	for _, r := range c.replicas {
		if !c.permits(r, on) || !c.hasRoom(r, now) || slices.Contains(tried, r.Name()) {
			continue
		}
		all = append(all, c.candidate(r, u, now))
		replicas = append(replicas, r)
	}
	i, ok := c.trial(all, p, u.HedgeDelay, now)
	if !ok {
		i, ok = balancer.Pick(all, p, time.Duration(stuckShare*float64(u.HedgeDelay)), rand.IntN)
	}
	if !ok {
		return nil, false
	}
	r := replicas[i]
	if c.coldRate >= 0 && r.isCold(now) {
		r.sent = append(r.sent, now)
	}
	return r, true
}

// permits tells whether requests of the route may go to where the replica is.
func (c *Cluster) permits(r *Replica, on *route.Route) bool {
	return !c.out[r.registration.FailureDomain] && on.Allows(r.region)
}

// trial picks a suspect replica that is due for another try. It gets the first attempt of a request, which a hedge
// follows at its usual time if the replica is still slow.
func (c *Cluster) trial(all []balancer.Candidate, p balancer.Purpose, usual time.Duration, now time.Time) (int, bool) {
	if p != balancer.First || len(all) < 2 || !c.HasSpare(probeReserve) {
		return 0, false
	}
	for i := range all {
		r := &all[i]
		if r.State == balancer.StateAvailable && r.Record.InFlight == 0 && r.Record.IsSuspect(usual) &&
			c.history.TakeProbe(r.Upstream, now) {
			return i, true
		}
	}
	return 0, false
}

func (c *Cluster) candidate(r *Replica, u Timing, now time.Time) balancer.Candidate {
	record := c.history.Record(r.Name(), now)
	record.Oldest = max(0, record.Oldest-u.ExtraLatency[r.distance])
	return balancer.Candidate{
		Upstream:  r.Name(),
		State:     r.state(now),
		Distance:  r.distance,
		Transient: r.transient,
		Load:      r.load,
		LoadAge:   now.Sub(r.loaded),
		Penalty:   time.Duration(failureCost * r.failureShare(now) * float64(u.HedgeDelay)),
		Record:    record,
	}
}

// Signals is what an answer tells of its upstream.
type Signals struct {
	// NotRun is the upstream's word that it did not run the request.
	NotRun bool
	// IsMisdirected tells that the address belongs to another upstream now.
	IsMisdirected bool
	// Draining tells that the upstream gets no new work.
	Draining bool
	// Load is the share of the slots in use or waited for, or negative if it is not known.
	Load       float64
	RetryAfter time.Duration
	// Proof is the upstream's seal of its answer; empty if it gave none.
	Proof string
}

// Outcome tells how an attempt on a replica ended.
type Outcome int

// Ends of an attempt.
const (
	// Answered is a whole answer that can be used.
	Answered Outcome = iota
	// Failed is any other answer, a refusal or a broken connection.
	Failed
	// Unreachable is a refused connection; nothing was sent.
	Unreachable
)

// RecordOutcome notes how an attempt ended.
func (c *Cluster) RecordOutcome(r *Replica, e Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch e {
	case Unreachable:
		r.refused(now)
		if c.coldRate >= 0 {
			r.doubtUntil = now.Add(doubtTime)
		}
	case Answered:
		r.unreached = 0
		r.count(false, now)
	case Failed:
		r.unreached = 0
		r.count(true, now)
	}
}

// RecordSignals notes what an answer told.
func (c *Cluster) RecordSignals(r *Replica, s Signals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if s.Load >= 0 {
		r.load, r.loaded = s.Load, now
	}
	switch {
	case s.IsMisdirected:
		r.gone = true
	case s.Draining:
		r.leavingUntil = now.Add(leaveFor)
	case s.NotRun:
		r.shed(now, s.RetryAfter)
	}
}

// Preconnect opens connections ahead to at most most replicas that have none, and gives the number of those it tried.
func (c *Cluster) Preconnect(most int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tried := 0
	for _, r := range c.replicas {
		if tried == most {
			break
		}
		if r.transient || c.out[r.registration.FailureDomain] || r.state(now) == balancer.StateUnavailable || now.Sub(r.warmed) < warmEvery {
			continue
		}
		r.warmed = now
		if r.link.Preconnect() {
			tried++
		}
	}
	return tried
}

// CanServe tells whether some replica may take a request of the route now or soon.
func (c *Cluster) CanServe(on *route.Route) bool {
	return c.has(on, func(*Replica, time.Time) bool { return true })
}

// CanServeNow tells whether some replica may take a request of the route without waiting until it is warmer.
func (c *Cluster) CanServeNow(on *route.Route) bool {
	return c.has(on, c.hasRoom)
}

// hasRoom tells whether a replica, if it is cold, bears one more request now.
func (c *Cluster) hasRoom(r *Replica, now time.Time) bool {
	return c.coldRate < 0 || !r.isCold(now) || r.mayWarm(now, c.coldRate)
}

// has tells whether there is a replica that may take requests of the route and for which is holds.
func (c *Cluster) has(on *route.Route, is func(r *Replica, now time.Time) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(c.replicas, func(r *Replica) bool {
		return c.permits(r, on) && r.state(now) != balancer.StateUnavailable && !r.isDown(now) && is(r, now)
	})
}
