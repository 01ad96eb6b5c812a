package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// drainTime lets the balancer notice that the instance is not ready: two checks a second apart, and one of margin.
	drainTime = 3 * time.Second
	// stopShare of the time that a stop may take is used; the rest is for the process itself.
	stopShare    = 0.94
	peerStopTime = 100 * time.Millisecond
)

// stop serves on until the balancer sends no new connections, then finishes what is in flight.
func (t *Gateway) stop(callers *http.Server) {
	t.stopping.Store(true)
	t.flight.StartDraining()
	begun := time.Now()
	limit := time.Duration(stopShare * float64(t.settings.MaxStopTime))
	t.log.Info("instance stops", zap.Int("requests-in-flight", t.flight.Requests()), zap.Duration("limit", limit))
	time.Sleep(min(drainTime, limit/2))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(limit))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		t.log.Error("requests were cut off", zap.Int("requests", t.flight.Requests()), zap.Error(err))
		_ = callers.Close()
	}
}
