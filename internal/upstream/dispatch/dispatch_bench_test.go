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

// instantLink is a link and a relayer that responds immediately.
type instantLink struct{ directory.Link }

// Part returns a success immediately.
func (instantLink) Part(context.Context, part.Request) (part.Reply, signal.Signal, error) {
	return part.Reply{}, signal.Signal{Incarnation: "a-1", Load: -1}, nil
}

// SetDraining does nothing.
func (instantLink) SetDraining(bool) {}

// Relay returns a success immediately.
func (instantLink) Relay(context.Context, string, relay.Request) (relay.Reply, error) {
	return relay.Reply{Signal: signal.Signal{Load: -1}, Incarnation: "a-1"}, nil
}

// Notify does nothing.
func (instantLink) Notify(context.Context, string, []relay.Notice) error { return nil }

// BenchmarkAttempt measures one attempt without the network: routing, checks, slot and recording of the result.
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
			nd := &node{name: c.self, fleet: f}
			nd.directory = directory.New(c.self, directory.WithOpener(func(string, string, int, func()) directory.Link { return instantLink{} }))
			nd.Dispatcher = dispatch.New(c.self, nd, nd.directory, instantLink{})
			f.nodes[c.self] = nd
			f.publishTo([]string{c.self}, c.instances, nil)
			for range 2 * testContract.WarmAfter { // warm it up
				if _, err := nd.Part(context.Background(), "a", part.Request{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := nd.Part(context.Background(), "a", part.Request{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
