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
	// LingerTimeout is how long a closed connection counts against the upstream's limit if the upstream does not confirm
	// the close. It exceeds the time after which the upstream's own TCP keep-alive, configured as in package socket, drops
	// the connection.
	LingerTimeout = 30 * time.Second
	// maxDiscardBytes limits the data that is read and discarded after the close.
	maxDiscardBytes = 256 << 10
)

// past is a deadline that unblocks a pending read or write at once.
var past = time.Unix(1, 0)

// stream counts the bytes of a connection and closes it in two steps: first the write side, then, once the upstream has
// closed its end, the whole connection.
type stream struct {
	net.Conn
	onReleased func()
	onLost     func()

	mu             sync.Mutex
	changed        sync.Cond
	reading        bool
	writing        bool
	writingStopped bool
	closed         bool
	sent           int64
	received       int64
	sentMark       int64 // value of sent at the last call of mark
	receivedMark   int64 // value of received at the last call of mark
}

func newStream(raw net.Conn, onReleased, onLost func()) *stream {
	s := &stream{Conn: raw, onReleased: onReleased, onLost: onLost}
	s.changed.L = &s.mu
	return s
}

// Write sends p unless writing was stopped or the stream is closed.
func (s *stream) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.writingStopped || s.closed {
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
	if err != nil && !s.closed && !s.writingStopped {
		go s.onLost()
	}
	s.reading = false
	s.received += int64(n)
	s.changed.Broadcast()
	return n, err
}

// Close starts the close in the background and returns at once.
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
	s.sentMark, s.receivedMark = s.sent, s.received
}

func (s *stream) receivedSinceMark() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received - s.receivedMark
}

// stopWriting interrupts a write in progress, so that the count of sent bytes is final, and reports whether any byte was sent
// since the last call of mark.
func (s *stream) stopWriting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writingStopped = true
	for s.writing {
		_ = s.SetWriteDeadline(past)
		s.changed.Wait()
	}
	return s.sent > s.sentMark
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// linger completes the close. It calls onReleased once the upstream has closed its end, or else after LingerTimeout.
func (s *stream) linger() {
	end := time.Now().Add(LingerTimeout)
	s.interruptIO()
	confirmed := s.awaitUpstreamClose(end)
	_ = s.Conn.Close()
	if !confirmed {
		time.Sleep(time.Until(end))
	}
	s.onReleased()
}

// interruptIO interrupts the read and the write in progress and waits for them to return.
func (s *stream) interruptIO() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.reading || s.writing {
		_ = s.SetDeadline(past)
		s.changed.Wait()
	}
}

// awaitUpstreamClose closes the write side and reports whether the upstream closed its end before the given time.
func (s *stream) awaitUpstreamClose(end time.Time) bool {
	half, ok := s.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	if err := half.CloseWrite(); err != nil {
		return isReset(err)
	}
	_ = s.SetDeadline(end)
	n, err := io.Copy(io.Discard, io.LimitReader(s.Conn, maxDiscardBytes))
	if err != nil {
		return isReset(err)
	}
	return n < maxDiscardBytes
}

// isReset reports whether err shows that the upstream reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ENOTCONN)
}
