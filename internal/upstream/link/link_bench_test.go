package link

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"crocuswing/internal/wire/header"
	"crocuswing/internal/wire/part"

	"github.com/stretchr/testify/require"
)

// BenchmarkExchange requests parts over loopback with n concurrent requests. The time covers both ends; the upstream does only
// the minimal HTTP and JSON work.
func BenchmarkExchange(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		var q part.Request
		_ = json.Unmarshal(text, &q)
		w.Header().Set(header.RequestID, q.RequestID)
		_ = json.NewEncoder(w).Encode(part.Reply{RequestID: q.RequestID, Service: q.Service, Shard: q.Shard, Snapshot: q.Snapshot, Count: 1, Rows: []string{"row"}})
	}))
	defer server.Close()
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			l := New("u", server.Listener.Addr().String(), 2*n)
			defer l.Close()
			var number atomic.Int64
			b.SetParallelism(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					q := part.Request{RequestID: fmt.Sprint(number.Add(1)), Service: "s", Shard: "h", Snapshot: "s1", Query: "q"}
					_, _, err := l.Part(b.Context(), q)
					require.NoError(b, err)
				}
			})
		})
	}
}
