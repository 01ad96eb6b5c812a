// Package catalog holds the clusters of all services.
package catalog

import (
	"context"
	"math"
	"sync"
	"time"

	"crocuswing/internal/policy/retrybudget"
	"crocuswing/internal/published/board"
	"crocuswing/internal/published/registration"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"
	"crocuswing/internal/task/pause"
	"crocuswing/internal/upstream/cluster"
	"crocuswing/internal/upstream/link"
)

const (
	// warmEach connections are opened ahead at a time, and warmEvery has to pass before the next ones: 400 a second keep
	// an instance and its upstreams from being busy with nothing else.
	warmEach  = 20
	warmEvery = 50 * time.Millisecond
	// shareUsed leaves a part of the shared bounds for instances that are not known yet.
	shareUsed = 0.85
	// defaultConnections is used until the service's own bound is known.
	defaultConnections = 8
)

// Catalog is safe for concurrent use.
type Catalog struct {
	settings  deployment.Settings
	history   *history.History
	mu        sync.Mutex
	clusters  map[string]*cluster.Cluster
	services  map[string]string // by upstream
	view      *board.View
	instances int
	links     []link.Option
}

// Option changes how a catalog is made.
type Option func(*Catalog)

// WithLinkOptions opens the links to upstreams with the given options.
func WithLinkOptions(options ...link.Option) Option {
	return func(c *Catalog) { c.links = options }
}

// New makes an empty catalog for an instance with the given settings.
func New(s deployment.Settings, h *history.History, options ...Option) *Catalog {
	c := &Catalog{
		settings:  s,
		history:   h,
		clusters:  make(map[string]*cluster.Cluster),
		services:  make(map[string]string),
		view:      &board.View{},
		instances: max(1, len(s.Seeds)),
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Cluster gives the cluster of a service.
func (c *Catalog) Cluster(service string) *cluster.Cluster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cluster(service)
}

func (c *Catalog) cluster(service string) *cluster.Cluster {
	known, ok := c.clusters[service]
	if !ok {
		known = cluster.New(service, c.history, retrybudget.New(c.ratio(), c.slack(), c.settings.ExtraWindow), cluster.WithInstance(c.settings.Instance))
		known.SetSubsetFraction(c.keptShare(service))
		known.SetExcludedDomains(c.view.Out)
		known.SetColdRate(c.coldRate(service))
		c.clusters[service] = known
	}
	return known
}

// Update takes a new view.
func (c *Catalog) Update(v *board.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	configured := c.view.Table != v.Table
	c.view = v
	for _, name := range v.Changed {
		r, ok := v.Upstreams[name]
		if old, known := c.services[name]; known && (!ok || old != r.Service) {
			c.cluster(old).Remove(name)
			delete(c.services, name)
		}
		if ok {
			c.services[name] = r.Service
			region := c.settings.Regions[r.FailureDomain]
			c.cluster(r.Service).Put(r, region, c.distance(r, region), func() *link.Link {
				return link.New(name, r.Address, c.connections(r.Service), c.links...)
			})
		}
	}
	for _, known := range c.clusters {
		known.SetExcludedDomains(v.Out)
	}
	if configured {
		c.share()
	}
}

// SetInstanceCount tells how many instances share the upstreams.
func (c *Catalog) SetInstanceCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n = max(1, n); n != c.instances {
		c.instances = n
		c.share()
	}
}

func (c *Catalog) share() {
	for name, known := range c.clusters {
		known.SetBounds(c.ratio(), c.slack())
		known.SetColdRate(c.coldRate(name))
		known.SetSubsetFraction(c.keptShare(name))
		for _, r := range known.Replicas() {
			r.Link().SetMaxConnections(c.connections(name))
		}
	}
}

func (c *Catalog) ratio() float64 { return shareUsed * c.settings.ExtraRatio }

func (c *Catalog) slack() float64 {
	return shareUsed * float64(c.settings.ExtraSlack) / float64(c.instances)
}

// connections is this instance's part of the connections that one upstream of the service takes, at least one.
func (c *Catalog) connections(service string) int {
	part, ok := c.part(service)
	if !ok {
		return defaultConnections
	}
	return max(1, int(part))
}

// keptShare is the share of the upstreams of the service to which this instance keeps connections: with more instances than an upstream
// takes connections, each keeps them to some.
func (c *Catalog) keptShare(service string) float64 {
	part, ok := c.part(service)
	if !ok {
		return 1
	}
	return min(1, part)
}

// part is what an upstream of the service takes of connections, divided by the instances, and false if it is not known.
func (c *Catalog) part(service string) (float64, bool) {
	if c.view.Table == nil {
		return 0, false
	}
	s, ok := c.view.Table.Service(service)
	if !ok || s.Connections <= 0 {
		return 0, false
	}
	return shareUsed * float64(s.Connections) / float64(c.instances), true
}

// coldRate is this instance's part of the requests a second that a cold upstream bears, negative for no bound.
func (c *Catalog) coldRate(service string) int {
	if c.view.Table == nil {
		return -1
	}
	s, ok := c.view.Table.Service(service)
	if !ok || s.ColdRate <= 0 {
		return -1
	}
	all := s.ColdRate*c.settings.ColdFactor + float64(c.settings.ColdSlack)
	return int(math.Floor(all / float64(c.instances)))
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

// SetSettings takes changed bounds.
func (c *Catalog) SetSettings(s deployment.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
	c.share()
}

// Run opens connections ahead to the upstreams of the services in the routing table, until ctx ends. Requests that may run once
// take new connections in any case.
func (c *Catalog) Run(ctx context.Context) {
	for pause.For(ctx, warmEvery) {
		left := warmEach
		for _, known := range c.used() {
			if left -= known.Preconnect(left); left <= 0 {
				break
			}
		}
	}
}

// used gives the clusters to which connections are worth keeping.
func (c *Catalog) used() []*cluster.Cluster {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Table == nil {
		return nil
	}
	var used []*cluster.Cluster
	for _, name := range c.view.Table.Repeatable() {
		used = append(used, c.cluster(name))
	}
	return used
}
