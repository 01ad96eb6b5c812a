package connection

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/policy/limiter"
	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

const okHead = "HTTP/1.1 200 OK\r\n"

// endless describes responses that continue without end until the connection is closed.
var endless = []struct{ name, start, repeated string }{
	{"status line", "HTTP/1.1 200 ", "very "},
	{"header value", okHead + "A: ", "x"},
	{"header fields", okHead, "A: b\r\n"},
	{"continued header", okHead + "A: b\r\n", " c\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"},
	{"body of announced length", okHead + "Content-Length: 16777217\r\n\r\n", "x"},
	{"body without length", okHead + "\r\n", "x"},
	{"chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	{"chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
	{"chunk size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailer", okHead + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: b\r\n"},
}

// serveEndless reads one request and sends start and then repeated until the connection is closed. It returns the number of bytes sent.
func serveEndless(server net.Conn, start, repeated string) int {
	defer server.Close()
	if _, err := server.Read(make([]byte, 4096)); err != nil {
		return 0
	}
	sent, _ := io.WriteString(server, start)
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	for {
		n, err := io.WriteString(server, block)
		if sent += n; err != nil {
			return sent
		}
	}
}

// TestEndlessResponses checks that a response without end fails, closes its connection, and takes no more memory than the limits allow.
func TestEndlessResponses(t *testing.T) {
	for _, c := range endless {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				sent := make(chan int, 1)
				go func() { sent <- serveEndless(server, c.start, c.repeated) }()
				memory := limiter.New(1 << 10)
				conn := New(client, func(*Connection) {}, func() {}, WithMemoryLimit(memory))
				conn.BeginRequest()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
				require.NoError(t, err)
				_, err = conn.RoundTrip(r)
				require.Error(t, err)
				require.True(t, conn.IsClosed())
				time.Sleep(2 * LingerTimeout)
				require.Zero(t, memory.Used())
				require.Less(t, <-sent, 2*MaxBodyBytes)
			})
		})
	}
}

// TestResponseLimits checks responses at the limits and just beyond them.
func TestResponseLimits(t *testing.T) {
	fields := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "H%d: v\r\n", i)
		}
		return b.String()
	}
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	const end = "Content-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name, response, subject string
	}{
		{name: "header fields", response: okHead + fields(MaxHeaderFields-1) + end},
		{name: "too many header fields", response: okHead + fields(MaxHeaderFields) + end, subject: "header fields"},
		{name: "large header", response: okHead + "A: " + strings.Repeat("x", MaxHeadBytes-4096) + "\r\n" + end},
		{name: "too large header", response: okHead + "A: " + strings.Repeat("x", MaxHeadBytes) + "\r\n" + end, subject: "bytes of headers"},
		{name: "interim responses", response: strings.Repeat(interim, MaxInterimResponses) + okHead + end},
		{name: "too many interim responses", response: strings.Repeat(interim, MaxInterimResponses+1) + okHead + end, subject: "interim responses"},
		{name: "too many trailers", response: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + fields(MaxHeaderFields+1) + "\r\n", subject: "header fields"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := network.Pipe("u")
				go serveBytes(server, c.response, false, true)
				conn := New(client, func(*Connection) {}, func() {})
				defer time.Sleep(2 * LingerTimeout)
				defer conn.Close()
				conn.BeginRequest()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
				require.NoError(t, err)
				got, err := conn.RoundTrip(r)
				if c.subject == "" {
					require.NoError(t, err)
					require.Equal(t, "ok", string(got.Body))
					return
				}
				var limit *LimitError
				require.ErrorAs(t, err, &limit)
				require.Equal(t, c.subject, limit.Subject)
			})
		})
	}
}

// TestSharedMemoryLimit checks that a large body that does not fit into the shared limit is unusable, that small bodies are not
// affected, and that the memory is returned when a body is freed or nobody receives it.
func TestSharedMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limitKiB, largeBytes = 2 << 10, 600 << 10
		memory := limiter.New(limitKiB)
		get := func(size int) (Response, error) {
			client, server := network.Pipe("u")
			go serveBytes(server, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, size, strings.Repeat("x", size)), false, true)
			conn := New(client, func(*Connection) {}, func() {}, WithMemoryLimit(memory))
			defer conn.Close()
			conn.BeginRequest()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
			require.NoError(t, err)
			return conn.RoundTrip(r)
		}
		large, err := get(largeBytes)
		require.NoError(t, err)
		require.Len(t, large.Body, largeBytes)
		require.True(t, large.IsLarge())
		require.Positive(t, memory.Used())
		_, err = get(largeBytes)
		var limit *LimitError
		require.ErrorAs(t, err, &limit)
		small, err := get(smallBodyBytes)
		require.NoError(t, err)
		require.False(t, small.IsLarge())
		large.Free()
		small.Free()
		require.Zero(t, memory.Used())
		again, err := get(largeBytes)
		require.NoError(t, err)
		again.Free()
		require.Zero(t, memory.Used())
		time.Sleep(2 * LingerTimeout)
	})
}

// BenchmarkEndlessBodies shows the peak memory of the heap while all replicas of a gathered request send bodies without end.
func BenchmarkEndlessBodies(b *testing.B) {
	const replicas, limitKiB = 270, 48 << 10
	for _, c := range endless {
		b.Run(strings.ReplaceAll(c.name, " ", "-"), func(b *testing.B) {
			memory := limiter.New(limitKiB)
			var peak uint64
			for b.Loop() {
				var group sync.WaitGroup
				for range replicas {
					client, server := net.Pipe()
					group.Go(func() { serveEndless(server, c.start, c.repeated) })
					group.Go(func() {
						conn := New(client, func(*Connection) {}, func() {}, WithMemoryLimit(memory))
						defer conn.Close()
						conn.BeginRequest()
						r, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://u/", http.NoBody)
						if _, err := conn.RoundTrip(r); err == nil {
							b.Error("a response without end was accepted")
						}
					})
				}
				done := make(chan struct{})
				go func() { group.Wait(); close(done) }()
				peak = max(peak, peakHeap(done))
			}
			b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
		})
	}
}

// peakHeap samples the heap in use until done is closed.
func peakHeap(done <-chan struct{}) uint64 {
	var peak uint64
	var m runtime.MemStats
	for {
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-time.After(time.Millisecond):
		}
	}
}
