package peers

import (
	"context"
	"time"

	"crocuswing/internal/wire/gossip"

	"golang.org/x/sync/errgroup"
)

const (
	maxLeaveCalls = 16 // concurrent calls
	leaveTimeout  = 200 * time.Millisecond
)

// Sync compares views with a peer. The reply includes what this instance lacks, if it is a recent change. Sync leaves it to its
// caller to record a failure of the call, since the follower does so for all kinds of failures.
func (p *Peers) Sync(ctx context.Context, peer string, req gossip.SyncRequest) (gossip.SyncReply, error) {
	var reply gossip.SyncReply
	c, ok := p.client(peer)
	if !ok {
		return reply, errUnknownPeer
	}
	return reply, c.Call(ctx, gossip.MethodSync, req, &reply)
}

// Page reads one page of a peer's complete view.
func (p *Peers) Page(ctx context.Context, peer string, req gossip.PageRequest) (gossip.Page, error) {
	var page gossip.Page
	return page, p.call(ctx, peer, gossip.MethodPage, req, &page)
}

// Value reads one value from a peer.
func (p *Peers) Value(ctx context.Context, peer string, req gossip.ValueRequest) (gossip.Value, error) {
	var value gossip.Value
	return value, p.call(ctx, peer, gossip.MethodValue, req, &value)
}

// AnnounceLeaving notifies the given peers that this instance is leaving. It returns when all calls have ended or ctx is done.
func (p *Peers) AnnounceLeaving(ctx context.Context, peers []string) {
	var calls errgroup.Group
	calls.SetLimit(maxLeaveCalls)
	for _, peer := range peers {
		if peer == p.self || ctx.Err() != nil {
			continue
		}
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			var acked bool
			return p.call(callCtx, peer, gossip.MethodLeave, gossip.Leave{From: p.self}, &acked)
		})
	}
	_ = calls.Wait() // peers that were not reached learn it from the member list
}
