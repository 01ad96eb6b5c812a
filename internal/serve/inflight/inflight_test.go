package inflight

import (
	"net/http"
	"net/http/httptest"
	"testing"

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
		f.StartDraining()
	}
	require.Zero(t, f.Requests())
}
