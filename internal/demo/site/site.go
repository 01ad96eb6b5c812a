// Package site builds a whole site on loopback: a platform, upstreams and instances.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
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
	"crocuswing/internal/serve/instance"
	"crocuswing/internal/settings/process"
	"crocuswing/internal/standin/balancer"
	"crocuswing/internal/standin/platform"
	"crocuswing/internal/standin/upstream"
	"crocuswing/internal/upstream/contract"

	"go.uber.org/zap"
)

// Names and sizes of the demonstration site, which follows Mien Dem's deployment.
const (
	SearchService = "buyer-search"
	OrderService  = "order-entry"
	CallerKey     = "demo-buyer-key"
	Snapshot      = "s1"

	searchShards = 20
	orderShards  = 30
	replicas     = 2
	instances    = 4
	serviceTime  = 2 * time.Millisecond
	readyTimeout = 10 * time.Second
	readyPoll    = 10 * time.Millisecond
	ticketKey    = "demo-ticket-key-0123456789"
)

var domains = []domain.Domain{
	{Name: "south-a", Region: "south"},
	{Name: "central-a", Region: "central"},
	{Name: "north-a", Region: "north"},
}

var upstreamContract = contract.Contract{Slots: 2, Connections: 25, ColdSlots: 1, WarmAfter: 8}

// Site is a running site.
type Site struct {
	Platform  *platform.Platform
	Upstreams map[string]*upstream.Upstream
	Balancer  *balancer.Balancer

	log       *zap.Logger
	seed      uint64
	address   string // of the platform
	servers   []*http.Server
	instances map[string]*Running
	group     sync.WaitGroup

	mu     sync.Mutex
	shards map[string]int // of the search service, by snapshot
}

// Running is one running instance of the site.
type Running struct {
	*instance.Instance
	Address string // for callers
	stop    context.CancelFunc
	done    chan struct{}
}

// Stop begins a planned stop and waits for its end.
func (r *Running) Stop() {
	r.stop()
	<-r.done
}

// Start builds the site and waits until all instances are ready.
func Start(log *zap.Logger, seed uint64) (*Site, error) {
	s := &Site{
		Platform:  platform.New(),
		Upstreams: make(map[string]*upstream.Upstream),
		log:       log,
		seed:      seed,
		instances: make(map[string]*Running),
		shards:    map[string]int{Snapshot: searchShards},
	}
	var err error
	if s.address, err = s.serve(&http.Server{Handler: s.Platform}); err != nil {
		return nil, err
	}
	search, err := s.startService(SearchService, service.KindSearch, searchShards)
	if err != nil {
		return nil, err
	}
	orders, err := s.startService(OrderService, service.KindOrder, orderShards)
	if err != nil {
		return nil, err
	}
	s.publish(search, orders)
	addresses := make([]string, 0, instances)
	for n := range instances {
		r, err := s.startInstance(n)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, r.Address)
	}
	s.Balancer = balancer.New(addresses...)
	return s, s.waitReady()
}

// Instances gives the running instances by name.
func (s *Site) Instances() map[string]*Running { return s.instances }

// Shards is the number of shards of the search service in a snapshot, as published.
func (s *Site) Shards(snapshot string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shards[snapshot]
}

// Close stops everything.
func (s *Site) Close() {
	for _, r := range s.instances {
		r.stop()
	}
	s.group.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// startService starts the upstreams of one service and gives its description.
func (s *Site) startService(name, kind string, shards int) (service.Service, error) {
	l := layout.Layout{Snapshot: Snapshot}
	for n := range shards {
		sh := shard.Shard{Name: fmt.Sprintf("%s-%d", name, n)}
		for r := range replicas {
			d := domains[(n+r)%len(domains)]
			up := fmt.Sprintf("%s-%d-%c", name, n, 'a'+r)
			if err := s.startUpstream(up, d); err != nil {
				return service.Service{}, err
			}
			sh.Replicas = append(sh.Replicas, up)
		}
		l.Shards = append(l.Shards, sh)
	}
	return service.Service{Name: name, Kind: kind, Contract: upstreamContract, Layouts: []layout.Layout{l}}, nil
}

func (s *Site) startUpstream(name string, d domain.Domain) error {
	u := upstream.New(name, upstreamContract, serviceTime, s.seed+uint64(len(s.Upstreams)))
	u.SetSnapshots(Snapshot)
	address, err := s.serve(&http.Server{Handler: u, ConnState: u.ConnState})
	if err != nil {
		return err
	}
	s.Upstreams[name] = u
	s.Platform.SetMember(member.Member{
		Name:          name,
		Kind:          member.KindUpstream,
		FailureDomain: d.Name,
		Region:        d.Region,
		Address:       address,
		State:         member.StateLive,
	})
	return nil
}

func (s *Site) startInstance(n int) (*Running, error) {
	d := domains[n%len(domains)]
	l, err := listen()
	if err != nil {
		return nil, err
	}
	settings := process.Settings{
		Instance:        fmt.Sprintf("instance-%d", n),
		FailureDomain:   d.Name,
		Region:          d.Region,
		PlatformAddress: s.address,
		TicketKey:       ticketKey,
		DrainDelayMS:    500,
	}
	s.Platform.SetMember(member.Member{
		Name:          settings.Instance,
		Kind:          member.KindInstance,
		FailureDomain: d.Name,
		Region:        d.Region,
		Address:       l.Peer.Addr().String(),
		State:         member.StateLive,
	})
	ctx, stop := context.WithCancel(context.Background())
	r := &Running{
		Instance: instance.New(settings, s.log, instance.WithListeners(l)),
		Address:  l.Caller.Addr().String(),
		stop:     stop,
		done:     make(chan struct{}),
	}
	s.instances[settings.Instance] = r
	s.group.Go(func() {
		defer close(r.done)
		if err := r.Run(ctx); err != nil {
			s.log.Error("instance failed", zap.Error(err))
		}
	})
	return r, nil
}

func (s *Site) publish(services ...service.Service) {
	values := map[string]string{
		"in-force":           `{"preset": "ordinary"}`,
		"preset/ordinary":    encode(Preset("ordinary", preset.PolicyCoverage)),
		"preset/peak":        encode(Preset("peak", preset.PolicyTail)),
		"preset/maintenance": encode(Preset("maintenance", preset.PolicyCoverage)),
		"class/buyer":        encode(class.Class{Name: "buyer", Concurrency: 64, Cost: 64 * searchShards}),
		"caller/demo":        encode(caller.Caller{Name: "demo", Key: CallerKey, Class: "buyer"}),
	}
	for _, d := range domains {
		values["domain/"+d.Name] = encode(d)
	}
	for _, v := range services {
		values["service/"+v.Name] = encode(v)
	}
	s.Platform.Publish(values)
}

// Preset is a preset of the demonstration.
func Preset(name, policy string) preset.Preset {
	p := preset.Preset{Name: name, DeadlineMS: 1000, AnswerPolicy: policy, HedgeQuantile: 0.95, HedgeShare: 0.05, RetryShare: 0.1}
	if policy == preset.PolicyTail {
		p.TailWaitMS = 200
	}
	return p
}

func (s *Site) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, r := range s.instances {
		for !r.Status().Ready {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready: %s", r.Status().Instance, r.Status().NotReadyReason)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (s *Site) serve(server *http.Server) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func listen() (instance.Listeners, error) {
	var all [3]net.Listener
	for n := range all {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return instance.Listeners{}, err
		}
		all[n] = l
	}
	return instance.Listeners{Caller: all[0], Peer: all[1], Operator: all[2]}, nil
}

func encode(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // the values above always encode
	}
	return string(text)
}
