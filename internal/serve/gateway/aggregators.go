package gateway

// addAggregatorGauges adds the gauges of the instances that gather parts for the others.
func (g *Gateway) addAggregatorGauges() {
	g.metrics.Gauge("crocuswing_aggregators", func() float64 {
		count, _ := g.aggregators.Concentration()
		return float64(count)
	})
	g.metrics.Gauge("crocuswing_is_aggregator", func() float64 {
		if _, isSelf := g.aggregators.Concentration(); isSelf {
			return 1
		}
		return 0
	})
}
