// Package peers keeps one client for each other instance in the view.
package peers

import (
	"context"
	"errors"
	"slices"
	"sync"

	"crocuswing/internal/fleet/detector"
	"crocuswing/internal/fleet/member"
	"crocuswing/internal/fleet/roster"
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
	seeds    []string
	revision func() uint64
	heard    func(peer string, revision uint64)
	contacts *detector.Detector

	mu      sync.Mutex
	roster  roster.Roster
	clients map[string]*client.Client // of the peers that were called
}

var errUnknownPeer = errors.New("instance is not listed")

// New makes an empty set of peers for the instance self. Seeds are addresses that may be called before
// the list is known; heard is told the revision of each frame that a peer answers with.
func New(self string, seeds []string, c *detector.Detector, revision func() uint64, heard func(string, uint64)) *Peers {
	return &Peers{
		self:     self,
		seeds:    seeds,
		revision: revision,
		heard:    heard,
		contacts: c,
		clients:  make(map[string]*client.Client),
	}
}

// Update follows the instances in v: it closes the clients of those that are gone or have moved.
func (p *Peers) Update(v view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster = v.Roster()
	for name, c := range p.clients {
		if address, ok := p.address(name); !ok || address != c.Address() {
			c.Close()
			delete(p.clients, name)
		}
	}
}

// address finds where to call a peer, by its name or as a seed.
func (p *Peers) address(peer string) (string, bool) {
	if m, ok := p.roster.Member(peer); ok && m.Kind == member.KindInstance && peer != p.self {
		return m.Address, true
	}
	return peer, slices.Contains(p.seeds, peer)
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
	var reply relay.Reply
	err := p.call(ctx, instance, MethodRelay, q, &reply)
	if err == nil {
		return reply, nil
	}
	return relay.Reply{}, &failure.Failure{Upstream: q.Upstream, Kind: failure.KindRelay, NotRun: isNotRun(err), Err: err}
}

// Notify tells another instance what this one saw of upstreams.
func (p *Peers) Notify(ctx context.Context, instance string, notices []relay.Notice) error {
	var none struct{}
	return p.call(ctx, instance, MethodNotice, notices, &none)
}

func isNotRun(err error) bool {
	var unsent *client.UnsentError
	var refused *client.RefusedError
	return errors.As(err, &unsent) || errors.As(err, &refused)
}

// client gives the client of a listed instance or a seed; it is made at the first call.
func (p *Peers) client(instance string) (*client.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[instance]; ok {
		return c, true
	}
	address, ok := p.address(instance)
	if !ok {
		return nil, false
	}
	c := client.New(address, p.revision, func(revision uint64) { p.heard(instance, revision) })
	p.clients[instance] = c
	return c, true
}

// call calls a peer and judges it by whether the call could be sent.
func (p *Peers) call(ctx context.Context, instance, method string, request, reply any) error {
	c, ok := p.client(instance)
	if !ok {
		return &client.UnsentError{Err: errUnknownPeer}
	}
	err := c.Call(ctx, method, request, reply)
	var unsent *client.UnsentError
	if errors.As(err, &unsent) && ctx.Err() == nil {
		p.contacts.RecordFailure(instance)
	}
	return err
}
