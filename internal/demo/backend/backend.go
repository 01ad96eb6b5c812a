// Package backend runs the simulated platform and upstreams that the instances use, on loopback addresses.
package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocuswing/internal/config/caller"
	"crocuswing/internal/config/class"
	"crocuswing/internal/config/domain"
	"crocuswing/internal/config/preset"
	"crocuswing/internal/config/service"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/index/layout"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/standin/listener"
	"crocuswing/internal/standin/platform"
	"crocuswing/internal/standin/upstream"
	"crocuswing/internal/upstream/contract"
)

// Names and sizes of the demonstration, modeled on Mien Dem's deployment.
const (
	SearchService = "buyer-search"
	OrderService  = "order-entry"
	CallerKey     = "demo-buyer-key"
	TicketKey     = "demo-ticket-key-0123456789"

	firstSnapshot = "s1"
	searchShards  = 20
	orderShards   = 30
	replicas      = 2
	serviceTime   = 2 * time.Millisecond

	callerConcurrency = 64
)

// Domains are the failure domains of the demonstration.
var Domains = []domain.Domain{
	{Name: "south-a", Region: "south"},
	{Name: "central-a", Region: "central"},
	{Name: "north-a", Region: "north"},
}

var upstreamContract = contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}

// Backend is a running platform with its upstreams. It is safe for concurrent use.
type Backend struct {
	Platform *platform.Platform
	Address  string // address of the platform

	httpServers []*http.Server

	mu          sync.Mutex
	upstreams   map[string]*Server
	search      service.Service
	shardCounts map[string]int // of the search service, by snapshot
}

// Server is a running upstream with its listener and its failure domain.
type Server struct {
	*upstream.Upstream
	Listener *listener.Listener
	Domain   string
	member   member.Member
}

// Start starts the platform and the upstreams. The seed determines the service times.
func Start(seed uint64) (*Backend, error) {
	b := &Backend{
		Platform:    platform.New(),
		upstreams:   make(map[string]*Server),
		shardCounts: map[string]int{firstSnapshot: searchShards},
	}
	var err error
	if b.Address, _, err = b.startServer(&http.Server{Handler: b.Platform}); err != nil {
		return nil, err
	}
	if b.search, err = b.startService(SearchService, service.KindSearch, searchShards, seed); err != nil {
		return nil, err
	}
	orders, err := b.startService(OrderService, service.KindOrder, orderShards, seed)
	if err != nil {
		return nil, err
	}
	b.Platform.Publish(initialValues(b.search, orders))
	return b, nil
}

// Close stops all servers.
func (b *Backend) Close() {
	for _, server := range b.httpServers {
		_ = server.Close()
	}
}

// ShardCount returns the number of shards with which a snapshot of the search service was published.
func (b *Backend) ShardCount(snapshot string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shardCounts[snapshot]
}

// Upstream returns the upstream with the given name, or nil if there is none.
func (b *Backend) Upstream(name string) *Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.upstreams[name]
}

// Upstreams returns all upstreams.
func (b *Backend) Upstreams() []*Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]*Server, 0, len(b.upstreams))
	for _, s := range b.upstreams {
		all = append(all, s)
	}
	return all
}

// SearchLayout returns the newest layout of the search service.
func (b *Backend) SearchLayout() layout.Layout {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.search.Current()
}

// SetState sets the state of an upstream in the member list.
func (b *Backend) SetState(name, state string) {
	m := b.Upstream(name).member
	m.State = state
	b.Platform.SetMember(m)
}

// SetDomainExcluded publishes whether a failure domain is excluded.
func (b *Backend) SetDomainExcluded(name string, excluded bool) {
	i := slices.IndexFunc(Domains, func(d domain.Domain) bool { return d.Name == name })
	d := Domains[i]
	d.Excluded = excluded
	b.Platform.Publish(map[string]string{"domain/" + name: encode(d)})
}

// PublishSnapshot publishes a new snapshot of the search service with the given number of shards on the same upstreams. The
// upstreams serve older snapshots until DropOldSnapshots is called.
func (b *Backend) PublishSnapshot(snapshot string, shards int) {
	b.mu.Lock()
	names := b.searchUpstreams()
	l := layout.Layout{Snapshot: snapshot}
	for n := range shards {
		l.Shards = append(l.Shards, shard.Shard{
			Name:     fmt.Sprintf("%s-%d", SearchService, n),
			Replicas: []string{names[n%len(names)], names[(n+len(names)/replicas)%len(names)]},
		})
	}
	b.search.Layouts = append([]layout.Layout{l}, b.search.Layouts...)
	b.shardCounts[snapshot] = shards
	b.setSnapshots()
	text := encode(b.search)
	b.mu.Unlock()
	b.Platform.Publish(map[string]string{"service/" + SearchService: text})
}

// DropOldSnapshots makes the upstreams stop serving all but the newest snapshot, and only then publishes the change.
func (b *Backend) DropOldSnapshots() {
	b.mu.Lock()
	b.search.Layouts = b.search.Layouts[:1]
	b.setSnapshots()
	text := encode(b.search)
	b.mu.Unlock()
	b.Platform.Publish(map[string]string{"service/" + SearchService: text})
}

// searchUpstreams returns the names of the search upstreams: the first replica of each shard of the first layout, then the second
// replica of each.
func (b *Backend) searchUpstreams() []string {
	names := make([]string, 0, searchShards*replicas)
	for r := range replicas {
		for n := range searchShards {
			names = append(names, upstreamName(SearchService, n, r))
		}
	}
	return names
}

// setSnapshots makes the search upstreams serve exactly the snapshots of the current layouts.
func (b *Backend) setSnapshots() {
	snapshots := make([]string, 0, len(b.search.Layouts))
	for _, l := range b.search.Layouts {
		snapshots = append(snapshots, l.Snapshot)
	}
	for _, name := range b.searchUpstreams() {
		b.upstreams[name].SetSnapshots(snapshots...)
	}
}

// startService starts the upstreams of one service and returns its configuration.
func (b *Backend) startService(name, kind string, shards int, seed uint64) (service.Service, error) {
	l := layout.Layout{Snapshot: firstSnapshot}
	for n := range shards {
		sh := shard.Shard{Name: fmt.Sprintf("%s-%d", name, n)}
		for r := range replicas {
			up := upstreamName(name, n, r)
			if err := b.startUpstream(up, Domains[(n+r)%len(Domains)], seed); err != nil {
				return service.Service{}, err
			}
			sh.Replicas = append(sh.Replicas, up)
		}
		l.Shards = append(l.Shards, sh)
	}
	return service.Service{Name: name, Kind: kind, Contract: upstreamContract, Layouts: []layout.Layout{l}}, nil
}

func upstreamName(service string, n, replica int) string {
	return fmt.Sprintf("%s-%d-%c", service, n, 'a'+replica)
}

func (b *Backend) startUpstream(name string, d domain.Domain, seed uint64) error {
	u := upstream.New(name, upstreamContract, serviceTime, seed+uint64(len(b.upstreams)))
	u.SetSnapshots(firstSnapshot)
	address, l, err := b.startServer(&http.Server{Handler: u, ConnState: u.ConnState})
	if err != nil {
		return err
	}
	m := member.Member{
		Name:          name,
		Kind:          member.KindUpstream,
		FailureDomain: d.Name,
		Region:        d.Region,
		Address:       address,
		State:         member.StateLive,
	}
	b.upstreams[name] = &Server{Upstream: u, Listener: l, Domain: d.Name, member: m}
	b.Platform.SetMember(m)
	return nil
}

func (b *Backend) startServer(server *http.Server) (string, *listener.Listener, error) {
	l, err := listener.Listen()
	if err != nil {
		return "", nil, err
	}
	b.httpServers = append(b.httpServers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), l, nil
}

// initialValues returns the values of the first revision of the configuration.
func initialValues(services ...service.Service) map[string]string {
	all := map[string]string{
		"in-force":     `{"preset": "ordinary"}`,
		"class/buyer":  encode(class.Class{Name: "buyer", Concurrency: callerConcurrency, Cost: callerConcurrency * searchShards}),
		"caller/demo":  encode(caller.Caller{Name: "demo", Key: CallerKey, Class: "buyer"}),
		"caller/other": encode(caller.Caller{Name: "other", Key: "other-" + CallerKey, Class: "buyer"}),
	}
	presets := []preset.Preset{
		{Name: "ordinary", DeadlineMS: 1000, AnswerPolicy: preset.PolicyCoverage, HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1},
		{Name: "peak", DeadlineMS: 1000, AnswerPolicy: preset.PolicyTail, TailWaitMS: 200, HedgeQuantile: 0.98, HedgeShare: 0.02, RetryShare: 0.05},
		{Name: "maintenance", DeadlineMS: 2000, AnswerPolicy: preset.PolicyCoverage, HedgeQuantile: 0.95, HedgeShare: 0.1, RetryShare: 0.2},
	}
	for _, p := range presets {
		all["preset/"+p.Name] = encode(p)
	}
	for _, d := range Domains {
		all["domain/"+d.Name] = encode(d)
	}
	for _, v := range services {
		all["service/"+v.Name] = encode(v)
	}
	return all
}

func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // all configuration types can be encoded
	}
	return string(text)
}
