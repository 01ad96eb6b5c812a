package connection

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"crocuswing/internal/standin/network"

	"github.com/stretchr/testify/require"
)

// TestSealInsideWrite ends a blocked write and counts exactly the bytes that left.
func TestSealInsideWrite(t *testing.T) {
	for _, c := range []struct {
		name string
		read int // bytes that the other end takes before it stalls
		sent bool
	}{
		{name: "nothing left", read: 0, sent: false},
		{name: "one byte left", read: 1, sent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer far.Close()
				s := newStream(near, func() {}, func() {})
				s.mark()
				go func() { _, _ = s.Write([]byte("request")) }()
				_, err := far.Read(make([]byte, c.read))
				require.NoError(t, err)
				synctest.Wait()
				require.Equal(t, c.sent, s.seal())
				_, err = s.Write([]byte("late"))
				require.ErrorIs(t, err, net.ErrClosed)
				require.NoError(t, s.Close())
				time.Sleep(LingerTimeout)
			})
		})
	}
}

// TestClose tells how long the upstream may count a closed connection.
func TestClose(t *testing.T) {
	const delay = 100 * time.Millisecond
	for _, c := range []struct {
		name   string
		silent bool
		whole  bool // the connection cannot be closed in one direction
		want   time.Duration
	}{
		{name: "upstream closes its end", want: delay},
		{name: "upstream does not answer", silent: true, want: LingerTimeout},
		{name: "close cannot be confirmed", whole: true, want: LingerTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory, far := network.Pipe("u")
				if c.silent {
					far.Silence()
				}
				var near net.Conn = memory
				if c.whole {
					near = struct{ net.Conn }{memory} // hides CloseWrite
				}
				gone := make(chan time.Time, 1)
				start := time.Now()
				conn := New(near, func() { gone <- time.Now() }, func() { t.Error("the close is not the upstream's") })
				conn.Close()
				require.True(t, conn.IsClosed())
				time.Sleep(delay)
				require.NoError(t, far.Close())
				require.Equal(t, c.want, (<-gone).Sub(start))
			})
		})
	}
}
