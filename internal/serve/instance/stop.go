package instance

import (
	"context"
	"net/http"
	"time"

	"crocuswing/internal/peer/server"

	"go.uber.org/zap"
)

const (
	finishTimeout = 65 * time.Second // exceeds the longest deadline of a preset
)

// stop keeps serving until the balancer has detected the stop, then finishes what is in flight: first the requests of
// callers, then the calls of other instances and the orders.
func (i *Instance) stop(callerServer *http.Server, peerServer *server.Server) {
	i.coordinator.StopMinting()
	i.stopping.Store(true)
	i.follower.SetLeaving()
	i.inFlight.StartDraining()
	i.log.Info("instance drains", zap.Int("delay-ms", i.settings.DrainDelayMS))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	finished := make(chan struct{})
	go func() {
		select {
		case <-i.forceStop:
			i.logUnfinished("stop is cut short")
			cancel()
		case <-finished:
		}
	}()
	defer close(finished)

	i.drain(ctx)
	ctx, cancelWait := context.WithTimeout(ctx, finishTimeout)
	defer cancelWait()
	if err := callerServer.Shutdown(ctx); err != nil {
		i.logUnfinished("requests were cut off")
		_ = callerServer.Close()
	}
	i.coordinator.Wait(ctx)
	peerServer.Shutdown(ctx)
	i.coordinator.Wait(ctx) // orders that were forwarded here during the shutdown
	i.dispatcher.Wait(ctx)
	if i.coordinator.Stats().Running > 0 {
		i.logUnfinished("orders were cut off")
	}
	i.peers.Close()
}

// drain notifies the other instances and waits until the balancer has detected the stop. Requests are still served.
func (i *Instance) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(i.settings.DrainDelayMS)*time.Millisecond)
	defer cancel()
	i.peers.AnnounceLeaving(ctx, i.follower.Current().Instances())
	i.follower.RecordLeaving(i.settings.Instance) // other instances are now the first homes
	<-ctx.Done()
}

// logUnfinished logs the number of requests in flight and the orders whose outcome will not be known.
func (i *Instance) logUnfinished(msg string) {
	i.log.Error(msg, zap.Int("requests", i.inFlight.Requests()), zap.Strings("orders-unknown", i.coordinator.Running()))
}
