package registry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"
	"crocuswing/internal/upstream/connection"
	"crocuswing/internal/upstream/link"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

// TestReopened closes a link with requests in flight, in one case on stalled connections, and reopens it: the connections that
// the upstream may still count must stay within the limit.
func TestReopened(t *testing.T) {
	const addressA, addressB = "10.0.0.1:80", "10.0.0.2:80"
	for _, c := range []struct {
		name, next string
		stalled    bool
	}{
		{name: "same address", next: addressA},
		{name: "other address", next: addressB},
		{name: "stalled", next: addressB, stalled: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const share = 4
				net := network.New(time.Millisecond)
				slow := func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-time.After(time.Second):
					case <-r.Context().Done():
					}
				}
				server := &http.Server{Handler: http.HandlerFunc(slow)}
				first := net.Listen(addressA, 100)
				second := net.Listen(addressB, 100)
				for _, l := range []*network.Listener{first, second} {
					go func() { _ = server.Serve(l) }()
				}
				r := New(link.WithDial(net.Dial))
				l := r.Open("u", addressA, share, func() {})
				load := func() {
					for range 10 {
						go func() {
							ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
							defer cancel()
							_, _, _ = l.Part(ctx, part.Request{RequestID: "q"})
						}()
					}
					time.Sleep(100 * time.Millisecond)
					require.LessOrEqual(t, l.Stats().Connections, share)
					require.LessOrEqual(t, first.OpenConns()+second.OpenConns(), share)
				}
				load()
				require.Equal(t, share-1, l.Stats().Connections)
				if c.stalled {
					for _, conn := range first.Conns() {
						conn.Stall()
					}
				}
				l.Close()
				require.Same(t, l, r.Open("u", c.next, share, func() {}))
				load()
				time.Sleep(time.Second) // until all requests have timed out
				load()
				l.Close()
				time.Sleep(2 * connection.LingerTimeout)
				require.True(t, l.IsDrained())
				require.NotSame(t, l, r.Open("u", addressA, share, func() {}))
				_ = server.Close()
				time.Sleep(2 * connection.LingerTimeout)
			})
		})
	}
}
