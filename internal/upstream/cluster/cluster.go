// Package cluster holds the upstreams of one service, its replicas, and picks the one for each attempt of the forward runner.
//
// It skips the replicas that must not receive requests: those that are draining, excluded, shedding load or at their cold rate. One
// that has announced that it is leaving is the last resort for a part of the drain time. Package balancer ranks the rest. A cluster also
// selects the subset of the replicas to which this instance keeps connections.
package cluster

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/query/locality"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/upstream/departure"
	"crocuswing/internal/upstream/link"
)

// Cluster holds the replicas of one service. It is safe for concurrent use.
type Cluster struct {
	name    string
	history *history.History
	*retrybudget.Budget

	mu             sync.Mutex
	replicas       []*Replica
	excluded       map[string]bool           // failure domains that receive no requests
	coldShare      func(upstream string) int // requests per second of this instance to a cold replica; nil for no limit
	departures     *departure.Register
	drainTime      time.Duration // time for which a leaving upstream serves after its announcement
	instance       string
	connections    int     // connections of this instance to each replica
	subsetFraction float64 // fraction of the replicas to which this instance keeps connections
	preconnected   int     // connections that are opened in advance to each of them
	subsetUpdated  time.Time
	intn           func(n int) int // random number in [0, n)
	withoutShares  bool
	shares         locality.Shares // of first attempts, by failure domain
	pricePerKiB    time.Duration   // of a crossing to another failure domain
	domains        int             // failure domains whose instances may send to the upstreams; 0 if unknown
	meanBytes      float64         // mean size of bodies of responses
}

// Option configures a Cluster.
type Option func(*Cluster)

// WithInstance returns an option that sets the name of the instance, which determines the replicas to which it keeps connections.
func WithInstance(name string) Option { return func(c *Cluster) { c.instance = name } }

// WithDepartures returns an option that shares the announcements of leaving upstreams with other clusters.
func WithDepartures(r *departure.Register) Option { return func(c *Cluster) { c.departures = r } }

// New returns an empty cluster. Its extra attempts are taken from budget.
func New(name string, h *history.History, budget *retrybudget.Budget, options ...Option) *Cluster {
	c := &Cluster{name: name, history: h, Budget: budget, subsetFraction: 1, preconnected: 1, departures: departure.New(), intn: rand.IntN}
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
		coldUntil: now.Add(r.Cold), reportedLoad: reportedLoad{load: -1},
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
