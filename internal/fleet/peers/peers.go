// Package peers calls the other instances: it syncs views, relays attempts to upstreams, and forwards orders to the owners of
// their tickets. It keeps one client per instance and reports calls that could not be sent to the failure detector.
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
	// MethodOrder forwards an order to the instance that owns its ticket.
	MethodOrder = "order"
	// MethodRelay sends an attempt through the first home of an upstream.
	MethodRelay = "relay"
	// MethodNotice reports observations of an upstream to its other homes.
	MethodNotice = "notice"
)

// Peers maps the names of instances to clients. It is safe for concurrent use.
type Peers struct {
	self       string
	seeds      []string
	revision   func() uint64
	onRevision func(peer string, revision uint64)
	detector   *detector.Detector

	mu      sync.Mutex
	roster  roster.Roster
	clients map[string]*client.Client // by instance; created at the first call
}

var errUnknownPeer = errors.New("instance is not listed")

// New returns the peers of the instance self. Seeds are addresses that may be called before the member list is known.
// It sends the revision returned by revision with each call, and calls onRevision with the revision of each frame received.
func New(self string, seeds []string, d *detector.Detector, revision func() uint64, onRevision func(string, uint64)) *Peers {
	return &Peers{
		self:       self,
		seeds:      seeds,
		revision:   revision,
		onRevision: onRevision,
		detector:   d,
		clients:    make(map[string]*client.Client),
	}
}

// Update replaces the instances that may be called by those listed in v. It closes the clients of instances that are no longer
// listed or have another address.
func (p *Peers) Update(v view.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster = v.Roster()
	for name, c := range p.clients {
		if address, ok := p.addressOf(name); !ok || address != c.Address() {
			c.Close()
			delete(p.clients, name)
		}
	}
}

// addressOf returns the address of a peer, which is given by its instance name or is itself the address of a seed.
func (p *Peers) addressOf(peer string) (string, bool) {
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
func (p *Peers) Relay(ctx context.Context, instance string, req relay.Request) (relay.Reply, error) {
	var reply relay.Reply
	err := p.call(ctx, instance, MethodRelay, req, &reply)
	if err == nil {
		return reply, nil
	}
	return relay.Reply{}, &failure.Failure{Upstream: req.Upstream, Kind: failure.KindRelay, NotRun: isNotRun(err), Err: err}
}

// Notify reports observations of upstreams to another instance.
func (p *Peers) Notify(ctx context.Context, instance string, notices []relay.Notice) error {
	var reply struct{}
	return p.call(ctx, instance, MethodNotice, notices, &reply)
}

// isNotRun reports whether the error shows that the peer did not execute the call.
func isNotRun(err error) bool {
	var unsent *client.UnsentError
	var refused *client.RefusedError
	return errors.As(err, &unsent) || errors.As(err, &refused)
}

// client returns the client of a listed instance or a seed. It creates the client at the first call.
func (p *Peers) client(instance string) (*client.Client, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[instance]; ok {
		return c, true
	}
	address, ok := p.addressOf(instance)
	if !ok {
		return nil, false
	}
	c := client.New(address, p.revision, func(revision uint64) { p.onRevision(instance, revision) })
	p.clients[instance] = c
	return c, true
}

// call calls a method of a peer. A call that could not be sent counts as a failure of the peer, unless ctx has ended.
func (p *Peers) call(ctx context.Context, instance, method string, request, reply any) error {
	c, ok := p.client(instance)
	if !ok {
		return &client.UnsentError{Err: errUnknownPeer}
	}
	err := c.Call(ctx, method, request, reply)
	var unsent *client.UnsentError
	if errors.As(err, &unsent) && ctx.Err() == nil {
		p.detector.RecordFailure(instance)
	}
	return err
}
