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

// maxMintPeers is the number of peers that are asked for a ticket before the request is refused.
const maxMintPeers = 8

// MethodMint requests a ticket. An instance that is stopping refuses it.
const MethodMint = "mint"

// Forward sends a placement to the instance that owns its ticket. It fails with *coordinator.UnsentError if the placement
// was not sent; after any other error the owner may have executed it.
func (p *Peers) Forward(ctx context.Context, owner string, placement coordinator.Placement) (outcome.Outcome, error) {
	var o outcome.Outcome
	err := p.call(ctx, owner, MethodOrder, placement, &o)
	var unsent *client.UnsentError
	if errors.As(err, &unsent) {
		return outcome.Outcome{}, &coordinator.UnsentError{Err: err}
	}
	return o, err
}

// Mint requests a ticket from other instances, up to maxMintPeers in random order, and returns the first one issued.
func (p *Peers) Mint(ctx context.Context, req coordinator.MintRequest) (coordinator.MintReply, error) {
	err := errUnknownPeer
	for _, peer := range p.mintCandidates(maxMintPeers) {
		var reply coordinator.MintReply
		if err = p.call(ctx, peer, MethodMint, req, &reply); err == nil {
			return reply, nil
		}
	}
	return coordinator.MintReply{}, err
}

// mintCandidates returns the names of up to limit listed instances that are not leaving, in random order.
func (p *Peers) mintCandidates(limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, m := range p.roster.OfKind(member.KindInstance) {
		if m.Name != p.self && m.State != member.StateLeaving {
			names = append(names, m.Name)
		}
	}
	rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:min(limit, len(names))]
}
