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

// patience bounds what has to happen; nothing is asserted about how soon it does.
const patience = 20 * time.Second

// echo answers each byte with the same byte.
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

// exchange sends a byte and waits for it to come back within d.
func exchange(c net.Conn, d time.Duration) error {
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

func TestPass(t *testing.T) {
	p := newProxy(t, echo(t))
	p.SetDelay(time.Millisecond)
	require.NoError(t, exchange(dial(t, p), patience))
}

func TestReset(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, exchange(c, patience))
	p.Reset()
	err := exchange(c, patience)
	require.Error(t, err)
	require.False(t, isTimeout(err))
	require.NoError(t, exchange(dial(t, p), patience))
}

// TestSilence delivers nothing more on old connections, without an end, and serves new ones.
func TestSilence(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, exchange(c, patience))
	p.Silence()
	require.True(t, isTimeout(exchange(c, 100*time.Millisecond)))
	require.NoError(t, exchange(dial(t, p), patience))
}

// TestHold keeps one direction back and delivers what was held afterwards.
func TestHold(t *testing.T) {
	for _, d := range []Direction{Forth, Back} {
		p := newProxy(t, echo(t))
		c := dial(t, p)
		require.NoError(t, exchange(c, patience))
		p.Hold(d, true)
		require.True(t, isTimeout(exchange(c, 100*time.Millisecond)))
		p.Hold(d, false)
		require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
		_, err := io.ReadFull(c, make([]byte, 1))
		require.NoError(t, err)
	}
}

func TestDown(t *testing.T) {
	p := newProxy(t, echo(t))
	c := dial(t, p)
	require.NoError(t, exchange(c, patience))
	require.NoError(t, p.SetDown(true))
	require.Error(t, exchange(c, patience))
	_, err := net.Dial("tcp", p.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, p.SetDown(false))
	require.NoError(t, exchange(dial(t, p), patience))
}

// TestTarget joins new connections with another address; where nobody listens they are reset.
func TestTarget(t *testing.T) {
	p := newProxy(t, echo(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	p.SetTarget(gone)
	// The reset may come before the dial has returned.
	c, err := net.Dial("tcp", p.Address())
	if err == nil {
		defer c.Close()
		err = exchange(c, patience)
	}
	require.Error(t, err)
	require.False(t, isTimeout(err))
	p.SetTarget(echo(t))
	require.NoError(t, exchange(dial(t, p), patience))
}
