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

// TestAnswers plays the bytes of sound and malformed upstreams.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		answer   string
		reset    bool // in place of an end
		open     bool // the upstream keeps the connection
		status   int  // 0 for an error
		body     string
		reusable bool
	}{
		{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok", reusable: true},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", open: true, status: 200, body: "ok", reusable: true},
		{name: "no body", answer: "HTTP/1.1 204 No Content\r\n\r\n", open: true, status: 204, reusable: true},
		{name: "interim answer first", answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok", reusable: true},
		{name: "upstream closes", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", open: true, status: 200, body: "ok"},
		{name: "no length, ended", answer: "HTTP/1.1 200 OK\r\n\r\nok", status: 200, body: "ok"},
		{name: "no length, reset", answer: "HTTP/1.1 200 OK\r\n\r\nok", reset: true},
		{name: "extra bytes", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok!!", open: true, status: 200, body: "ok"},
		{name: "second answer", answer: strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 2), open: true, status: 200, body: "ok"},
		{name: "cut in the body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"},
		{name: "cut in a chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"},
		{name: "cut in the head", answer: "HTTP/1.1 200 OK\r\nContent-Le"},
		{name: "no answer at all", answer: ""},
		{name: "not HTTP", answer: "hello, world, this is not the protocol\r\n\r\n"},
		{name: "conflicting lengths", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"},
		{name: "negative length", answer: "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"},
		{name: "too long", answer: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := network.Pipe("u")
				go serveBytes(far, c.answer, c.reset, c.open)
				conn := New(near, func() {}, func() {})
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

func serveBytes(far net.Conn, answer string, reset, open bool) {
	if _, err := far.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, _ = io.WriteString(far, answer)
	switch {
	case reset:
		far.(*network.Conn).Reset()
	case open:
		time.Sleep(time.Second)
		_ = far.Close()
	default:
		_ = far.Close()
	}
}

// TestUnsolicited closes an idle connection on which bytes arrive: they belong to no request.
func TestUnsolicited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := network.Pipe("u")
		conn := New(near, func() {}, func() {})
		_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, conn.IsClosed())
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
		require.NoError(t, err)
		_, err = conn.RoundTrip(r)
		require.ErrorIs(t, err, ErrSpent)
		_ = far.Close()
		time.Sleep(2 * LingerTimeout)
	})
}
