package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWait begins functions while another goroutine waits, also in the moment in which none runs.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		require.Zero(t, g.Wait(t.Context()))
		for range 100 {
			g.Go(func() { time.Sleep(time.Millisecond) })
			go g.Wait(t.Context())
		}
		start := time.Now()
		g.Go(func() { time.Sleep(time.Second) })
		require.Zero(t, g.Wait(t.Context()))
		require.Equal(t, time.Second, time.Since(start))

		time.Sleep(time.Millisecond) // the waits above have ended
		g.Go(func() { time.Sleep(time.Hour) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.Equal(t, 1, g.Wait(ctx), "a wait that is given up tells what still runs")
		require.Zero(t, g.Wait(t.Context()))
	})
}
