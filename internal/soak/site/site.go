// Package site sets up the deployment of a soak test: instances as processes, a simulated store and simulated upstreams. The
// connections to the callers, the store and the upstreams pass proxies that can disrupt them.
package site

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"crocuswing/internal/published/registration"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/soak/record"
	"crocuswing/internal/standin/replica"
	"crocuswing/internal/standin/workspace"
)

// Host is the host name of all routes.
const Host = "soak.example"

// Path prefixes of the permanent routes.
const (
	SearchPath = "/search/"
	OrderPath  = "/order/"
	FilePath   = "/file/"
	// ExtraPathPrefix is the common prefix of the routes that configuration changes add and remove.
	ExtraPathPrefix = "/extra-"
)

// Limits of the routes, services and simulated upstreams, sized like the users' smallest deployment.
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
	// RecordsPerPart is the number of records in each part.
	RecordsPerPart  = 12
	baseServiceTime = 3 * time.Millisecond
	memoryBytes     = 300 << 20
)

// Bounds are the bounds in the settings of all instances. They are those of the users' smallest deployment.
var Bounds = deployment.Bounds{
	ReportInterval: 1200 * time.Millisecond, DrainTime: 3 * time.Second, MaxApplyTime: 3 * time.Second, MaxStopTime: 6 * time.Second,
	ExtraRatio: 0.2, ExtraSlack: 58, ExtraWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5,
	QuotaWindow: 5 * time.Second, QuotaOverage: 0.25, QuotaSlack: 20,
}

// MaxColdRate is the maximum number of requests per second to a cold upstream: coldRate with the cold factor and slack of Bounds.
const MaxColdRate = coldRate*1.5 + 5

// regionByDomain is the region of each failure domain.
var regionByDomain = map[string]string{"a": "r", "b": "r", "c": "q"}

// upstreamDomains are the failure domains in which each service has an upstream. The third domain has instances only.
var upstreamDomains = []string{"a", "b"}

// Domains are the names of the failure domains.
var Domains = []string{"a", "b", "c"}

// Store simulates the store that the platform publishes to, in the platform's own formats.
type Store interface {
	http.Handler
	Register(r registration.Registration)
	Unregister(upstream string)
	Configure(revision int64, routes []route.Route, services []service.Service, workspaces []workspace.Workspace, l limits.Limits)
	SetDomainExcluded(domain string, excluded bool)
	Compact()
	// Checkpoint copies the store and returns a function that makes it come back from the copy.
	Checkpoint() (restore func())
	SetFault(fault func(w http.ResponseWriter) bool)
	// Settings returns the content of an instance's settings file.
	Settings(d deployment.Settings) []byte
	Headers() replica.HeaderNames
	ReadyPath() string
}

// Site is the deployment under test with the record of the soak test. It is safe for concurrent use.
type Site struct {
	Store
	*record.Record
	Instances []*Instance

	server        *http.Server
	instanceCount int
	mu            sync.Mutex
	random        *rand.Rand
	upstreams     []*Upstream
	upstreamCount int // number of upstreams named so far
	excluded      map[string]bool
	// revision is the revision of the newest configuration. Its search route uses the shards of shardCounts[layout], its order
	// route uses the service orders-N with N = orderService, and extraRoute is the number in the path of its extra route.
	revision     int64
	layout       int
	orderService int
	extraRoute   int64
	// keyGeneration is the number in the older of the two keys that each workspace has.
	keyGeneration int
}

// shardCounts are the numbers of shards in the two layouts of the search index.
var shardCounts = []int{6, 9}

// nearLayout is the layout whose upstreams accept only one connection for each instance. Instances use 0.85 of the connections, which
// does not suffice for one each, so that near aggregators gather its shards. Changes of the layout switch this on and off.
const nearLayout = 0

// New starts the store and the upstreams and prepares n instances that run program with settings in dir. It does not start the
// instances.
func New(s Store, r *record.Record, program []string, dir string, n int, random *rand.Rand) (*Site, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	site := &Site{Store: s, Record: r, server: &http.Server{Handler: s, ReadHeaderTimeout: Timeout}, instanceCount: n, random: random, excluded: make(map[string]bool)}
	go func() { _ = site.server.Serve(l) }() // returns after Close
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
		instance, err := newInstance(site, i, seeds, l.Addr().String(), program, dir)
		if err != nil {
			return nil, errors.Join(err, site.Close())
		}
		site.Instances = append(site.Instances, instance)
	}
	return site, nil
}

// Close stops the instances, the upstreams and the store.
func (s *Site) Close() error {
	for _, i := range s.Instances {
		i.close()
	}
	for _, u := range s.Upstreams() {
		u.close()
	}
	return s.server.Close()
}

// serviceNames returns the names of all services, including the shards of both layouts.
func (s *Site) serviceNames() []string {
	names := []string{"orders-0", "orders-1", "files"}
	for layout, n := range shardCounts {
		for i := range n {
			names = append(names, shardName(layout, i))
		}
	}
	return names
}

func shardPrefix(layout int) string { return fmt.Sprintf("part-%d-", layout) }

func shardName(layout, i int) string { return shardPrefix(layout) + strconv.Itoa(i) }

// Upstreams returns the running upstreams.
func (s *Site) Upstreams() []*Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Upstream(nil), s.upstreams...)
}

// Reconfigure writes the next configuration to the store. It differs from the previous one in the order service, the layout,
// the extra route or the keys of the workspaces, and its revision is 1 to 4 higher.
func (s *Site) Reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > 0 {
		switch s.random.IntN(4) {
		case 0:
			s.orderService = 1 - s.orderService
		case 1:
			s.layout = 1 - s.layout
		case 2:
			s.keyGeneration++
		default:
			s.extraRoute = s.revision + 1
		}
	}
	s.revision += 1 + s.random.Int64N(4)
	routes, workspaces := s.routes(), s.workspaces()
	v := record.Version{Revision: s.revision, Sent: time.Now(), Routes: routes, Workspaces: workspaces}
	s.SetVersion(v)
	s.Configure(s.revision, routes, s.serviceConfigs(), workspaces, limits.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
	v.Acked = time.Now()
	s.SetVersion(v)
}

// routes returns the routes of the newest configuration.
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

// serviceConfigs returns the configurations of all services, with few connections to those of nearLayout.
func (s *Site) serviceConfigs() []service.Service {
	var all []service.Service
	for _, name := range s.serviceNames() {
		v := service.Service{Name: name, MaxConnections: maxConnections, ColdRate: coldRate}
		if strings.HasPrefix(name, shardPrefix(nearLayout)) {
			v.MaxConnections = s.instanceCount
		}
		all = append(all, v)
	}
	return all
}

// ExtraRoutePath returns the path prefix of the extra route in the newest configuration.
func (s *Site) ExtraRoutePath() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s%d/", ExtraPathPrefix, s.extraRoute)
}

// ExcludeDomainFor excludes a failure domain and includes it again after d. It returns at once if the domain is already excluded.
func (s *Site) ExcludeDomainFor(domain string, d time.Duration) {
	s.mu.Lock()
	isExcluded := s.excluded[domain]
	s.excluded[domain] = true
	s.mu.Unlock()
	if isExcluded {
		return
	}
	s.SetDomainExcluded(domain, true)
	s.MarkExcluded(domain, true)
	time.Sleep(d)
	s.MarkExcluded(domain, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.SetDomainExcluded(domain, false)
	delete(s.excluded, domain)
}

// RewriteStore writes again what upstreams and operators last wrote, as they do after the store came back from an older copy.
func (s *Site) RewriteStore() {
	running := make(map[string]bool)
	for _, u := range s.Upstreams() {
		running[u.ID()] = true
	}
	s.mu.Lock()
	for i := range s.upstreamCount {
		if name := upstreamName(i + 1); !running[name] {
			s.Unregister(name)
		}
	}
	for _, domain := range Domains {
		s.SetDomainExcluded(domain, s.excluded[domain])
	}
	s.mu.Unlock()
	for _, u := range s.Upstreams() {
		u.repeatRegistration()
	}
	s.Reconfigure()
}

// SetStoreFault marks the store as disrupted and makes it call fault for each request; the store answers the request only if
// fault returns false. A nil fault ends the disruption.
func (s *Site) SetStoreFault(fault func(w http.ResponseWriter) bool) {
	if fault != nil {
		s.MarkDisrupted(record.Store, true)
		s.SetFault(fault)
		return
	}
	s.SetFault(nil)
	s.MarkDisrupted(record.Store, false)
}

// replaceFile replaces a file atomically.
func replaceFile(path string, content []byte) error {
	tmp := path + ".part"
	if err := os.WriteFile(tmp, content, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Clean(path))
}
