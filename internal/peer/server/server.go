// Package server answers the calls of other instances.
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
	maxConnections   = 4096
	minWindow        = 16        // units of credit for every connection
	maxWindow        = 4096      // units for one connection
	surplusShare     = 16        // a connection gets at most this part of what is left
	totalCredit      = 128 << 10 // units for all connections, about 128 MiB
	handshakeTimeout = time.Second
	leaveGrace       = time.Second // for peers to close after the last reply
)

// Handler answers one kind of call; body is its msgpack message. An error refuses the call:
// it states that nothing of it ran.
type Handler func(ctx context.Context, body []byte) (any, error)

// Server answers calls on all connections of one listener.
type Server struct {
	methods  map[string]Handler
	revision func() uint64
	heard    func(revision uint64)
	broken   func(peer string, err error)
	limit    int

	mu       sync.Mutex
	listener net.Listener
	sessions map[*session]struct{}
	surplus  int64 // credit beyond the least window of each possible connection
	calls    sync.WaitGroup
	running  sync.WaitGroup
	leaving  bool
}

// Option changes how a server is made.
type Option func(*Server)

// WithMaxConnections sets the highest number of connections; further ones are refused.
func WithMaxConnections(connections int) Option {
	return func(s *Server) { s.limit = connections }
}

// WithErrorHandler tells broken of each connection that ended by a fault, with *frame.Error or
// *handshake.Error where the peer broke the protocol.
func WithErrorHandler(broken func(peer string, err error)) Option {
	return func(s *Server) { s.broken = broken }
}

// New makes a server. revision gives the revision that frames carry, heard is told that of each frame.
func New(methods map[string]Handler, revision func() uint64, heard func(uint64), options ...Option) *Server {
	s := &Server{
		methods:  methods,
		revision: revision,
		heard:    heard,
		broken:   func(string, error) {},
		limit:    maxConnections,
		sessions: make(map[*session]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.surplus = max(0, totalCredit-int64(s.limit)*minWindow)
	return s
}

// Serve accepts connections until Shutdown.
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
		if !s.start(raw) {
			_ = raw.Close()
		}
	}
}

// Shutdown announces the stop to all peers, refuses further calls, lets those in flight finish and
// be answered until ctx ends, and closes all connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.leave()
	if waitFor(ctx, &s.calls) {
		grace, cancel := context.WithTimeout(ctx, leaveGrace)
		defer cancel()
		waitFor(grace, &s.running)
	}
	s.mu.Lock()
	for c := range s.sessions {
		c.close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) leave() {
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

// waitFor reports whether group ended before ctx.
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

// start serves a new connection, unless the server stops.
func (s *Server) start(raw net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	c := newSession(s, raw)
	status := handshake.StatusAccepted
	if len(s.sessions) >= s.limit {
		status = handshake.StatusTooManyConnections
	} else {
		c.window = s.window()
		s.sessions[c] = struct{}{}
	}
	s.running.Go(func() { s.serve(c, status) })
	return true
}

// window shares the credit out: the first connections get more, every one its least.
func (s *Server) window() int64 {
	extra := min(s.surplus/surplusShare, maxWindow-minWindow)
	s.surplus -= extra
	return minWindow + extra
}

func (s *Server) serve(c *session, status handshake.Status) {
	_ = socket.SetUserTimeout(c.raw)
	_ = c.raw.SetDeadline(time.Now().Add(handshakeTimeout))
	_, err := handshake.Accept(c.raw, status)
	if err == nil {
		_ = c.raw.SetDeadline(time.Time{})
		err = c.run()
	}
	c.close()
	s.remove(c)
	if err != nil {
		s.broken(c.raw.RemoteAddr().String(), err)
	}
}

func (s *Server) remove(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sessions[c]; ok {
		delete(s.sessions, c)
		s.surplus += c.window - minWindow
	}
}

// admit counts a call that Shutdown waits for, unless the server is leaving.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return false
	}
	s.calls.Add(1)
	return true
}
