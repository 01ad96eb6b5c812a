package peers

import (
	"context"
	"time"

	"crocuswing/internal/wire/gossip"

	"golang.org/x/sync/errgroup"
)

const (
	leaveCalls   = 16 // at once
	leaveTimeout = 200 * time.Millisecond
)

// Sync compares views with a peer.
func (p *Peers) Sync(ctx context.Context, peer string, q gossip.SyncRequest) (gossip.SyncReply, error) {
	var r gossip.SyncReply
	c, ok := p.client(peer)
	if !ok {
		return r, errUnknownPeer
	}
	return r, c.Call(ctx, gossip.MethodSync, q, &r)
}

// Page reads one page of a peer's whole view.
func (p *Peers) Page(ctx context.Context, peer string, q gossip.PageRequest) (gossip.Page, error) {
	var r gossip.Page
	return r, p.call(ctx, peer, gossip.MethodPage, q, &r)
}

// Value reads one value from a peer.
func (p *Peers) Value(ctx context.Context, peer string, q gossip.ValueRequest) (gossip.Value, error) {
	var r gossip.Value
	return r, p.call(ctx, peer, gossip.MethodValue, q, &r)
}

// AnnounceLeaving tells the given peers that this instance leaves. It returns when all were told or ctx ends.
func (p *Peers) AnnounceLeaving(ctx context.Context, peers []string) {
	var calls errgroup.Group
	calls.SetLimit(leaveCalls)
	for _, peer := range peers {
		if peer == p.self || ctx.Err() != nil {
			continue
		}
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
			defer cancel()
			var told bool
			return p.call(callCtx, peer, gossip.MethodLeave, gossip.Leave{From: p.self}, &told)
		})
	}
	_ = calls.Wait() // the list tells those that could not be told
}
