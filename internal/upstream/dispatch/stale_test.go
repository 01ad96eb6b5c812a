package dispatch_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/wire/order"
	"crocuswing/internal/wire/part"
	"crocuswing/internal/wire/relay"

	"github.com/stretchr/testify/require"
)

var errStaleView = errors.New("view is too old")

// TestStaleViewSendsNothing checks that nothing reaches the upstream if the view is too old: for attempts that are sent
// directly, that are relayed, and for which the view becomes too old while they wait in the queue.
func TestStaleViewSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, "b")
		defer f.close()
		first := f.firstHome("b")
		time.Sleep(time.Second)
		first.isStale.Store(true)
		_, err := first.Part(t.Context(), "b", part.Request{RequestID: "1"})
		require.True(t, isNotRun(err), "%v", err)
		require.ErrorIs(t, err, errStaleView)
		_, err = first.Order(t.Context(), "b", order.Request{RequestID: "2"})
		require.True(t, isNotRun(err), "%v", err)
		reply := first.HandleRelay(t.Context(), relay.Request{Upstream: "b", Part: &part.Request{RequestID: "3"}})
		require.True(t, reply.NotRun)
		other := f.nodes[f.homes("b")[1]]
		other.isStale.Store(true)
		_, err = other.Part(t.Context(), "b", part.Request{RequestID: "4"})
		require.ErrorIs(t, err, errStaleView)
		require.Zero(t, f.servers["b"].counts().arrivals)

		first.isStale.Store(false)
		for range testContract.ColdSlots { // occupy all slots
			go func() { _, _ = first.Part(t.Context(), "b", part.Request{RequestID: "5"}) }()
		}
		synctest.Wait()
		waited := make(chan error, 1)
		go func() {
			_, err := first.Part(t.Context(), "b", part.Request{RequestID: "6"})
			waited <- err
		}()
		synctest.Wait()
		first.isStale.Store(true)
		require.True(t, isNotRun(<-waited))
		require.Equal(t, testContract.ColdSlots, f.servers["b"].counts().arrivals)
	})
}
