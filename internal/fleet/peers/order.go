package peers

import (
	"context"
	"errors"

	"crocuswing/internal/order/desk"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/peer/client"
)

// MethodMint asks for a ticket; an instance that stops refuses it.
const MethodMint = "mint"

// Forward hands a placement to the instance that owns its ticket. It fails with *desk.UnsentError
// if the owner did not get it; after any other error the owner may have acted.
func (p *Peers) Forward(ctx context.Context, owner string, placement desk.Placement) (outcome.Outcome, error) {
	c, ok := p.client(owner)
	if !ok {
		return outcome.Outcome{}, &desk.UnsentError{Err: errUnknownPeer}
	}
	var o outcome.Outcome
	err := c.Call(ctx, MethodOrder, placement, &o)
	var unsent *client.UnsentError
	if errors.As(err, &unsent) {
		return outcome.Outcome{}, &desk.UnsentError{Err: err}
	}
	return o, err
}

// Mint takes a ticket from any other instance. It fails if none gives one.
func (p *Peers) Mint(ctx context.Context, c desk.Claim) (desk.Grant, error) {
	err := errUnknownPeer
	for _, peer := range p.all() {
		var g desk.Grant
		if err = peer.Call(ctx, MethodMint, c, &g); err == nil {
			return g, nil
		}
	}
	return desk.Grant{}, err
}

// all gives the clients of all instances in the view, in random order.
func (p *Peers) all() []*client.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*client.Client, 0, len(p.clients))
	for _, c := range p.clients {
		all = append(all, c)
	}
	return all
}
