package catalog

import (
	"testing"
	"time"

	"crocuswing/internal/published/state"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/routing/route"
	"crocuswing/internal/routing/service"
	"crocuswing/internal/routing/table"
	"crocuswing/internal/settings/deployment"
	"crocuswing/internal/stats/history"

	"github.com/stretchr/testify/require"
)

// TestGatheredShares checks that the limits of gathered services are divided among the aggregators, that the others have no share, and that
// the limits of services with plain routes stay divided among all instances.
func TestGatheredShares(t *testing.T) {
	routes := []route.Route{
		{Name: "search", Host: "h", Prefix: "/", Shards: []string{"s0", "s1", "both"}, TopK: 1},
		{Name: "fetch", Host: "h", Prefix: "/fetch", Destinations: []route.Destination{{Service: "plain", Weight: 1}, {Service: "both", Weight: 1}}},
	}
	var services []service.Service
	for _, name := range []string{"s0", "s1", "both", "plain"} {
		services = append(services, service.Service{Name: name, MaxConnections: 52, ColdRate: 8})
	}
	services[3].MaxConnections = 10 // of no gathered service
	c := New(deployment.Settings{Bounds: deployment.Bounds{ExtraRatio: 0.2, ExtraSlack: 58, ExtraWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5}}, history.New())
	require.Zero(t, c.GatheredConnections(), "no configuration yet")
	c.SetInstanceCount(59)
	c.Update(&state.View{Table: table.New(1, routes, services, limits.Limits{})})
	require.InDelta(t, 44.2, c.GatheredConnections(), 1e-9)
	type share struct {
		connections, coldRate, preconnected int
		subset                              float64
	}
	shareOf := func(service string) share {
		return share{c.connectionShare(service), c.coldShare(service)("u"), c.preconnected(service), c.subsetFraction(service)}
	}
	flat, plain := shareOf("s0"), shareOf("plain")
	require.Equal(t, share{1, 0, 1, 0.85 * 52 / 59}, flat)

	c.SetAggregators(11, true)
	require.Equal(t, share{4, 0, aggregatorPreconnected, 1}, shareOf("s0"), "cold rates stay divided among all instances")
	require.Equal(t, flat, shareOf("both"))
	require.Equal(t, plain, shareOf("plain"))

	c.SetAggregators(11, false)
	require.Equal(t, share{1, 0, aggregatorPreconnected, 0}, shareOf("s0"), "a connection only for an attempt that needs one")
	require.Equal(t, flat, shareOf("both"))
	require.Equal(t, plain, shareOf("plain"))

	c.SetAggregators(0, false)
	require.Equal(t, flat, shareOf("s0"))

	slack := func(service string) float64 { return c.extraSlack(service) }
	c.SetAggregators(11, true)
	aggregator := slack("s0")
	require.InDelta(t, 0.85*58/59, slack("both"), 1e-9)
	c.SetAggregators(11, false)
	require.Less(t, slack("s0"), aggregator, "aggregators send the hedges")
	require.InDelta(t, 0.85*58, 11*aggregator+48*slack("s0"), 1e-9, "all instances together use the permitted slack")

	c.SetFleet(nil)
	c.SetAggregators(2, true)
	require.Less(t, slack("s0"), 0.02, "an instance that does not know the fleet may know too few aggregators")
	require.Equal(t, 1, c.connectionShare("s0"))
}
