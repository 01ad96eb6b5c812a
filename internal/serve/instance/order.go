package instance

import (
	"context"

	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/table"

	"github.com/vmihailenco/msgpack/v5"
)

// registerOrderMetrics registers the metrics of the ticket table.
func (i *Instance) registerOrderMetrics() {
	gauges := map[string]func(table.Stats) float64{
		"crocuswing_tickets_held":          func(s table.Stats) float64 { return float64(s.Tickets) },
		"crocuswing_tickets_running":       func(s table.Stats) float64 { return float64(s.Running) },
		"crocuswing_tickets_bytes":         func(s table.Stats) float64 { return float64(s.Bytes) },
		"crocuswing_tickets_refused_total": func(s table.Stats) float64 { return float64(s.Refused) },
		"crocuswing_tickets_dropped_total": func(s table.Stats) float64 { return float64(s.Dropped) },
	}
	for name, value := range gauges {
		i.metrics.Gauge(name, func() float64 { return value(i.coordinator.Stats()) })
	}
}

// placeForwarded handles an order that another instance forwarded because this one owns its ticket.
func (i *Instance) placeForwarded(ctx context.Context, body []byte) (any, error) {
	var p coordinator.Placement
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	return i.coordinator.HandleForwarded(ctx, p), nil
}

// mintForPeer mints a ticket for another instance that is stopping.
func (i *Instance) mintForPeer(_ context.Context, body []byte) (any, error) {
	var c coordinator.MintRequest
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	return i.coordinator.MintForPeer(c)
}
