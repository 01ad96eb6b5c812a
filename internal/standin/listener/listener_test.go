package listener

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo accepts connections and sends back what it receives.
func echo(l *Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// dialAndSend makes one round trip on a new connection.
func dialAndSend(l *Listener) error {
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	return roundTrip(c)
}

func TestFaults(t *testing.T) {
	l, err := Listen()
	require.NoError(t, err)
	defer l.Close()
	go echo(l)

	old := dial(t, l)
	require.NoError(t, roundTrip(old))
	require.Equal(t, 1, l.Stall())
	_, err = old.Write([]byte("x"))
	require.NoError(t, err)
	fresh := dial(t, l)
	require.NoError(t, roundTrip(fresh))

	l.Reset()
	require.Error(t, roundTrip(fresh))
	_, err = old.Read(make([]byte, 1))
	require.Error(t, err, "the stalled connection delivers nothing until it is reset")

	l.SetDown(true)
	require.Error(t, dialAndSend(l), "the reset arrives with the dial or with the first bytes")
	l.SetDown(false)
	require.NoError(t, roundTrip(dial(t, l)))
}
