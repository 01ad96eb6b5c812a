package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// drainDelay is the time in which the balancer detects that the instance is not ready: two checks one second apart, plus one
	// second of margin.
	drainDelay = 3 * time.Second
	// stopTimeShare is the fraction of the permitted stop time that is used; the rest is for the exit of the process.
	stopTimeShare = 0.94
	// finalReplyTime is the time that is left, at the end of a stop, for the replies that are due then.
	finalReplyTime      = 100 * time.Millisecond
	peerShutdownTimeout = 100 * time.Millisecond
)

// stop keeps serving until the balancer opens no new connections, then finishes what is in flight.
func (g *Gateway) stop(callers *http.Server) {
	g.stopping.Store(true)
	g.inFlight.StartDraining()
	start := time.Now()
	timeout := time.Duration(stopTimeShare * float64(g.settings.MaxStopTime))
	g.runner.Stop(start.Add(timeout - finalReplyTime))
	g.log.Info("instance stops", zap.Int("requests-in-flight", g.inFlight.Requests()), zap.Duration("limit", timeout))
	time.Sleep(min(drainDelay, timeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(timeout))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		if n := g.inFlight.Requests(); n > 0 {
			g.log.Error("requests were cut off", zap.Int("requests", n), zap.Error(err))
		}
		_ = callers.Close()
	}
}
