package connections

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/routing/limits"
	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// withServer runs test against a server that takes 20 s for each request except those to /quick.
func withServer(t *testing.T, l limits.Limits, test func(t *testing.T, c *Connections, conn net.Conn, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		c, n := New(), network.New(time.Millisecond)
		c.SetLimits(l)
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			c.MarkServing(r)
			if r.URL.Path != "/quick" {
				time.Sleep(20 * time.Second)
			}
		})}
		c.Track(server)
		go func() { _ = server.Serve(c.Listen(n.Listen("a", 64))) }()
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		conn, err := n.Dial(ctx, "a")
		require.NoError(t, err)
		test(t, c, conn, func() net.Conn {
			other, err := n.Dial(ctx, "a")
			require.NoError(t, err)
			return other
		})
		cancel()
		_ = conn.Close()
		_ = server.Close()
		time.Sleep(time.Minute)
	})
}

// timeToClose returns how long the other end keeps the connection open.
func timeToClose(t *testing.T, conn net.Conn) time.Duration {
	start := time.Now()
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	return time.Since(start)
}

var shortLimits = limits.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}

func TestIdle(t *testing.T) {
	withServer(t, shortLimits, func(t *testing.T, c *Connections, conn net.Conn, _ func() net.Conn) {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "a request in flight is not idle")
		require.Equal(t, http.StatusOK, resp.StatusCode)
		c.SetLimits(limits.Limits{HeaderTimeout: time.Second, IdleTimeout: 30 * time.Second})
		require.InDelta(t, 30, timeToClose(t, conn).Seconds(), 0.5, "the current limit applies")
	})
}

func TestSlowHeader(t *testing.T) {
	withServer(t, shortLimits, func(t *testing.T, _ *Connections, conn net.Conn, _ func() net.Conn) {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
		require.NoError(t, err)
		require.InDelta(t, 5, timeToClose(t, conn).Seconds(), 0.5)
	})
}

func TestNothingSent(t *testing.T) {
	withServer(t, shortLimits, func(t *testing.T, _ *Connections, conn net.Conn, _ func() net.Conn) {
		require.InDelta(t, 5, timeToClose(t, conn).Seconds(), 0.5)
	})
}

// TestTooMany opens far more connections than allowed and leaves them idle. The caller that connects last must be served, and
// so must one whose request is in flight.
func TestTooMany(t *testing.T) {
	withServer(t, shortLimits, func(t *testing.T, c *Connections, conn net.Conn, dial func() net.Conn) {
		const maxOpen = 20
		c.SetBudget(budget.Limits{Connections: maxOpen})
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		synctest.Wait()
		for range 10 * maxOpen {
			other := dial()
			_, err := io.WriteString(other, "GET /quick HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
			_, err = http.ReadResponse(bufio.NewReader(other), nil)
			require.NoError(t, err)
			c.mu.Lock()
			require.LessOrEqual(t, len(c.open), maxOpen)
			c.mu.Unlock()
		}
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "a request in flight is not cut off")
	})
}
