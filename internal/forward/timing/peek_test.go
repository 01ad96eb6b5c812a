package timing

import (
	"testing"
	"time"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/query/balancer"
	"crocuswing/internal/routing/route"

	"github.com/stretchr/testify/require"
)

// TestPeek guards against a plan for an explanation that differs from that of a request, or that is recorded.
func TestPeek(t *testing.T) {
	p := New()
	rt := &route.Route{Name: "r", Objective: 100 * time.Millisecond, Timeout: time.Second}
	req := request.Request{Arrived: time.Now()}
	first := p.Peek(req, rt)
	require.Empty(t, p.routes)
	require.Equal(t, p.Plan(req, rt), first)
	for range 64 {
		p.RecordLatency("r", balancer.SameDomain, 20*time.Millisecond)
	}
	require.Equal(t, p.Plan(req, rt), p.Peek(req, rt))
	require.NotEqual(t, first, p.Peek(req, rt))
}
