package gateway

import (
	"net/http"
	"strings"
	"testing"

	"crocuswing/internal/forward/request"
	"crocuswing/internal/forward/runner"
	"crocuswing/internal/settings/deployment"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestAggregatorsAreShown guards against a report on a route, or metrics, without the instances that gather for the others. An instance that
// knows no other reports an empty list, not null.
func TestAggregatorsAreShown(t *testing.T) {
	settings := deployment.Settings{Instance: "i-1", FailureDomain: "a1", Region: "a", Regions: map[string]string{"a1": "a"}}
	g := New(settings, Ports{NewHandler: func(*runner.Runner) http.Handler { return http.NotFoundHandler() }}, zap.NewNop())
	require.Equal(t, []string{}, g.explainRoute(request.Request{Host: "h", Path: "/"}).Aggregators)
	var b strings.Builder
	g.metrics.Write(&b)
	require.Contains(t, b.String(), "crocuswing_aggregators 0\n")
	require.Contains(t, b.String(), "crocuswing_is_aggregator 0\n")
	g.gatherers = func() []string { return []string{"i-2"} }
	require.Equal(t, []string{"i-2"}, g.explainRoute(request.Request{Host: "h", Path: "/"}).Aggregators)
}
