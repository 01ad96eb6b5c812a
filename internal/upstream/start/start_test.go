package start_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/upstream/start"

	"github.com/stretchr/testify/require"
)

// TestWithTimeout checks that the context is canceled at the limit only if the attempt has no connection.
func TestWithTimeout(t *testing.T) {
	for _, c := range []struct {
		name      string
		connected bool
		err       error
	}{
		{"no connection", false, context.Canceled},
		{"connection", true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outer, stop := context.WithTimeout(t.Context(), time.Minute)
				defer stop()
				ctx, cancel := start.WithTimeout(outer, time.Second)
				defer cancel()
				deadline, ok := start.Deadline(ctx)
				require.True(t, ok)
				require.Equal(t, time.Second, time.Until(deadline))
				if c.connected {
					start.Connected(ctx)
				}
				time.Sleep(2 * time.Second)
				require.Equal(t, c.err, ctx.Err())
			})
		})
	}
}

func TestDeadlineWithoutLimit(t *testing.T) {
	_, ok := start.Deadline(t.Context())
	require.False(t, ok)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	want, _ := ctx.Deadline()
	got, ok := start.Deadline(ctx)
	require.True(t, ok)
	require.Equal(t, want, got)
}
