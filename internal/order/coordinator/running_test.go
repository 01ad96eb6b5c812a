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

// refusingUpstream is a Sender whose upstream refuses the first attempt, and a Viewer. It records which orders run
// at each call.
type refusingUpstream struct {
	staticViewer
	coordinator *coordinator.Coordinator
	attempts    int
	running     [][]string // at each call of Fresh and each attempt
}

func (r *refusingUpstream) recordRunning() { r.running = append(r.running, r.coordinator.Running()) }

func (r *refusingUpstream) Fresh(context.Context) (view.View, error) {
	r.recordRunning()
	return r.view, nil
}

func (r *refusingUpstream) Choose(shard.Shard, []string) (string, bool) { return "a", true }

func (r *refusingUpstream) Order(_ context.Context, upstream string, _ order.Request) (order.Reply, error) {
	r.recordRunning()
	if r.attempts++; r.attempts == 1 {
		return order.Reply{}, &failure.Failure{Upstream: upstream, Kind: failure.KindRefused, NotRun: true, Err: errors.New("refused")}
	}
	return order.Reply{OrderID: "7"}, nil
}

// TestRunning checks that an order is listed until it has an outcome, including between two attempts.
func TestRunning(t *testing.T) {
	r := &refusingUpstream{staticViewer: newStaticViewer(t)}
	r.coordinator = coordinator.New("north-1", 1, key, r, nil, r)
	reply, err := r.coordinator.MintLocal(mintRequest)
	require.NoError(t, err)
	require.Empty(t, r.coordinator.Running())
	o := r.coordinator.Handle(t.Context(), coordinator.Placement{Ticket: reply.Ticket, Caller: mintRequest.Caller, Service: mintRequest.Service, Key: "k", Body: "b"})
	require.Equal(t, outcome.Done, o.State)
	require.Equal(t, 2, r.attempts)
	require.Len(t, r.running, 5) // Fresh at the start of the run, then Fresh and an attempt twice
	for _, running := range r.running {
		require.Equal(t, []string{o.Reference}, running)
	}
	require.Empty(t, r.coordinator.Running())
}
