// Package pause waits for a time or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still goes on; it returns early when ctx ends.
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
