package connection

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// TestResponses replays the raw responses of conforming and malformed upstreams.
func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		reset    bool // the upstream resets the connection instead of closing it
		open     bool // the upstream keeps the connection open
		status   int  // 0 for an error
		body     string
		reusable bool
	}{
		{name: "length", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok", reusable: true},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", open: true, status: 200, body: "ok", reusable: true},
		{name: "no body", response: "HTTP/1.1 204 No Content\r\n\r\n", open: true, status: 204, reusable: true},
		{name: "interim response first", response: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok", reusable: true},
		{name: "upstream closes", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok"},
		{name: "no length, ended", response: "HTTP/1.1 200 OK\r\n\r\nok", status: 200, body: "ok"},
		{name: "no length, reset", response: "HTTP/1.1 200 OK\r\n\r\nok", reset: true},
		{name: "extra bytes", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!!", open: true, status: 200, body: "ok"},
		{name: "second response", response: strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), open: true, status: 200, body: "ok"},
		{name: "cut in the body", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{name: "cut in a chunk", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
		{name: "cut in the header", response: "HTTP/1.1 200 OK\r\nContent-Le"},
		{name: "no response", response: ""},
		{name: "not HTTP", response: "hello, world, this is not the protocol\r\n\r\n"},
		{name: "conflicting lengths", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"},
		{name: "negative length", response: "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"},
		{name: "too long", response: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := network.Pipe("u")
				go serveBytes(server, c.response, c.reset, c.open)
				conn := New(client, func(*Connection) {}, func() {})
				defer time.Sleep(2 * LingerTimeout)
				defer conn.Close()
				conn.BeginRequest()
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
				require.NoError(t, err)
				got, err := conn.RoundTrip(r)
				if c.status == 0 {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.status, got.Status)
				require.Equal(t, c.body, string(got.Body))
				synctest.Wait()
				require.Equal(t, c.reusable, !conn.IsClosed())
			})
		})
	}
}

func serveBytes(server net.Conn, response string, reset, open bool) {
	if _, err := server.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, _ = io.WriteString(server, response)
	switch {
	case reset:
		server.(*network.Conn).Reset()
	case open:
		time.Sleep(time.Second)
		_ = server.Close()
	default:
		_ = server.Close()
	}
}

// TestUnsolicited checks that an idle connection is closed when data arrives on it, since the data belongs to no request.
func TestUnsolicited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := network.Pipe("u")
		conn := New(client, func(*Connection) {}, func() {})
		_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, conn.IsClosed())
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
		require.NoError(t, err)
		_, err = conn.RoundTrip(r)
		require.ErrorIs(t, err, ErrClosed)
		_ = server.Close()
		time.Sleep(2 * LingerTimeout)
	})
}
