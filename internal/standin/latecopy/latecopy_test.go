package latecopy_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"crocuswing/internal/standin/latecopy"
	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// TestCopyPrecedesNextResponse checks that a copy arrives only once the next request was sent, before the response to it, and that other
// responses are not copied.
func TestCopyPrecedesNextResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New(0)
		l := n.Listen("u:1", 1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, err := io.ReadAll(r.Body)
			if err != nil {
				panic(err)
			}
			_, _ = w.Write(text)
		})}
		go func() {
			_ = server.Serve(latecopy.New(l, func(response []byte) bool { return bytes.HasSuffix(response, []byte("twice")) }))
		}()
		c, err := n.Dial(t.Context(), "u:1")
		require.NoError(t, err)
		var got []string
		bodies := []string{"once", "twice", "again"}
		for _, body := range bodies {
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			require.NoError(t, err)
			got = append(got, readBody(t, c))
		}
		got = append(got, readBody(t, c))
		require.Equal(t, []string{"once", "twice", "twice", "again"}, got)
		require.NoError(t, c.Close())
		require.NoError(t, server.Close())
	})
}

// readBody reads one response byte by byte, so that nothing of the next one is consumed, and returns its body.
func readBody(t *testing.T, c net.Conn) string {
	var text strings.Builder
	b := make([]byte, 1)
	for !strings.Contains(text.String(), "\r\n\r\n") {
		_, err := io.ReadFull(c, b)
		require.NoError(t, err)
		text.Write(b)
	}
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text.String())), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }() // the body is read from c
	body := make([]byte, resp.ContentLength)
	_, err = io.ReadFull(c, body)
	require.NoError(t, err)
	return string(body)
}
