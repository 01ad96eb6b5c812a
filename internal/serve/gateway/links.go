package gateway

import "crocuswing/internal/upstream/link"

// addLinkGauges registers the numbers of connections to upstreams. They are sums over the present upstreams, so that totals fall when one
// leaves.
func (g *Gateway) addLinkGauges() {
	for name, read := range map[string]func(link.Stats) float64{
		"crocuswing_upstream_connections":                func(s link.Stats) float64 { return float64(s.Connections) },
		"crocuswing_upstream_connections_opened_total":   func(s link.Stats) float64 { return float64(s.Opened) },
		"crocuswing_upstream_connections_replaced_total": func(s link.Stats) float64 { return float64(s.Replaced) },
	} {
		g.metrics.Gauge(name, func() float64 { return read(g.catalog.LinkStats()) })
	}
}
