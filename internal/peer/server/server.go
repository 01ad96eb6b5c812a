// Package server accepts connections from other instances and runs their calls, which relay attempts and orders, manage
// tickets, and synchronize the configuration and the member list. It grants each connection credit, which limits the
// number and size of its calls in flight, so that their memory is bounded.
package server

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"crocuswing/internal/network/socket"
	"crocuswing/internal/peer/handshake"
)

const (
	defaultMaxConnections = 4096
	minWindow             = 16        // units of credit that every connection gets at least
	maxWindow             = 4096      // maximum units of credit for one connection
	surplusDivisor        = 16        // a connection gets at most 1/surplusDivisor of the remaining surplus
	totalCredit           = 128 << 10 // units of credit for all connections, about 128 MiB
	handshakeTimeout      = time.Second
	leaveGrace            = time.Second // for peers to close their connections after the last reply
)

// Handler runs calls of one method. body is the msgpack-encoded request. A returned error refuses the call and asserts
// that no part of it ran.
type Handler func(ctx context.Context, body []byte) (any, error)

// Server serves calls on all connections of one listener.
type Server struct {
	handlers       map[string]Handler
	revision       func() uint64
	onRevision     func(revision uint64)
	onError        func(peer string, err error)
	maxConnections int

	mu          sync.Mutex
	listener    net.Listener
	sessions    map[*session]struct{}
	surplus     int64          // unassigned credit beyond minWindow for each possible connection
	activeCalls sync.WaitGroup // calls whose reply is not written yet
	goroutines  sync.WaitGroup // goroutines of the sessions
	leaving     bool
}

// Option configures a Server.
type Option func(*Server)

// WithMaxConnections sets the maximum number of connections. Further ones are refused.
func WithMaxConnections(connections int) Option {
	return func(s *Server) { s.maxConnections = connections }
}

// WithErrorHandler sets the function that is called for each connection that failed. err is *frame.Error or
// *handshake.Error if the peer violated the protocol.
func WithErrorHandler(onError func(peer string, err error)) Option {
	return func(s *Server) { s.onError = onError }
}

// New returns a Server that runs calls with the handlers, which are keyed by method name. revision returns the
// configuration revision to send with each frame, and onRevision is called with the revision of each received frame.
func New(handlers map[string]Handler, revision func() uint64, onRevision func(uint64), options ...Option) *Server {
	s := &Server{
		handlers:       handlers,
		revision:       revision,
		onRevision:     onRevision,
		onError:        func(string, error) {},
		maxConnections: defaultMaxConnections,
		sessions:       make(map[*session]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.surplus = max(0, totalCredit-int64(s.maxConnections)*minWindow)
	return s
}

// Serve accepts connections on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !s.startSession(raw) {
			_ = raw.Close()
		}
	}
}

// Shutdown announces the shutdown to all peers, refuses further calls, waits until the calls in flight have completed
// and their replies are written or ctx is done, and closes all connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.beginShutdown()
	if waitFor(ctx, &s.activeCalls) {
		grace, cancel := context.WithTimeout(ctx, leaveGrace)
		defer cancel()
		waitFor(grace, &s.goroutines)
	}
	s.mu.Lock()
	for c := range s.sessions {
		c.close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) beginShutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.sessions {
		c.announceLeaving()
	}
}

// waitFor waits for group until ctx is done and reports whether group finished first.
func waitFor(ctx context.Context, group *sync.WaitGroup) bool {
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	}
}

// startSession starts to serve a new connection. It returns false if the server is shutting down.
func (s *Server) startSession(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	c := newSession(s, raw)
	status := handshake.StatusAccepted
	if len(s.sessions) >= s.maxConnections {
		status = handshake.StatusTooManyConnections
	} else {
		c.window = s.allocateWindow()
		s.sessions[c] = struct{}{}
	}
	s.goroutines.Go(func() { s.serveSession(c, status) })
	return true
}

// allocateWindow returns the credit for a new connection: minWindow plus a share of the remaining surplus. Early
// connections get more than later ones, but each gets at least minWindow.
func (s *Server) allocateWindow() int64 {
	extra := min(s.surplus/surplusDivisor, maxWindow-minWindow)
	s.surplus -= extra
	return minWindow + extra
}

func (s *Server) serveSession(c *session, status handshake.Status) {
	_ = socket.SetUserTimeout(c.raw)
	_ = c.raw.SetDeadline(time.Now().Add(handshakeTimeout))
	_, err := handshake.Accept(c.raw, status)
	if err == nil {
		_ = c.raw.SetDeadline(time.Time{})
		err = c.run()
	}
	c.close()
	s.removeSession(c)
	if err != nil {
		s.onError(c.raw.RemoteAddr().String(), err)
	}
}

func (s *Server) removeSession(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sessions[c]; ok {
		delete(s.sessions, c)
		s.surplus += c.window - minWindow
	}
}

// beginCall registers a call that Shutdown waits for. It returns false if the server is shutting down.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.activeCalls.Add(1)
	return true
}
