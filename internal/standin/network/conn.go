package network

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection. Its buffers are unbounded.
type Conn struct {
	address Addr
	in, out *stream
	once    sync.Once
	onClose func()
}

// Pipe returns the two ends of a new connection to address.
func Pipe(address string) (dialer, accepter *Conn) {
	a, b := newStream(), newStream()
	dialer = &Conn{address: Addr(address), in: a, out: b}
	accepter = &Conn{address: Addr(address), in: b, out: a}
	return dialer, accepter
}

// Read reads bytes that the other end wrote.
func (c *Conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write sends bytes to the other end. It never blocks.
func (c *Conn) Write(p []byte) (int, error) { return c.out.write(p) }

// CloseWrite closes the direction to the other end, which then reads io.EOF.
func (c *Conn) CloseWrite() error {
	c.out.closeWrite()
	return nil
}

// Close closes both directions.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.out.closeWrite()
		c.in.closeRead()
		if c.onClose != nil {
			c.onClose()
		}
	})
	return nil
}

// Reset resets the connection. The other end can still read what was sent before, then its reads fail with ECONNRESET.
func (c *Conn) Reset() {
	c.out.reset()
	_ = c.Close()
}

// ResetOnWrite resets the connection at the next write of the other end, which notices nothing until then. It simulates a peer
// that has lost the state of the connection.
func (c *Conn) ResetOnWrite() {
	c.in.setResetOnWrite(c.out)
}

// Stall discards everything that is sent from now on in both directions, including the end of the stream.
func (c *Conn) Stall() {
	c.in.stall()
	c.out.stall()
}

// LocalAddr returns the listener's address.
func (c *Conn) LocalAddr() net.Addr { return c.address }

// RemoteAddr returns the listener's address.
func (c *Conn) RemoteAddr() net.Addr { return c.address }

// SetDeadline sets the read deadline. There is no write deadline, as writes never block.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline sets the time after which reads fail.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(t)
	return nil
}

// SetWriteDeadline does nothing, as writes never block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// stream is one direction of a connection. Once it is stalled, it discards what is written, and its end and a reset are not
// delivered either.
type stream struct {
	mu           sync.Mutex
	changed      sync.Cond
	buffer       []byte
	writeClosed  bool // closed by the writing end
	readClosed   bool // closed by the reading end
	stalled      bool
	wasReset     bool
	resetOnWrite *stream // stream to reset on the next write; nil for none
	deadline     time.Time
	timer        *time.Timer
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
		case s.readClosed:
			return 0, net.ErrClosed
		case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(s.buffer) > 0:
			n := copy(p, s.buffer)
			s.buffer = s.buffer[n:]
			return n, nil
		case s.wasReset:
			return 0, syscall.ECONNRESET
		case s.writeClosed:
			return 0, io.EOF
		}
		s.changed.Wait()
	}
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.resetOnWrite != nil:
		s.resetOnWrite.reset()
		return len(p), nil
	case s.stalled:
		return len(p), nil
	case s.writeClosed:
		return 0, net.ErrClosed
	case s.readClosed:
		return 0, syscall.EPIPE
	}
	s.buffer = append(s.buffer, p...)
	s.changed.Broadcast()
	return len(p), nil
}

func (s *stream) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeClosed = !s.stalled
	s.changed.Broadcast()
}

func (s *stream) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wasReset = !s.stalled
	s.changed.Broadcast()
}

func (s *stream) setResetOnWrite(reverse *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetOnWrite = reverse
}

func (s *stream) closeRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readClosed = true
	if s.timer != nil {
		s.timer.Stop()
	}
	s.changed.Broadcast()
}

func (s *stream) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = true
}

func (s *stream) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	if s.timer != nil {
		s.timer.Stop()
	}
	if remaining := time.Until(t); !t.IsZero() && remaining > 0 {
		s.timer = time.AfterFunc(remaining, s.changed.Broadcast)
	}
	s.changed.Broadcast()
}
