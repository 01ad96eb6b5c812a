package listener

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// echo answers each connection with what it sends.
func echo(s *Listener) {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

func dial(t *testing.T, s *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
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

// dialAndSend opens a connection for one round trip.
func dialAndSend(s *Listener) error {
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	return roundTrip(c)
}

func TestFaults(t *testing.T) {
	s, err := Listen()
	require.NoError(t, err)
	defer s.Close()
	go echo(s)

	old := dial(t, s)
	require.NoError(t, roundTrip(old))
	require.Equal(t, 1, s.Stall())
	_, err = old.Write([]byte("x"))
	require.NoError(t, err)
	fresh := dial(t, s)
	require.NoError(t, roundTrip(fresh))

	s.Reset()
	require.Error(t, roundTrip(fresh))
	_, err = old.Read(make([]byte, 1))
	require.Error(t, err, "the silent connection delivered nothing until it was cut")

	s.SetDown(true)
	require.Error(t, dialAndSend(s), "the reset comes with the dial or with the first bytes")
	s.SetDown(false)
	require.NoError(t, roundTrip(dial(t, s)))
}
