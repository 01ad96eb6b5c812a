package instance

import (
	"context"

	"crocuswing/internal/order/coordinator"
	"crocuswing/internal/order/table"

	"github.com/vmihailenco/msgpack/v5"
)

// measureOrders registers the metrics of the table of tickets.
func (i *Instance) measureOrders() {
	gauges := map[string]func(table.Stats) float64{
		"crocuswing_tickets_held":          func(s table.Stats) float64 { return float64(s.Tickets) },
		"crocuswing_tickets_running":       func(s table.Stats) float64 { return float64(s.Running) },
		"crocuswing_tickets_bytes":         func(s table.Stats) float64 { return float64(s.Bytes) },
		"crocuswing_tickets_refused_total": func(s table.Stats) float64 { return float64(s.Refused) },
		"crocuswing_tickets_dropped_total": func(s table.Stats) float64 { return float64(s.Dropped) },
	}
	for name, read := range gauges {
		i.metrics.Gauge(name, func() float64 { return read(i.coordinator.Stats()) })
	}
}

// placeForwarded runs an order that another instance forwarded to the owner of its ticket.
func (i *Instance) placeForwarded(ctx context.Context, body []byte) (any, error) {
	var p coordinator.Placement
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	return i.coordinator.HandleForwarded(ctx, p), nil
}

// mintFor gives a ticket to another instance that stops.
func (i *Instance) mintFor(_ context.Context, body []byte) (any, error) {
	var c coordinator.MintRequest
	if err := msgpack.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	return i.coordinator.MintForPeer(c)
}
