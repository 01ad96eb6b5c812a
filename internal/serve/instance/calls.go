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

// methods are the calls that other instances may make.
func (i *Instance) methods() map[string]server.Handler {
	return map[string]server.Handler{
		peers.MethodOrder:  i.placeForwarded,
		peers.MethodMint:   i.mintFor,
		peers.MethodRelay:  i.relay,
		peers.MethodNotice: i.notice,
		gossip.MethodSync:  i.sync,
		gossip.MethodPage:  i.page,
		gossip.MethodValue: i.value,
		gossip.MethodLeave: i.left,
	}
}

// relay runs an attempt that another instance sends through this one.
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

// notice takes what another home saw of upstreams.
func (i *Instance) notice(_ context.Context, body []byte) (any, error) {
	var notices []relay.Notice
	if err := msgpack.Unmarshal(body, &notices); err != nil {
		return nil, err
	}
	i.dispatcher.HandleNotices(notices)
	return nil, nil
}

// sync compares views with another instance.
func (i *Instance) sync(_ context.Context, body []byte) (any, error) {
	var q gossip.SyncRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.HandleSync(q), nil
}

// page gives a part of the whole view.
func (i *Instance) page(_ context.Context, body []byte) (any, error) {
	var q gossip.PageRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.Store().Page(q)
}

// value gives the content of one value.
func (i *Instance) value(_ context.Context, body []byte) (any, error) {
	var q gossip.ValueRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return i.follower.Store().Value(q)
}

// left notes that another instance leaves.
func (i *Instance) left(_ context.Context, body []byte) (any, error) {
	var q gossip.Leave
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	i.follower.RecordLeaving(q.From)
	return true, nil
}
