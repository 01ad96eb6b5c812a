package connection

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// hiddenResponse is a complete response that an invalid one carries as its body.
const hiddenResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"

// TestInvalidStatus guards against a response with an invalid status that is read as an interim one: what follows it would be taken for the
// response, or the attempt would wait until the upstream closes the connection.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{
		"000", "001", "010", "099", "+20", "-20", "+00", "20", "2", "0200", "2000", "1000", "20x", "2 0", " 200", "  20", "0x1", "", "101", "١٠٠",
		"1e2", "200\t", "200;", "\t200",
	} {
		for name, body := range map[string]string{"response as body": hiddenResponse, "no body": ""} {
			t.Run(fmt.Sprintf("%q %s", status, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client, server := network.Pipe("u")
					go serveBytes(server, fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body), false, true)
					conn := New(client, func(*Connection) {}, func() {})
					defer time.Sleep(2 * LingerTimeout)
					conn.BeginRequest()
					r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
					require.NoError(t, err)
					start := time.Now()
					got, err := conn.RoundTrip(r)
					var invalid *StatusError
					require.ErrorAs(t, err, &invalid)
					require.Zero(t, got.Status)
					require.Empty(t, got.Body)
					require.Less(t, time.Since(start), 100*time.Millisecond, "the attempt fails at once")
					require.True(t, conn.IsClosed())
				})
			})
		}
	}
}

// TestFinalStatus checks that each status of three digits from 200 is passed on unchanged, and that those below are interim ones.
func TestFinalStatus(t *testing.T) {
	get := func(t *testing.T, text string) (got Response, err error) {
		synctest.Test(t, func(t *testing.T) {
			client, server := network.Pipe("u")
			go serveBytes(server, text, false, true)
			conn := New(client, func(*Connection) {}, func() {})
			defer time.Sleep(2 * LingerTimeout)
			defer conn.Close()
			conn.BeginRequest()
			r, reqErr := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://u/", http.NoBody)
			require.NoError(t, reqErr)
			got, err = conn.RoundTrip(r)
		})
		return got, err
	}
	for status := 100; status <= 999; status++ {
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
		want := status
		switch {
		case status == http.StatusSwitchingProtocols:
			continue
		case status < http.StatusOK:
			text, want = fmt.Sprintf("HTTP/1.1 %d X\r\n\r\nHTTP/1.1 207\r\nContent-Length: 0\r\n\r\n", status), http.StatusMultiStatus
		}
		got, err := get(t, text)
		require.NoError(t, err, status)
		require.Equal(t, want, got.Status)
	}
}
