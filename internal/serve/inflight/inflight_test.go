package inflight

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHandler checks that requests in flight are counted and that connections are closed once the instance drains.
func TestHandler(t *testing.T) {
	tracker := New()
	h := tracker.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { require.Equal(t, 1, tracker.Requests()) }))
	for _, want := range []string{"", "close"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/search", nil))
		require.Equal(t, want, w.Header().Get("Connection"))
		tracker.StartDraining()
	}
	require.Zero(t, tracker.Requests())
}
