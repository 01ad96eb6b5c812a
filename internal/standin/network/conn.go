package network

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection. Its buffers are not bounded.
type Conn struct {
	address Addr
	in, out *stream
	once    sync.Once
	closed  func()
}

// Pipe connects two ends.
func Pipe(address string) (dialer, accepter *Conn) {
	a, b := newStream(), newStream()
	dialer = &Conn{address: Addr(address), in: a, out: b}
	accepter = &Conn{address: Addr(address), in: b, out: a}
	return dialer, accepter
}

// Read receives bytes.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write sends bytes; it never blocks.
func (c *Conn) Write(p []byte) (int, error) { return c.out.write(p) }

// CloseWrite ends the own direction.
func (c *Conn) CloseWrite() error {
	c.out.end()
	return nil
}

// Close ends both directions.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.out.end()
		c.in.leave()
		if c.closed != nil {
			c.closed()
		}
	})
	return nil
}

// Reset breaks the connection: what was sent and not yet read may be read, then comes an error in place of the end.
func (c *Conn) Reset() {
	c.out.reset()
	_ = c.Close()
}

// ResetOnWrite resets the connection as soon as the other end sends something more; until then it notices nothing.
func (c *Conn) ResetOnWrite() {
	c.in.forget(c.out)
}

// Stall makes both directions lose all that is sent from now on, the end of the stream included.
func (c *Conn) Stall() {
	c.in.silence()
	c.out.silence()
}

// LocalAddr is the listener's address.
func (c *Conn) LocalAddr() net.Addr { return c.address }

// RemoteAddr is the listener's address.
func (c *Conn) RemoteAddr() net.Addr { return c.address }

// SetDeadline bounds reads.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, as writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection.
type stream struct {
	mu       sync.Mutex
	changed  sync.Cond
	buffer   []byte
	ended    bool // by the writer
	left     bool // by the reader
	silent   bool
	broken   bool
	back     *stream // the other direction of a connection that was forgotten
	deadline time.Time
	timer    *time.Timer
}

func newStream() *stream {
	s := &stream{}
	s.changed.L = &s.mu
	return s
}

func (s *stream) read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.left:
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.buffer) > 0:
			n := copy(p, s.buffer)
			s.buffer = s.buffer[n:]
			return n, nil
		case s.broken:
			return 0, syscall.ECONNRESET
		case s.ended:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.back != nil:
		s.back.reset()
		return len(p), nil
	case s.silent:
		return len(p), nil
	case s.ended:
		return 0, net.ErrClosed
	case s.left:
		return 0, syscall.EPIPE
	}
	s.buffer = append(s.buffer, p...)
	s.changed.Broadcast()
	return len(p), nil
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = !s.silent
	s.changed.Broadcast()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = !s.silent
	s.changed.Broadcast()
}

func (s *stream) forget(back *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = back
}

func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.changed.Broadcast()
}

func (s *stream) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
	}
	if left := time.Until(t); !t.IsZero() && left > 0 {
		s.timer = time.AfterFunc(left, s.changed.Broadcast)
	}
	s.changed.Broadcast()
}
