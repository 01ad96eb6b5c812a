package proxy

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout bounds operations that must complete. No test asserts how soon they do.
const testTimeout = 20 * time.Second

// echo starts a server that sends back what it receives, and returns its address.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func newProxy(t *testing.T, target string) *Proxy {
	p, err := New(target)
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

// roundTrip sends one byte and waits at most d for the echo.
func roundTrip(c net.Conn, d time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(d)); err != nil {
		return err
	}
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func TestForward(t *testing.T) {
	p := newProxy(t, echo(t))
	p.SetDelay(time.Millisecond)
	require.NoError(t, roundTrip(dial(t, p), testTimeout))
}

func TestReset(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, roundTrip(c, testTimeout))
	p.Reset()
	err := roundTrip(c, testTimeout)
	require.Error(t, err)
	require.False(t, isTimeout(err))
	require.NoError(t, roundTrip(dial(t, p), testTimeout))
}

// TestStall checks that stalled connections deliver nothing, not even their end, and that new connections work.
func TestStall(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, roundTrip(c, testTimeout))
	p.Stall()
	require.True(t, isTimeout(roundTrip(c, 100*time.Millisecond)))
	require.NoError(t, roundTrip(dial(t, p), testTimeout))
}

// TestHold checks that held bytes arrive once the direction is released.
func TestHold(t *testing.T) {
	for _, d := range []Direction{ToTarget, FromTarget} {
		p := newProxy(t, echo(t))
		c := dial(t, p)
		require.NoError(t, roundTrip(c, testTimeout))
		p.Hold(d, true)
		require.True(t, isTimeout(roundTrip(c, 100*time.Millisecond)))
		p.Hold(d, false)
		require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err)
	}
}

func TestDown(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, roundTrip(c, testTimeout))
	require.NoError(t, p.SetDown(true))
	require.Error(t, roundTrip(c, testTimeout))
	_, err := net.Dial("tcp", p.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, p.SetDown(false))
	require.NoError(t, roundTrip(dial(t, p), testTimeout))
}

// TestTarget checks that new connections go to the new target, and are reset if nothing listens there.
func TestTarget(t *testing.T) {
	p := newProxy(t, echo(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	p.SetTarget(gone)
	// The reset may arrive before the dial returns.
	c, err := net.Dial("tcp", p.Address())
	if err == nil {
		defer c.Close()
		err = roundTrip(c, testTimeout)
	}
	require.Error(t, err)
	require.False(t, isTimeout(err))
	p.SetTarget(echo(t))
	require.NoError(t, roundTrip(dial(t, p), testTimeout))
}
