// Package network is a stand-in for TCP in memory, with faults. It suits testing/synctest.
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
	mu        sync.Mutex
	listeners map[string]*Listener
	dialCost  time.Duration
}

// New makes a network on which each dial takes dialCost.
func New(dialCost time.Duration) *Network {
	return &Network{listeners: make(map[string]*Listener), dialCost: dialCost}
}

// Listen accepts at most limit connections at a time on address; further dials are refused.
func (n *Network) Listen(address string, limit int) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{network: n, address: address, limit: limit, accepted: make(chan *Conn, backlog), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial opens a connection to a listener.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	timer := time.NewTimer(n.dialCost)
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

// Listener is the accepting side. It counts its connections until its own end has closed them.
type Listener struct {
	network  *Network
	address  string
	limit    int
	accepted chan *Conn
	done     chan struct{}
	once     sync.Once

	mu      sync.Mutex
	conns   []*Conn // in the order of their dials
	open    int
	peak    int
	refused int
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses further dials; open connections stay.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.remove(l.address, l)
	})
	return nil
}

// Addr is the listener's address.
func (l *Listener) Addr() net.Addr { return Addr(l.address) }

// PeakConns is the highest number of connections open at a time.
func (l *Listener) PeakConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// OpenConns is the present number of connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// RefusedDials is the number of dials above the limit.
func (l *Listener) RefusedDials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

// Conns gives the accepting ends of all connections so far.
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
	accepter.closed = l.release
	l.conns = append(l.conns, accepter)
	l.accepted <- accepter
	return dialer, nil
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Addr is the address of a listener.
type Addr string

// Network names the kind of network.
func (Addr) Network() string { return "memory" }

// String gives the address.
func (a Addr) String() string { return string(a) }
