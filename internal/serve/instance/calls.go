package instance

import (
	"context"
	"errors"

	"crocuswing/internal/fleet/peers"
	"crocuswing/internal/peer/server"
	"crocuswing/internal/wire/gossip"
	"crocuswing/internal/wire/relay"

	"github.com/vmihailenco/msgpack/v5"
)

// peerMethods returns the methods that other instances may call.
func (i *Instance) peerMethods() map[string]server.Handler {
	return map[string]server.Handler{
		peers.MethodOrder:  i.placeForwarded,
		peers.MethodMint:   i.mintForPeer,
		peers.MethodRelay:  i.relay,
		peers.MethodNotice: i.applyNotices,
		gossip.MethodSync:  i.sync,
		gossip.MethodPage:  i.page,
		gossip.MethodValue: i.value,
		gossip.MethodLeave: i.peerLeaving,
	}
}

// relay runs an attempt that another instance relays through this one.
func (i *Instance) relay(ctx context.Context, body []byte) (any, error) {
	var q relay.Request
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	if (q.Part == nil) == (q.Order == nil) {
		return nil, errors.New("want exactly one of part and order")
	}
	if _, err := i.Fresh(ctx); err != nil {
		return nil, err
	}
	return i.dispatcher.HandleRelay(ctx, q), nil
}

// applyNotices applies the state of upstreams that another home has observed.
func (i *Instance) applyNotices(_ context.Context, body []byte) (any, error) {
	var notices []relay.Notice
	if err := msgpack.Unmarshal(body, &notices); err != nil {
		return nil, err
	}
	i.dispatcher.HandleNotices(notices)
	return nil, nil
}

// sync compares the view of another instance with that of this one.
func (i *Instance) sync(_ context.Context, body []byte) (any, error) {
	var q gossip.SyncRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.HandleSync(q), nil
}

// page returns one page of the whole view.
func (i *Instance) page(_ context.Context, body []byte) (any, error) {
	var q gossip.PageRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.Store().Page(q)
}

// value returns the content of one value of the configuration.
func (i *Instance) value(_ context.Context, body []byte) (any, error) {
	var q gossip.ValueRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.Store().Value(q)
}

// peerLeaving records that another instance is leaving.
func (i *Instance) peerLeaving(_ context.Context, body []byte) (any, error) {
	var q gossip.Leave
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	i.follower.RecordLeaving(q.From)
	return true, nil
}
