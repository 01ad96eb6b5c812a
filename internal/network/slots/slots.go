// Package slots limits the connections that a listener accepts.
package slots

import (
	"errors"
	"net"
	"syscall"
	"time"

	"crocuswing/internal/entry/budget"
	"crocuswing/internal/network/socket"
)

// retryDelay is the time after which Accept tries again while the process has no free descriptor.
const retryDelay = 50 * time.Millisecond

// Listen returns a listener that counts the connections of l against b. Its connections have the timeouts of package socket.
func Listen(l net.Listener, b *budget.Budget) net.Listener { return &listener{Listener: l, budget: b} }

type listener struct {
	net.Listener
	budget *budget.Budget
}

// Accept returns the next connection for which there is room, and closes the others. It fails only if the listener is closed or broken,
// not because of a lack of descriptors, since the server of the listener would end.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if isTemporary(err) {
			time.Sleep(retryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *listener) add(raw net.Conn) net.Conn {
	_ = socket.SetUserTimeout(raw)
	c := &conn{Conn: raw, account: l.budget.NewAccount(socket.Source(raw), 0, func() { _ = raw.Close() })}
	if !c.account.Open() {
		return nil
	}
	return c
}

// isTemporary reports whether a later call of Accept may succeed.
func isTemporary(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// conn is a counted connection.
type conn struct {
	net.Conn
	account *budget.Account
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	c.account.Close()
	return c.Conn.Close()
}
