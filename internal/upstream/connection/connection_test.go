package connection

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// TestStopWritingInsideWrite interrupts a blocked write: the report of whether bytes were sent must be exact, since it decides
// whether a request may be sent again.
func TestStopWritingInsideWrite(t *testing.T) {
	for _, c := range []struct {
		name string
		read int // bytes that the server reads before it stalls
		sent bool
	}{
		{name: "nothing left", read: 0, sent: false},
		{name: "one byte left", read: 1, sent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer server.Close()
				s := newStream(client, func() {}, func() {})
				s.mark()
				go func() { _, _ = s.Write([]byte("request")) }()
				_, err := server.Read(make([]byte, c.read))
				require.NoError(t, err)
				synctest.Wait()
				require.Equal(t, c.sent, s.stopWriting())
				_, err = s.Write([]byte("late"))
				require.ErrorIs(t, err, net.ErrClosed)
				require.NoError(t, s.Close())
				time.Sleep(LingerTimeout)
			})
		})
	}
}

// TestClose checks for how long a closed connection counts against the upstream's limit.
func TestClose(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, c := range []struct {
		name         string
		unresponsive bool
		noHalfClose  bool // the connection does not support closing the write side alone
		want         time.Duration
	}{
		{name: "upstream closes its end", want: delay},
		{name: "upstream does not respond", unresponsive: true, want: LingerTimeout},
		{name: "close cannot be confirmed", noHalfClose: true, want: LingerTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipe, server := network.Pipe("u")
				if c.unresponsive {
					server.Stall()
				}
				var client net.Conn = pipe
				if c.noHalfClose {
					client = struct{ net.Conn }{pipe} // hides CloseWrite
				}
				released := make(chan time.Time, 1)
				start := time.Now()
				conn := New(client, func(*Connection) { released <- time.Now() }, func() { t.Error("the upstream did not close the connection") })
				conn.Close()
				require.True(t, conn.IsClosed())
				time.Sleep(delay)
				require.NoError(t, server.Close())
				require.Equal(t, c.want, (<-released).Sub(start))
			})
		})
	}
}
