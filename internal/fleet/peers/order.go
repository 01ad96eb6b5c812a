package peers

import (
	"context"
	"errors"
	"math/rand/v2"

	"crocuswing/internal/fleet/member"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/peer/client"
)

const mintPeers = 8 // asked for a ticket before a request for one is refused

// MethodMint asks for a ticket; an instance that stops refuses it.
const MethodMint = "mint"

// Forward hands a placement to the instance that owns its ticket. It fails with *coordinator.UnsentError
// if the owner did not get it; after any other error the owner may have acted.
func (p *Peers) Forward(ctx context.Context, owner string, placement coordinator.Placement) (outcome.Outcome, error) {
	var o outcome.Outcome
	err := p.call(ctx, owner, MethodOrder, placement, &o)
	var unsent *client.UnsentError
	if errors.As(err, &unsent) {
		return outcome.Outcome{}, &coordinator.UnsentError{Err: err}
	}
	return o, err
}

// Mint takes a ticket from another instance, trying a few in random order. It fails if none gives one.
func (p *Peers) Mint(ctx context.Context, c coordinator.MintRequest) (coordinator.MintReply, error) {
	err := errUnknownPeer
	for _, peer := range p.others(mintPeers) {
		var g coordinator.MintReply
		if err = p.call(ctx, peer, MethodMint, c, &g); err == nil {
			return g, nil
		}
	}
	return coordinator.MintReply{}, err
}

// others gives the names of up to most listed instances that are not leaving, in random order.
func (p *Peers) others(most int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, m := range p.roster.OfKind(member.KindInstance) {
		if m.Name != p.self && m.State != member.StateLeaving {
			names = append(names, m.Name)
		}
	}
	rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(most, len(names))]
}
