// Package network simulates TCP connections in memory, for tests and experiments.
//
// It replaces the dialers and listeners of the code under test and injects connection faults. It works in a testing/synctest
// bubble.
package network

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const backlog = 1024

// Network connects dialers with listeners by address. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*Listener
	dialLatency time.Duration
}

// New returns a network on which each dial takes dialLatency.
func New(dialLatency time.Duration) *Network {
	return &Network{listeners: make(map[string]*Listener), dialLatency: dialLatency}
}

// Listen returns a listener on address that accepts at most limit connections at a time. Further dials are refused.
func (n *Network) Listen(address string, limit int) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{network: n, address: address, limit: limit, pending: make(chan *Conn, backlog), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial opens a connection to the listener on address. The dial is refused if there is none or it has reached its limit.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	timer := time.NewTimer(n.dialLatency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	return l.connect()
}

func (n *Network) remove(address string, l *Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] == l {
		delete(n.listeners, address)
	}
}

// Listener accepts connections. It counts a connection as open until the accepting end closes it.
type Listener struct {
	network *Network
	address string
	limit   int
	pending chan *Conn // dialed but not yet returned by Accept
	done    chan struct{}
	once    sync.Once

	mu      sync.Mutex
	conns   []*Conn // in dial order
	open    int
	peak    int
	refused int
}

// Accept waits for the next connection and returns it.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes the network refuse further dials. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.remove(l.address, l)
	})
	return nil
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return Addr(l.address) }

// PeakConns returns the highest number of connections that were open at the same time.
func (l *Listener) PeakConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// RefusedDials returns the number of dials refused because of the limit.
func (l *Listener) RefusedDials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Conns returns the accepting ends of all connections so far, in dial order.
func (l *Listener) Conns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Conn(nil), l.conns...)
}

func (l *Listener) connect() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		l.refused++
		return nil, syscall.ECONNREFUSED
	}
	l.open++
	l.peak = max(l.peak, l.open)
	dialer, accepter := Pipe(l.address)
	accepter.onClose = l.release
	l.conns = append(l.conns, accepter)
	l.pending <- accepter
	return dialer, nil
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Addr is the address of a listener.
type Addr string

// Network returns the name of the network.
func (Addr) Network() string { return "memory" }

// String returns the address.
func (a Addr) String() string { return string(a) }
