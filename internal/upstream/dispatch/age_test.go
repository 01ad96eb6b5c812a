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

var errOld = errors.New("view is too old")

// TestAge dispatches with a view that is too old: at the instance itself, through another one, and
// where it becomes too old while the attempt waits in the queue. Nothing may reach the upstream.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, "b")
		defer f.close()
		first := f.first("b")
		time.Sleep(time.Second)
		first.isOld.Store(true)
		_, err := first.Part(t.Context(), "b", part.Request{RequestID: "1"})
		require.True(t, isNotRun(err), "%v", err)
		require.ErrorIs(t, err, errOld)
		_, err = first.Order(t.Context(), "b", order.Request{RequestID: "2"})
		require.True(t, isNotRun(err), "%v", err)
		reply := first.HandleRelay(t.Context(), relay.Request{Upstream: "b", Part: &part.Request{RequestID: "3"}})
		require.True(t, reply.NotRun)
		other := f.nodes[f.homes("b")[1]]
		other.isOld.Store(true)
		_, err = other.Part(t.Context(), "b", part.Request{RequestID: "4"})
		require.ErrorIs(t, err, errOld)
		require.Zero(t, f.servers["b"].counts().arrivals)

		first.isOld.Store(false)
		for range bounds.ColdSlots { // take all slots
			go func() { _, _ = first.Part(t.Context(), "b", part.Request{RequestID: "5"}) }()
		}
		synctest.Wait()
		waited := make(chan error, 1)
		go func() {
			_, err := first.Part(t.Context(), "b", part.Request{RequestID: "6"})
			waited <- err
		}()
		synctest.Wait()
		first.isOld.Store(true)
		require.True(t, isNotRun(<-waited))
		require.Equal(t, bounds.ColdSlots, f.servers["b"].counts().arrivals)
	})
}
