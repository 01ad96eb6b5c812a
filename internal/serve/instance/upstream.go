package instance

import (
	"fmt"

	"crocuswing/internal/upstream/target"

	"go.uber.org/zap"
)

// upstreamChanged logs and counts a change of an upstream's state.
func (i *Instance) upstreamChanged(upstream string, c target.Change) {
	i.log.Info("upstream changed", zap.String("upstream", upstream), zap.String("incarnation", c.Incarnation),
		zap.Bool("warm-up-began", c.WarmupStarted), zap.Bool("warm-up-ended", c.WarmupEnded), zap.Bool("leaving", c.DrainStarted))
	for change, happened := range map[string]bool{"warm-up-began": c.WarmupStarted, "warm-up-ended": c.WarmupEnded, "leaving": c.DrainStarted} {
		if happened {
			i.metrics.Count(fmt.Sprintf("crocuswing_upstream_changes_total{change=%q}", change))
		}
	}
}

// upstreamRefused counts an attempt that was not assigned a slot of an upstream.
func (i *Instance) upstreamRefused(reason string) {
	i.metrics.Count(fmt.Sprintf("crocuswing_upstream_refusals_total{reason=%q}", reason))
}

// registerUpstreamGauges registers the gauges of the upstreams of which this instance is a home.
func (i *Instance) registerUpstreamGauges() {
	i.metrics.Gauge("crocuswing_upstream_homes", func() float64 { return float64(i.directory.Summary().Homes) })
	i.metrics.Gauge("crocuswing_upstream_cold", func() float64 { return float64(i.directory.Summary().Cold) })
	i.metrics.Gauge("crocuswing_upstream_unproven", func() float64 { return float64(i.directory.Summary().Unproven) })
	i.metrics.Gauge("crocuswing_upstream_in_flight", func() float64 { return float64(i.directory.Summary().InFlight) })
	i.metrics.Gauge("crocuswing_upstream_waiting", func() float64 { return float64(i.directory.Summary().Waiting) })
}
