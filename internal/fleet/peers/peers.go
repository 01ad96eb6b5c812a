// Package peers keeps one client for each other instance in the view.
package peers

import (
	"context"
	"errors"
	"sync"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/view"
	"crocuswing/internal/peer/client"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/relay"
)

// Methods of the calls between instances.
const (
	// MethodOrder hands an order to the owner of its ticket.
	MethodOrder = "order"
	// MethodRelay sends an attempt through an upstream's first home.
	MethodRelay = "relay"
	// MethodNotice tells the other homes of an upstream what one saw of it.
	MethodNotice = "notice"
)

// Peers maps the names of instances to clients. It is safe for concurrent use.
type Peers struct {
	self     string
	revision func() uint64
	heard    func(uint64)

	mu      sync.Mutex
	clients map[string]*client.Client
}

var errUnknownPeer = errors.New("instance is not listed")

// New makes an empty set of peers for the instance self.
func New(self string, revision func() uint64, heard func(uint64)) *Peers {
	return &Peers{self: self, revision: revision, heard: heard, clients: make(map[string]*client.Client)}
}

// Update follows the instances in v.
func (p *Peers) Update(v view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool)
	for _, m := range v.Roster().Of(member.KindInstance) {
		if m.Name == p.self {
			continue
		}
		listed[m.Name] = true
		p.set(m)
	}
	for name, c := range p.clients {
		if !listed[name] {
			c.Close()
			delete(p.clients, name)
		}
	}
}

func (p *Peers) set(m member.Member) {
	old, ok := p.clients[m.Name]
	if ok && old.Address() == m.Address {
		return
	}
	if ok {
		old.Close()
	}
	p.clients[m.Name] = client.New(m.Address, p.revision, p.heard)
}

// Close closes all clients.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
}

// Relay sends an attempt through another instance. It fails with *failure.Failure.
func (p *Peers) Relay(ctx context.Context, instance string, q relay.Request) (relay.Reply, error) {
	c, ok := p.client(instance)
	if !ok {
		return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindRelay, NotRun: true, Err: errUnknownPeer}
	}
	var reply relay.Reply
	err := c.Call(ctx, MethodRelay, q, &reply)
	if err == nil {
		return reply, nil
	}
	return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindRelay, NotRun: isNotRun(err), Err: err}
}

// Notify tells another instance what this one saw of upstreams.
func (p *Peers) Notify(ctx context.Context, instance string, notices []relay.Notice) error {
	c, ok := p.client(instance)
	if !ok {
		return errUnknownPeer
	}
	var none struct{}
	return c.Call(ctx, MethodNotice, notices, &none)
}

func isNotRun(err error) bool {
	var unsent *client.UnsentError
	var refused *client.RefusedError
	return errors.As(err, &unsent) || errors.As(err, &refused)
}

func (p *Peers) client(instance string) (*client.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[instance]
	return c, ok
}
