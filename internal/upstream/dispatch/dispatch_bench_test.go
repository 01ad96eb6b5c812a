package dispatch_test

import (
	"context"
	"testing"

	"crocuswing/internal/upstream/directory"
	"crocuswing/internal/upstream/dispatch"
	"crocuswing/internal/upstream/signal"
	"crocuswing/internal/wire/part"
	"crocuswing/internal/wire/relay"
)

// instant answers at once.
type instant struct{ directory.Link }

// Part answers at once.
func (instant) Part(context.Context, part.Request) (part.Reply, signal.Signal, error) {
	return part.Reply{}, signal.Signal{Incarnation: "a-1", Load: -1}, nil
}

// SetDraining does nothing.
func (instant) SetDraining(bool) {}

// Relay answers at once.
func (instant) Relay(context.Context, string, relay.Request) (relay.Reply, error) {
	return relay.Reply{Signal: signal.Signal{Load: -1}, Incarnation: "a-1"}, nil
}

// Notify does nothing.
func (instant) Notify(context.Context, string, []relay.Notice) error { return nil }

// BenchmarkAttempt sends one attempt: route, checks, slot and record, without the network.
func BenchmarkAttempt(b *testing.B) {
	for _, c := range []struct {
		name      string
		self      string
		instances []string
	}{
		{"direct", "instance-0", []string{"instance-0"}},
		{"relayed", "instance-0", []string{"instance-1", "instance-2", "instance-3", "instance-4", "instance-5"}},
	} {
		b.Run(c.name, func(b *testing.B) {
			f := &fleet{t: b, servers: map[string]*server{"a": newServer("a")}, nodes: map[string]*node{}}
			x := &node{name: c.self, fleet: f}
			x.directory = directory.New(c.self, directory.WithOpener(func(string, string, int, func()) directory.Link { return instant{} }))
			x.Dispatcher = dispatch.New(c.self, x, x.directory, instant{})
			f.nodes[c.self] = x
			f.publishTo([]string{c.self}, c.instances, nil)
			for range 2 * bounds.WarmAfter { // until it is warm
				if _, err := x.Part(context.Background(), "a", part.Request{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := x.Part(context.Background(), "a", part.Request{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
