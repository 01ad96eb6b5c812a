package connection

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// TestCutHead guards against an answer that was cut in its head and reached the caller as a complete one: an upstream closes the
// connection after each byte of the head, in responses of each framing.
func TestCutHead(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\nContent-Length: 2\r\n\r\n"},
		{"empty", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\nContent-Length: 0\r\n\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"until closed", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\n\r\n"},
		{"bare line feeds", "HTTP/1.1 200 OK\nId: a\nSeal: b\n\n"},
		{"continued header", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\n c\r\n\r\n"},
		{"no content", "HTTP/1.1 204 No Content\r\nId: a\r\nSeal: b\r\n\r\n"},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: c\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nSeal: b\r\n\r\n"},
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				for n := range len(c.head) {
					synctest.Test(t, func(t *testing.T) {
						client, server := network.Pipe("u")
						go serveBytes(server, c.head[:n], false, false)
						conn := New(client, func(*Connection) {}, func() {})
						defer time.Sleep(2 * LingerTimeout)
						defer conn.Close()
						conn.BeginRequest()
						r, err := http.NewRequestWithContext(t.Context(), method, "http://u/", http.NoBody)
						require.NoError(t, err)
						got, err := conn.RoundTrip(r)
						require.Error(t, err, "cut after %q: status %d, body %q", c.head[:n], got.Status, got.Body)
					})
				}
			})
		}
	}
}
