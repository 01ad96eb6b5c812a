package connection

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// LingerTimeout is how long a closed connection may still be counted by an upstream that does
	// not confirm the close. It exceeds the time after which the upstream's own keep-alive,
	// set as package socket sets it, gives the connection up.
	LingerTimeout = 30 * time.Second
	// maxLateBytes bounds what is read and dropped after the close.
	maxLateBytes = 8 << 20
)

// past is a deadline that ends a blocked read or write at once.
var past = time.Unix(1, 0)

// stream counts the bytes of one connection and closes it in two steps: first its own
// direction, then, when the upstream has closed the other one, the whole.
type stream struct {
	net.Conn
	gone func()
	lost func()

	mu       sync.Mutex
	changed  sync.Cond
	reading  bool
	writing  bool
	sealed   bool
	closed   bool
	sent     int64
	received int64
	sentAt   int64 // value of sent at the last mark
	recvAt   int64 // value of received at the last mark
}

func newStream(raw net.Conn, gone, lost func()) *stream {
	s := &stream{Conn: raw, gone: gone, lost: lost}
	s.changed.L = &s.mu
	return s
}

// Write sends p unless the stream is sealed or closed.
func (s *stream) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.sealed || s.closed {
		s.mu.Unlock()
		return 0, net.ErrClosed
	}
	s.writing = true
	s.mu.Unlock()
	n, err := s.Conn.Write(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	s.sent += int64(n)
	s.changed.Broadcast()
	return n, err
}

// Read receives into p unless the stream is closed.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return 0, net.ErrClosed
	}
	s.reading = true
	s.mu.Unlock()
	n, err := s.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !s.closed && !s.sealed {
		go s.lost()
	}
	s.reading = false
	s.received += int64(n)
	s.changed.Broadcast()
	return n, err
}

// Close begins the close and returns at once.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	go s.linger()
	return nil
}

func (s *stream) mark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt, s.recvAt = s.sent, s.received
}

func (s *stream) receivedSinceMark() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received - s.recvAt
}

// seal ends a write that is under way, so that the count of sent bytes is final.
func (s *stream) seal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sealed = true
	for s.writing {
		_ = s.SetWriteDeadline(past)
		s.changed.Wait()
	}
	return s.sent > s.sentAt
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// linger calls gone when the upstream has closed its end, else after LingerTimeout.
func (s *stream) linger() {
	end := time.Now().Add(LingerTimeout)
	s.stopUse()
	confirmed := s.finish(end)
	_ = s.Conn.Close()
	if !confirmed {
		time.Sleep(time.Until(end))
	}
	s.gone()
}

// stopUse ends the reads and writes that are under way.
func (s *stream) stopUse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.reading || s.writing {
		_ = s.SetDeadline(past)
		s.changed.Wait()
	}
}

// finish closes the own direction and reports whether the upstream closed the other one before end.
func (s *stream) finish(end time.Time) bool {
	half, ok := s.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	if err := half.CloseWrite(); err != nil {
		return isReset(err)
	}
	_ = s.SetDeadline(end)
	n, err := io.Copy(io.Discard, io.LimitReader(s.Conn, maxLateBytes))
	if err != nil {
		return isReset(err)
	}
	return n < maxLateBytes
}

// isReset tells whether the upstream itself broke the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN)
}
