package gateway

import (
	"context"
	"time"

	"crocuswing/internal/query/locality"
	"crocuswing/internal/task/pause"

	"go.uber.org/zap"
)

const (
	// sharesInterval is the time between two looks at the shares that leave the failure domain. A wave of demand takes several seconds.
	sharesInterval = time.Second
	// loggedShareChange is the change of the share of a service that is logged.
	loggedShareChange = 0.25
	// maxLoggedServices is the number of services whose shares are logged in each interval.
	maxLoggedServices = 5
)

// leavingShares returns the number of services whose shares are decided by reported loads, and the mean share that leaves.
func (g *Gateway) leavingShares() (services int, mean float64) {
	for _, c := range g.catalog.Clusters() {
		if share, ok := c.Leaving(); ok {
			services++
			mean += share
		}
	}
	return services, mean / float64(max(1, services))
}

// registerShareMetrics registers the gauges of the shares.
func (g *Gateway) registerShareMetrics() {
	g.metrics.Gauge("crocuswing_locality_services", func() float64 {
		services, _ := g.leavingShares()
		return float64(services)
	})
	g.metrics.Gauge("crocuswing_locality_leaving_share", func() float64 {
		_, mean := g.leavingShares()
		return mean
	})
}

// logShares logs the shares of a service each time that the leaving one has changed by loggedShareChange, until ctx ends.
func (g *Gateway) logShares(ctx context.Context) {
	logged := make(map[string]float64)
	for pause.For(ctx, sharesInterval) {
		left := maxLoggedServices
		for _, c := range g.catalog.Clusters() {
			share, ok := c.Leaving()
			if change := share - logged[c.Name()]; !ok || (change < loggedShareChange && change > -loggedShareChange) {
				continue
			}
			if left--; left < 0 {
				break
			}
			g.log.Info("share of requests that leaves the failure domain", zap.String("service", c.Name()), zap.Float64("share", share),
				zap.Float64("former-share", logged[c.Name()]), zap.Any("domains", shareFields(c.Shares())))
			logged[c.Name()] = share
		}
	}
}

// shareField is the share of one failure domain in a log line, with what it was decided from.
type shareField struct {
	Domain   string        `json:"domain"`
	Share    float64       `json:"share"`
	Load     float64       `json:"load"`
	Expected time.Duration `json:"expected-ns"`
}

func shareFields(shares []locality.Share) []shareField {
	fields := make([]shareField, len(shares))
	for i, s := range shares {
		fields[i] = shareField{Domain: s.Domain, Share: s.Share, Load: s.Load, Expected: s.Expected}
	}
	return fields
}
