// Package server answers the calls of other instances.
package server

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"crocuswing/internal/peer/frame"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	queueLength  = 256
	maxCalls     = 1024 // calls in flight per connection
	defaultLimit = 10 * time.Second
)

// Method answers one kind of call; body is its msgpack message. An error refuses the call:
// it states that nothing of it ran.
type Method func(ctx context.Context, body []byte) (any, error)

// Server answers calls on all connections of one listener.
type Server struct {
	methods  map[string]Method
	revision func() uint64
	heard    func(revision uint64)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	calls    sync.WaitGroup
	running  sync.WaitGroup
	closed   bool
}

// New makes a server. revision gives the revision that frames carry, heard is told that of each call.
func New(methods map[string]Method, revision func() uint64, heard func(uint64)) *Server {
	return &Server{methods: methods, revision: revision, heard: heard, conns: make(map[net.Conn]bool)}
}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !s.add(conn) {
			_ = conn.Close()
			return nil
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

// Shutdown stops accepting, waits for the calls in flight until ctx ends and closes all connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	s.closeAll()
	s.running.Wait()
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// serve reads calls from one connection; a malformed frame closes it.
func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := make(chan outgoing, queueLength)
	go s.write(ctx, conn, out)
	slots := make(chan struct{}, maxCalls)
	r := bufio.NewReader(conn)
	for {
		f, err := frame.Read(r)
		if err != nil {
			return
		}
		s.heard(f.Revision)
		slots <- struct{}{}
		s.calls.Go(func() {
			defer func() { <-slots }()
			s.answer(ctx, f, out)
		})
	}
}

// outgoing is a reply on its way; written is closed when it has left the process.
type outgoing struct {
	frame.Frame
	written chan struct{}
}

// answer returns when the reply is written, so that Shutdown cuts off none.
func (s *Server) answer(ctx context.Context, f frame.Frame, out chan<- outgoing) {
	limit := defaultLimit
	if f.LeftMS > 0 {
		limit = time.Duration(f.LeftMS) * time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply := outgoing{written: make(chan struct{})}
	reply.Frame = s.reply(callCtx, f)
	select {
	case out <- reply:
	case <-ctx.Done():
		return
	}
	select {
	case <-reply.written:
	case <-ctx.Done():
	}
}

func (s *Server) reply(ctx context.Context, f frame.Frame) frame.Frame {
	body, err := s.call(ctx, f)
	if err == nil {
		return frame.Frame{Kind: frame.KindReply, ID: f.ID, Revision: s.revision(), Body: body}
	}
	reason, _ := msgpack.Marshal(err.Error())
	return frame.Frame{Kind: frame.KindError, ID: f.ID, Revision: s.revision(), Body: reason}
}

func (s *Server) call(ctx context.Context, f frame.Frame) ([]byte, error) {
	method, ok := s.methods[f.Method]
	if !ok {
		return nil, errors.New("there is no method " + f.Method)
	}
	value, err := method(ctx, f.Body)
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(value)
}

// write sends replies in batches: it flushes when no further reply waits.
func (s *Server) write(ctx context.Context, conn net.Conn, out <-chan outgoing) {
	defer func() { _ = conn.Close() }()
	w := bufio.NewWriter(conn)
	var unflushed []outgoing
	for {
		select {
		case reply := <-out:
			unflushed = append(unflushed, reply)
			if frame.Write(w, reply.Frame) != nil {
				return
			}
			if len(out) > 0 {
				continue
			}
			if w.Flush() != nil {
				return
			}
			for _, r := range unflushed {
				close(r.written)
			}
			unflushed = unflushed[:0]
		case <-ctx.Done():
			return
		}
	}
}
