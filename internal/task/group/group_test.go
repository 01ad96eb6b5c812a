package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWait starts functions while other goroutines wait, also when the count is 0, which sync.WaitGroup does not allow.
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

		time.Sleep(time.Millisecond) // all Wait calls above have returned
		g.Go(func() { time.Sleep(time.Hour) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		require.Equal(t, 1, g.Wait(ctx), "a canceled wait returns the number of running functions")
		require.Zero(t, g.Wait(t.Context()))
	})
}
