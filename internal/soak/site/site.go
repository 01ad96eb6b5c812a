// Package site runs instances as processes among stand-ins of the store and the upstreams, with a proxy in each path.
package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/standin/replica"
)

// Host is that of all routes.
const Host = "soak.example"

// Paths of the routes that are always there.
const (
	SearchPath = "/search/"
	OrderPath  = "/order/"
	FilePath   = "/file/"
	// ExtraPathPrefix is the prefix of the paths of routes that come and go.
	ExtraPathPrefix = "/extra-"
)

// Limits of the routes and services, of the size of the users' smallest deployment.
const (
	Timeout        = 1500 * time.Millisecond
	objective      = 300 * time.Millisecond
	minShare       = 0.75
	topK           = 10
	MaxAttempts    = 2
	slots          = 3
	queueLimit     = 12
	maxConnections = 64
	coldRate       = 4.0
	coldDuration   = 3 * time.Second
	// RecordsPerPart is the number of records in a part.
	RecordsPerPart  = 12
	baseServiceTime = 3 * time.Millisecond
	memoryBytes     = 300 << 20
)

// Bounds are those of the settings of all instances, taken from the users' smallest deployment.
var Bounds = deployment.Bounds{
	DrainTime: 3 * time.Second, MaxApplyTime: 3 * time.Second, MaxStopTime: 6 * time.Second,
	ExtraRatio: 0.2, ExtraSlack: 58, ExtraWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5,
}

// MaxColdRate is the number of requests a second that a cold upstream may get.
const MaxColdRate = coldRate*1.5 + 5

// regionByDomain gives the region of each failure domain.
var regionByDomain = map[string]string{"a": "r", "b": "r", "c": "q"}

// upstreamDomains are the failure domains in which each service has an upstream; the third one has instances only.
var upstreamDomains = []string{"a", "b"}

// Domains are the names of the failure domains.
var Domains = []string{"a", "b", "c"}

// Store is the stand-in of what the platform publishes, with the platform's spelling.
type Store interface {
	http.Handler
	Register(r registration.Registration)
	Unregister(upstream string)
	Configure(revision int64, routes []route.Route, services []service.Service, l limits.Limits)
	SetDomainExcluded(domain string, out bool)
	Compact()
	SetFault(fault func(w http.ResponseWriter) bool)
	// Settings writes the settings file of an instance.
	Settings(d deployment.Settings) []byte
	Headers() replica.Names
	ReadyPath() string
}

// Site is safe for concurrent use.
type Site struct {
	Store
	*record.Record
	Instances []*Instance

	server        *http.Server
	mu            sync.Mutex
	random        *rand.Rand
	upstreams     []*Upstream
	upstreamCount int // of upstreams so far
	excluded      map[string]bool
	// revision is that of the newest configuration, and set that of the shards in it.
	revision     int64
	layout       int
	orderService int
	extraRoute   int64
}

// shardCounts are the numbers of shards of the two cuts of the index.
var shardCounts = []int{6, 9}

// New starts store and upstreams and prepares n instances that run the program with their settings in dir.
func New(s Store, r *record.Record, program []string, dir string, n int, random *rand.Rand) (*Site, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	site := &Site{Store: s, Record: r, server: &http.Server{Handler: s, ReadHeaderTimeout: Timeout}, random: random, excluded: make(map[string]bool)}
	go func() { _ = site.server.Serve(l) }() // ends with Close
	for _, name := range site.serviceNames() {
		for _, domain := range upstreamDomains {
			if _, err := site.AddUpstream(name, domain); err != nil {
				return nil, errors.Join(err, site.Close())
			}
		}
	}
	site.Reconfigure()
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", loopbackIP(i), peerPort))
	}
	for i := range n {
		domain, err := newInstance(site, i, seeds, l.Addr().String(), program, dir)
		if err != nil {
			return nil, errors.Join(err, site.Close())
		}
		site.Instances = append(site.Instances, domain)
	}
	return site, nil
}

// Close ends everything that the site started.
func (s *Site) Close() error {
	for _, i := range s.Instances {
		i.close()
	}
	for _, u := range s.Upstreams() {
		u.close()
	}
	return s.server.Close()
}

// serviceNames are the names of all services, of both cuts.
func (s *Site) serviceNames() []string {
	names := []string{"orders-0", "orders-1", "files"}
	for layout, n := range shardCounts {
		for i := range n {
			names = append(names, shardName(layout, i))
		}
	}
	return names
}

func shardName(layout, i int) string { return fmt.Sprintf("part-%d-%d", layout, i) }

// Upstreams gives the present upstreams.
func (s *Site) Upstreams() []*Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Upstream(nil), s.upstreams...)
}

// Reconfigure writes the next configuration, which changes what the last one said in some way.
func (s *Site) Reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > 0 {
		switch s.random.IntN(3) {
		case 0:
			s.orderService = 1 - s.orderService
		case 1:
			s.layout = 1 - s.layout
		default:
			s.extraRoute = s.revision + 1
		}
	}
	s.revision += 1 + s.random.Int64N(4)
	routes := s.routes()
	v := record.Version{Revision: s.revision, Sent: time.Now(), Routes: routes}
	s.Record.SetVersion(v)
	s.Store.Configure(s.revision, routes, s.serviceConfigs(), limits.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	v.Acked = time.Now()
	s.Record.SetVersion(v)
}

func (s *Site) routes() []route.Route {
	search := route.Route{Name: "search", Prefix: SearchPath, TopK: topK, MinShare: minShare}
	for i := range shardCounts[s.layout] {
		search.Shards = append(search.Shards, shardName(s.layout, i))
	}
	service := fmt.Sprintf("orders-%d", s.orderService)
	routes := []route.Route{
		search,
		{Name: "order", Prefix: OrderPath, NonIdempotent: true, Destinations: []route.Destination{{Service: service, Weight: 1}}},
		{Name: "file", Prefix: FilePath, Destinations: []route.Destination{{Service: "files", Weight: 1}}},
		{Name: "extra", Prefix: fmt.Sprintf("%s%d/", ExtraPathPrefix, s.extraRoute), Destinations: []route.Destination{{Service: "files", Weight: 1}}},
	}
	for i := range routes {
		routes[i].Host, routes[i].MaxAttempts, routes[i].Timeout, routes[i].Objective = Host, MaxAttempts, Timeout, objective
	}
	return routes
}

func (s *Site) serviceConfigs() []service.Service {
	var all []service.Service
	for _, name := range s.serviceNames() {
		all = append(all, service.Service{Name: name, MaxConnections: maxConnections, ColdRate: coldRate})
	}
	return all
}

// ExtraRoutePath is the path of a route that the newest configuration has.
func (s *Site) ExtraRoutePath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s%d/", ExtraPathPrefix, s.extraRoute)
}

// ExcludeDomainFor takes a failure domain out for a while. It does nothing while the domain is out.
func (s *Site) ExcludeDomainFor(domain string, d time.Duration) {
	s.mu.Lock()
	isOut := s.excluded[domain]
	s.excluded[domain] = true
	s.mu.Unlock()
	if isOut {
		return
	}
	s.SetDomainExcluded(domain, true)
	s.MarkExcluded(domain, true)
	time.Sleep(d)
	s.MarkExcluded(domain, false)
	s.SetDomainExcluded(domain, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.excluded, domain)
}

// SetStoreFault disturbs the store, or no longer where fault is nil.
func (s *Site) SetStoreFault(fault func(w http.ResponseWriter) bool) {
	if fault != nil {
		s.MarkDisrupted(record.Store, true)
		s.SetFault(fault)
		return
	}
	s.SetFault(nil)
	s.MarkDisrupted(record.Store, false)
}

// replaceFile replaces a file as a whole.
func replaceFile(path string, content []byte) error {
	tmp := path + ".part"
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Clean(path))
}
