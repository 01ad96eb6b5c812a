// Package pause implements a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d, or until ctx is done if that is earlier. It reports whether ctx is not done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
