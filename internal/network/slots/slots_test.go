package slots

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"crocuswing/internal/entry/budget"

	"github.com/stretchr/testify/require"
)

// TestCrowd guards against a crowd that takes all connections of a listener: it loses its own oldest ones.
func TestCrowd(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := budget.New(budget.Limits{Connections: 5})
	l := Listen(raw, b)
	defer l.Close()
	open := func(host string) (dialed, accepted net.Conn) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
		dialed, err := dialer.Dial("tcp", raw.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = dialed.Close() })
		accepted, err = l.Accept()
		require.NoError(t, err)
		return dialed, accepted
	}
	other, accepted := open("127.0.0.1")
	oldest, _ := open("127.0.0.2")
	for range 20 {
		open("127.0.0.2")
	}
	_, connections := b.Used()
	require.Equal(t, 5, connections)
	require.NoError(t, oldest.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = oldest.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, syscall.ETIMEDOUT)
	_, err = io.WriteString(other, "x")
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err, "the connection of another address stays open")
	require.NoError(t, accepted.Close())
	require.Error(t, accepted.Close())
	_, connections = b.Used()
	require.Equal(t, 4, connections)
}

// failingListener fails with each of its errors in turn.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, err
}

// TestNoDescriptors guards against a server that ends because the process has no free descriptor for a moment.
func TestNoDescriptors(t *testing.T) {
	broken := errors.New("broken")
	l := &failingListener{errors: []error{&net.OpError{Err: syscall.EMFILE}, &net.OpError{Err: syscall.ECONNABORTED}, broken}}
	_, err := Listen(l, budget.New(budget.Limits{})).Accept()
	require.ErrorIs(t, err, broken)
	require.Empty(t, l.errors)
}
