package coordinator_test

import (
	"context"
	"errors"
	"testing"

	"crocuswing/internal/fleet/view"
	"crocuswing/internal/index/shard"
	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/outcome"
	"crocuswing/internal/upstream/failure"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/require"
)

// refusing is an upstream that refuses the first attempt, and the view beside; it notes which orders run.
type refusing struct {
	fresh
	desk     *coordinator.Coordinator
	attempts int
	seen     [][]string // at each look at the view and each attempt
}

func (r *refusing) look() { r.seen = append(r.seen, r.desk.Running()) }

func (r *refusing) Fresh(context.Context) (view.View, error) {
	r.look()
	return r.view, nil
}

func (r *refusing) Choose(shard.Shard, []string) (string, bool) { return "a", true }

func (r *refusing) Order(_ context.Context, upstream string, _ order.Request) (order.Reply, error) {
	r.look()
	if r.attempts++; r.attempts == 1 {
		return order.Reply{}, &failure.Failure{Upstream: upstream, Kind: failure.KindRefused, NotRun: true, Err: errors.New("refused")}
	}
	return order.Reply{OrderID: "7"}, nil
}

// TestRunning wants an order listed from its beginning to its outcome, also between two attempts.
func TestRunning(t *testing.T) {
	r := &refusing{fresh: newFresh(t)}
	r.desk = coordinator.New("north-1", 1, key, r, nil, r)
	g, err := r.desk.MintLocal(claim)
	require.NoError(t, err)
	require.Empty(t, r.desk.Running())
	o := r.desk.Handle(t.Context(), coordinator.Placement{Ticket: g.Ticket, Caller: claim.Caller, Service: claim.Service, Key: "k", Body: "b"})
	require.Equal(t, outcome.Done, o.State)
	require.Equal(t, 2, r.attempts)
	require.Len(t, r.seen, 5) // the run's view, then a view and an attempt twice
	for _, running := range r.seen {
		require.Equal(t, []string{o.Reference}, running)
	}
	require.Empty(t, r.desk.Running())
}
