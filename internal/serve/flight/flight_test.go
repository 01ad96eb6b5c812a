package flight

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"crocuswing/internal/index/shard"
	"crocuswing/internal/wire/order"

	"github.com/stretchr/testify/require"
)

// TestHandler counts requests in flight, and asks for connections to be closed once the instance leaves.
func TestHandler(t *testing.T) {
	f := New()
	h := f.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { require.Equal(t, 1, f.Requests()) }))
	for _, want := range []string{"", "close"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/search", nil))
		require.Equal(t, want, w.Header().Get("Connection"))
		f.Leave()
	}
	require.Zero(t, f.Requests())
}

// observed is a sender that looks at what is in flight while it sends.
type observed struct{ flight *Flight }

func (o observed) Choose(shard.Shard, []string) (string, bool) { return "", false }

func (o observed) Order(_ context.Context, _ string, _ order.Request) (order.Reply, error) {
	return order.Reply{OrderID: o.flight.Orders()[0]}, nil
}

func TestSender(t *testing.T) {
	f := New()
	r, err := f.Sender(observed{f}).Order(t.Context(), "u", order.Request{RequestID: "south-1/a/7"})
	require.NoError(t, err)
	require.Equal(t, "south-1/a/7", r.OrderID)
	require.Empty(t, f.Orders())
}
