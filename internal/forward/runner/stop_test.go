package runner

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/forward/reply"

	"github.com/stretchr/testify/require"
)

// TestStopRepliesByEnd guards against requests without an answer in a planned stop: whatever its route, and whether it arrives before the
// stop or during it, a request whose upstreams are silent has its reply by the end.
func TestStopRepliesByEnd(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		for _, delay := range []time.Duration{-time.Second, 0, time.Second} { // from the stop to the request
			synctest.Test(t, func(t *testing.T) {
				topo := orderShape()
				topo.Route.NonIdempotent, topo.Route.Timeout = nonIdempotent, 10*time.Second
				h := newHarness(t, topo)
				defer h.stop()
				for _, p := range h.AllReplicas() {
					p.SetUnresponsive(true)
				}
				end := time.Now().Add(6 * time.Second)
				time.AfterFunc(2*time.Second, func() { h.runner.Stop(end) })
				time.Sleep(2*time.Second + delay)
				synctest.Wait()
				start := time.Now()
				rep := h.runner.Run(t.Context(), h.NewRequest(topo.Route.Timeout))
				if nonIdempotent && delay >= 0 {
					require.Equal(t, http.StatusServiceUnavailable, rep.Status)
					require.Positive(t, rep.RetryAfter)
					require.Equal(t, start, time.Now())
					for _, p := range h.AllReplicas() {
						require.Empty(t, p.ArrivalTimes())
					}
					return
				}
				require.Equal(t, http.StatusGatewayTimeout, rep.Status)
				require.Equal(t, end, time.Now())
			})
		}
	}
}

// TestStopServesWhatCanEnd checks that during a stop requests are served as before if their time is over by the end, and that a merged
// answer whose missing parts are late is sent at the end.
func TestStopServesWhatCanEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, orderShape())
		defer h.stop()
		h.runner.Stop(time.Now().Add(4 * time.Second))
		for _, o := range h.GenerateLoad(20, 2*time.Second, timeout, h.runner.Run) {
			require.Equal(t, http.StatusOK, o.Status)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		topo := lookupShape()
		topo.PauseEvery = 0
		topo.Route.Objective = topo.Route.Timeout - 100*time.Millisecond
		h := newHarness(t, topo)
		defer h.stop()
		for _, p := range h.Replicas["s07"] {
			p.SetUnresponsive(true)
		}
		end := time.Now().Add(300 * time.Millisecond)
		var rep reply.Reply
		var wg sync.WaitGroup
		wg.Go(func() { rep = h.runner.Run(t.Context(), h.NewRequest(topo.Route.Timeout)) })
		time.Sleep(100 * time.Millisecond)
		h.runner.Stop(end)
		wg.Wait()
		require.Equal(t, end, time.Now())
		require.Equal(t, http.StatusOK, rep.Status)
		require.Equal(t, 1, rep.Missing)
	})
}
