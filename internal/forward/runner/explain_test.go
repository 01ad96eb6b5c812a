package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/operator/routereport"
	"crocuswing/internal/published/state"

	"github.com/stretchr/testify/require"
)

// TestExplain guards against an explanation that differs from what Run does: status and reason of a refusal, and the services.
func TestExplain(t *testing.T) {
	for _, c := range []struct {
		name   string
		host   string
		change func(h *harness)
		status int // of the refusal; 0 if the request is sent
	}{
		{name: "sent", host: "h"},
		{name: "no route", host: "other", status: 404},
		{name: "no route in an old view", host: "other", change: func(h *harness) { h.ViewAge = time.Minute }, status: 503},
		{name: "no configuration", host: "h", change: func(h *harness) { h.Published = &state.View{} }, status: 503},
		{name: "all domains are out", host: "h", change: func(h *harness) {
			for _, cl := range h.Catalog.Clusters() {
				cl.SetExcludedDomains(map[string]bool{"d": true, "e": true})
			}
		}, status: 503},
		{name: "full", host: "h", change: func(h *harness) {
			h.runner.limiter.SetLimit(2)
			require.True(h, h.runner.limiter.Acquire(2, 0))
		}, status: 503},
		{name: "stops", host: "h", change: func(h *harness) { h.runner.Stop(time.Now()) }, status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, lookupShape())
				defer h.stop()
				if c.change != nil {
					c.change(h)
				}
				shards := len(h.Replicas)
				req := h.NewRequest(0)
				req.Host = c.host
				rep := h.runner.Explain(request.Request{Method: "GET", Host: c.host, Path: req.Path}, h.Catalog)
				got := h.runner.Run(context.Background(), req)
				if c.status == 0 {
					require.Nil(t, rep.Refusal)
					require.Equal(t, 200, got.Status)
					require.Equal(t, shards, rep.ServiceCount)
					require.Len(t, rep.Services, min(shards, routereport.MaxServices))
					require.Equal(t, shards, rep.Available)
					return
				}
				require.NotNil(t, rep.Refusal)
				require.Equal(t, c.status, rep.Refusal.Status)
				require.Equal(t, got.Status, rep.Refusal.Status)
				require.Equal(t, got.Reason, rep.Refusal.Reason)
				require.Equal(t, got.RetryAfter > 0, rep.Refusal.RetryAfterMS > 0)
			})
		})
	}
}

// TestExplainSendsNothing guards against a question that reaches an upstream or counts as a request.
func TestExplainSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, lookupShape())
		defer h.stop()
		before := h.Catalog.Clusters()[0].Remaining()
		for range 100 {
			h.runner.Explain(request.Request{Method: "GET", Host: "h", Path: "/x"}, h.Catalog)
		}
		synctest.Wait()
		require.Zero(t, h.History.Len())
		require.Zero(t, h.runner.limiter.Used())
		require.Equal(t, before, h.Catalog.Clusters()[0].Remaining())
	})
}
