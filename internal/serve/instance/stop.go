package instance

import (
	"context"
	"net/http"
	"time"

	"crocuswing/internal/peer/server"

	"go.uber.org/zap"
)

const (
	finishTimeout = 65 * time.Second // more than the longest deadline of a preset
)

// stop serves on through the balancer's lag, then finishes what is in flight: first the requests of
// callers, then the work of other instances and the orders.
func (i *Instance) stop(callers *http.Server, peerCalls *server.Server) {
	i.coordinator.StopMinting()
	i.stopping.Store(true)
	i.follower.SetLeaving()
	i.flight.StartDraining()
	i.log.Info("instance drains", zap.Int("delay-ms", i.settings.DrainDelayMS))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	finished := make(chan struct{})
	go func() {
		select {
		case <-i.hurry:
			i.logLost("stop is cut short")
			cancel()
		case <-finished:
		}
	}()
	defer close(finished)

	i.drain(ctx)
	ctx, end := context.WithTimeout(ctx, finishTimeout)
	defer end()
	if err := callers.Shutdown(ctx); err != nil {
		i.logLost("requests were cut off")
		_ = callers.Close()
	}
	i.coordinator.Wait(ctx)
	peerCalls.Shutdown(ctx)
	i.coordinator.Wait(ctx) // orders that were forwarded here meanwhile
	i.dispatcher.Wait(ctx)
	if i.coordinator.Stats().Running > 0 {
		i.logLost("orders were cut off")
	}
	i.peers.Close()
}

// drain tells the other instances and lets the balancer notice; requests are served meanwhile.
func (i *Instance) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.settings.DrainDelayMS)*time.Millisecond)
	defer cancel()
	i.peers.AnnounceLeaving(ctx, i.follower.Current().Instances())
	i.follower.RecordLeaving(i.settings.Instance) // others are first homes now
	<-ctx.Done()
}

// logLost names the outcomes that nobody will learn any more.
func (i *Instance) logLost(reason string) {
	i.log.Error(reason, zap.Int("requests", i.flight.Requests()), zap.Strings("orders-unknown", i.coordinator.Running()))
}
