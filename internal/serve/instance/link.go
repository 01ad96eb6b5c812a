package instance

import (
	"errors"

	"crocuswing/internal/peer/frame"
	"crocuswing/internal/peer/handshake"
	"crocuswing/internal/upstream/link"

	"go.uber.org/zap"
)

// registerLinkMetrics registers the metrics of the connections to upstreams, summed over the current links.
func (i *Instance) registerLinkMetrics() {
	gauges := map[string]func(link.Stats) float64{
		"crocuswing_link_connections":         func(s link.Stats) float64 { return float64(s.Connections) },
		"crocuswing_link_idle":                func(s link.Stats) float64 { return float64(s.Idle) },
		"crocuswing_link_abandoned":           func(s link.Stats) float64 { return float64(s.AbandonedNow) },
		"crocuswing_link_opened_total":        func(s link.Stats) float64 { return float64(s.Opened) },
		"crocuswing_link_open_seconds_total":  func(s link.Stats) float64 { return s.DialTime.Seconds() },
		"crocuswing_link_reused_total":        func(s link.Stats) float64 { return float64(s.Reused) },
		"crocuswing_link_dial_failures_total": func(s link.Stats) float64 { return float64(s.DialFailures) },
		"crocuswing_link_abandoned_total":     func(s link.Stats) float64 { return float64(s.Abandoned) },
		"crocuswing_link_replaced_total":      func(s link.Stats) float64 { return float64(s.Replaced) },
		"crocuswing_link_crossed_total":       func(s link.Stats) float64 { return float64(s.Crossed) },
	}
	for name, read := range gauges {
		i.metrics.Gauge(name, func() float64 { return read(i.directory.LinkStats()) })
	}
}

// peerConnectionFailed counts connections of other instances that ended with an error, and logs those whose other end
// violated the protocol.
func (i *Instance) peerConnectionFailed(peer string, err error) {
	var malformed *frame.Error
	var refused *handshake.Error
	if !errors.As(err, &malformed) && !errors.As(err, &refused) {
		i.metrics.Count(`crocuswing_peer_connections_broken_total{cause="network"}`)
		return
	}
	i.metrics.Count(`crocuswing_peer_connections_broken_total{cause="protocol"}`)
	i.log.Warn("peer connection broke the protocol", zap.String("peer", peer), zap.Error(err))
}
