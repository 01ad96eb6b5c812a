// Package catalog holds the clusters of all services to which a gateway forwards requests.
//
// The forward runner looks up the cluster of a service here for each subrequest. The catalog updates the clusters from the
// published registrations and divides the shared limits of the upstreams (connections, cold rate and extra attempts) among the instances.
package catalog

import (
	"context"
	"math"
	"sync"
	"time"

	"crocuswing/internal/fleet/share"
	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/published/state"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/departure"
	"crocuswing/internal/upstream/link"

	"github.com/cespare/xxhash/v2"
)

const (
	// preconnectBatch is the maximum number of connections opened in each preconnectInterval. The resulting limit of 400
	// connections per second keeps the instance and its upstreams free for requests.
	preconnectBatch    = 20
	preconnectInterval = 50 * time.Millisecond
	// aggregatorPreconnected is the number of connections that an aggregator keeps open to each upstream, so that a request does not wait
	// for a new one while another is in progress.
	aggregatorPreconnected = 2
	// fallbackShare is the part of the extra attempts on gathered services that all instances share, for the shards of an aggregator that
	// does not answer. The rest is for the hedges and retries of the aggregators.
	fallbackShare = 0.5
	// usableFraction reserves a part of the shared limits for instances that are not known yet.
	usableFraction = 0.85
	// unknownInstances is the number of instances that an instance assumes while it does not know the fleet, the largest one of the design:
	// the shares of instances that have just started then never add up to more than the limits.
	unknownInstances = 2800
	// restartGuard is the time after the start of this process in which it sends nothing to cold upstreams: they may have had the share of
	// this instance from its former process within the same second. It is as long as the window of the cold rate.
	restartGuard = 1200 * time.Millisecond
	// defaultConnections is the connection limit per upstream until the limit of its service is known.
	defaultConnections = 8
)

// Catalog holds the clusters by the name of the service. It is safe for concurrent use.
type Catalog struct {
	settings          deployment.Settings
	started           time.Time
	history           *history.History
	departures        *departure.Register
	mu                sync.Mutex
	clusters          map[string]*cluster.Cluster
	serviceByUpstream map[string]string // name of the service by name of the upstream
	view              *state.View
	instances         int             // number of instances that share the upstreams
	division          *share.Division // nil if the names of the instances are not known
	linkOptions       []link.Option
	// aggregators is the number of instances that share the connections to the upstreams of gathered services, 0 if all do, and
	// isAggregator reports whether this instance is one of them.
	aggregators  int
	isAggregator bool
}

// Option configures a Catalog.
type Option func(*Catalog)

// WithLinkOptions returns an option that creates the links to upstreams with the given options.
func WithLinkOptions(options ...link.Option) Option {
	return func(c *Catalog) { c.linkOptions = options }
}

// New returns an empty catalog for an instance with the given settings.
func New(s deployment.Settings, h *history.History, options ...Option) *Catalog {
	c := &Catalog{
		settings:          s,
		started:           time.Now(),
		history:           h,
		departures:        departure.New(),
		clusters:          make(map[string]*cluster.Cluster),
		serviceByUpstream: make(map[string]string),
		view:              &state.View{},
		instances:         unknownInstances,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Cluster returns the cluster of a service, which is created at its first use.
func (c *Catalog) Cluster(service string) *cluster.Cluster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster(service)
}

func (c *Catalog) cluster(service string) *cluster.Cluster {
	cl, ok := c.clusters[service]
	if !ok {
		cl = cluster.New(service, c.history, retrybudget.New(c.extraRatio(), c.extraSlack(service), c.settings.ExtraWindow), cluster.WithInstance(c.settings.Instance), cluster.WithDepartures(c.departures))
		cl.SetDrainTime(c.settings.DrainTime)
		cl.SetConnections(c.connectionShare(service))
		cl.SetSubsetFraction(c.subsetFraction(service))
		cl.SetPreconnected(c.preconnected(service))
		cl.SetExcludedDomains(c.view.ExcludedDomains)
		cl.SetColdShare(c.coldShare(service))
		cl.SetCrossing(c.settings.CrossingPrice, len(c.settings.Regions))
		c.clusters[service] = cl
	}
	return cl
}

// Update applies a new view of the published registrations and the routing table.
func (c *Catalog) Update(v *state.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tableChanged := c.view.Table != v.Table
	c.view = v
	for _, name := range v.Changed {
		r, ok := v.Upstreams[name]
		if old, known := c.serviceByUpstream[name]; known && (!ok || old != r.Service) {
			c.cluster(old).Remove(name)
			delete(c.serviceByUpstream, name)
		}
		if ok {
			c.serviceByUpstream[name] = r.Service
			region := c.settings.Regions[r.FailureDomain]
			c.cluster(r.Service).Put(r, region, c.distance(r, region), func() *link.Link {
				return link.New(name, r.Address, c.connectionShare(r.Service), c.linkOptions...)
			})
		}
	}
	for _, cl := range c.clusters {
		cl.SetExcludedDomains(v.ExcludedDomains)
	}
	if tableChanged {
		c.updateShares()
	}
}

// SetInstanceCount sets the number of instances that share the upstreams.
func (c *Catalog) SetInstanceCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n = max(1, n); n != c.instances {
		c.instances, c.division = n, nil
		c.updateShares()
	}
}

// SetFleet sets the division of limits among the instances that share the upstreams; nil if this instance does not know them.
func (c *Catalog) SetFleet(d *share.Division) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances, c.division = d.Instances(), d
	if d == nil {
		c.instances = unknownInstances
	}
	c.updateShares()
}

// SetAggregators divides the connections to the upstreams of gathered services among n instances, of which this one may be one. With 0, all
// instances share them. Cold rates stay divided among all instances, whose shares add up to the limit whoever gathers.
func (c *Catalog) SetAggregators(n int, isSelf bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.aggregators || isSelf != c.isAggregator {
		c.aggregators, c.isAggregator = n, isSelf
		c.updateShares()
	}
}

// GatheredConnections returns the number of connections that all instances together may open to each upstream of the gathered services,
// the lowest of all services, or 0 if there are none or the limit is unknown.
func (c *Catalog) GatheredConnections() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Table == nil {
		return 0
	}
	lowest := 0
	for _, name := range c.view.Table.GatheredServices() {
		s, _ := c.view.Table.Service(name)
		if s.MaxConnections > 0 && (lowest == 0 || s.MaxConnections < lowest) {
			lowest = s.MaxConnections
		}
	}
	return usableFraction * float64(lowest)
}

// isConcentrated reports whether the requests to a service come from the aggregators only. While the fleet is not known, this instance may
// know too few aggregators, whose shares would be too large.
func (c *Catalog) isConcentrated(service string) bool {
	isKnown := c.division != nil || c.instances != unknownInstances
	return c.aggregators > 0 && isKnown && c.view.Table != nil && c.view.Table.IsGathered(service)
}

// shareOf returns the part of a limit of the upstreams of a service that this instance may use.
func (c *Catalog) shareOf(limit float64, service string) float64 {
	switch {
	case !c.isConcentrated(service):
		return limit / float64(c.instances)
	case !c.isAggregator:
		return 0
	}
	return limit / float64(c.aggregators)
}

// preconnected returns the number of connections that are kept open to each upstream of a service.
func (c *Catalog) preconnected(service string) int {
	if c.isConcentrated(service) {
		return aggregatorPreconnected
	}
	return 1
}

// updateShares applies this instance's shares of the limits to all clusters and links.
func (c *Catalog) updateShares() {
	for name, cl := range c.clusters {
		cl.SetBounds(c.extraRatio(), c.extraSlack(name))
		cl.SetColdShare(c.coldShare(name))
		cl.SetCrossing(c.settings.CrossingPrice, len(c.settings.Regions))
		cl.SetDrainTime(c.settings.DrainTime)
		cl.SetConnections(c.connectionShare(name))
		cl.SetSubsetFraction(c.subsetFraction(name))
		cl.SetPreconnected(c.preconnected(name))
		for _, r := range cl.Replicas() {
			r.Link().SetMaxConnections(c.connectionShare(name))
		}
	}
}

// extraRatio returns the number of extra attempts permitted for each request.
func (c *Catalog) extraRatio() float64 { return usableFraction * c.settings.ExtraRatio }

// extraSlack returns this instance's share of the extra attempts on a service that are permitted on top of the ratio.
func (c *Catalog) extraSlack(service string) float64 {
	total := usableFraction * float64(c.settings.ExtraSlack)
	equal := total / float64(c.instances)
	if !c.isConcentrated(service) {
		return equal
	}
	share := fallbackShare * equal
	if c.isAggregator {
		share += (1 - fallbackShare) * total / float64(c.aggregators)
	}
	return share
}

// connectionShare returns this instance's share of the connection limit of an upstream of the service, at least 1.
func (c *Catalog) connectionShare(service string) int {
	perInstance, ok := c.connectionsPerInstance(service)
	if !ok {
		return defaultConnections
	}
	return max(1, int(perInstance))
}

// subsetFraction returns the fraction of the upstreams of the service to which this instance keeps connections. It is below 1 if
// an upstream accepts fewer connections than there are instances.
func (c *Catalog) subsetFraction(service string) float64 {
	perInstance, ok := c.connectionsPerInstance(service)
	if !ok {
		return 1
	}
	return min(1, perInstance)
}

// connectionsPerInstance returns this instance's share of the connection limit of an upstream of the service, as a fraction, and
// false if the limit is unknown.
func (c *Catalog) connectionsPerInstance(service string) (float64, bool) {
	if c.view.Table == nil {
		return 0, false
	}
	s, ok := c.view.Table.Service(service)
	if !ok || s.MaxConnections <= 0 {
		return 0, false
	}
	return c.shareOf(usableFraction*float64(s.MaxConnections), service), true
}

// coldShare returns this instance's share of the requests per second to a cold upstream, by its name; nil for no limit.
func (c *Catalog) coldShare(service string) func(upstream string) int {
	if c.view.Table == nil {
		return nil
	}
	s, ok := c.view.Table.Service(service)
	if !ok || s.ColdRate <= 0 {
		return nil
	}
	total := usableFraction * (s.ColdRate*c.settings.ColdFactor + float64(c.settings.ColdSlack))
	if d := c.division; d != nil {
		return func(upstream string) int {
			if time.Since(c.started) < restartGuard {
				return 0
			}
			return d.Of(int(math.Floor(total)), upstream)
		}
	}
	equal := int(math.Floor(total / float64(c.instances)))
	return func(string) int { return equal }
}

func (c *Catalog) distance(r registration.Registration, region string) balancer.Distance {
	switch {
	case r.FailureDomain == c.settings.FailureDomain:
		return balancer.SameDomain
	case region == c.settings.Region:
		return balancer.SameRegion
	}
	return balancer.OtherRegion
}

// SetSettings applies changed limits.
func (c *Catalog) SetSettings(s deployment.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
	c.updateShares()
}

// Run opens connections in advance to the upstreams of the services in the routing table, until ctx ends. Services that receive
// only non-idempotent requests are left out, since these requests do not use connections that have been idle for long.
func (c *Catalog) Run(ctx context.Context) {
	for pause.For(ctx, preconnectInterval) {
		left := preconnectBatch
		for _, cl := range c.clustersToPreconnect() {
			if left -= cl.Preconnect(left); left <= 0 {
				break
			}
		}
	}
}

// clustersToPreconnect returns the clusters to which connections are opened in advance. Each instance begins with another one, so that
// instances that start together do not all connect to the same upstreams first.
func (c *Catalog) clustersToPreconnect() []*cluster.Cluster {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Table == nil {
		return nil
	}
	names := c.view.Table.IdempotentServices()
	if len(names) == 0 {
		return nil
	}
	clusters := make([]*cluster.Cluster, 0, len(names))
	first := int(xxhash.Sum64String(c.settings.Instance) % uint64(len(names)))
	for i := range names {
		clusters = append(clusters, c.cluster(names[(first+i)%len(names)]))
	}
	return clusters
}
