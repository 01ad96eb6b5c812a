// Package logwriter writes log lines in the background, so that no request waits for the reader of the log.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queued lines are a second's worth of a busy instance.
	queued = 2048
	// burstLines and linesPerSecond bound the volume: a line for each request at the highest rate of one instance.
	burstLines     = 2000
	linesPerSecond = 500.0
)

// Writer is a writer that never blocks. It drops lines above its rate and says how many.
type Writer struct {
	w     io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	tokens  float64
	filled  time.Time
	dropped int
}

// New makes a stream to w.
func New(w io.Writer) *Writer {
	s := &Writer{w: w, lines: make(chan []byte, queued), done: make(chan struct{}), tokens: burstLines, filled: time.Now()}
	go s.write()
	return s
}

// Write queues one line. It never fails.
func (s *Writer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	now := time.Now()
	s.tokens = min(burstLines, s.tokens+linesPerSecond*now.Sub(s.filled).Seconds())
	s.filled = now
	if s.tokens < 1 {
		s.dropped++
		return len(line), nil
	}
	text := append([]byte(nil), line...)
	if s.dropped > 0 {
		text = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", s.dropped), text...)
	}
	select {
	case s.lines <- text:
		s.tokens--
		s.dropped = 0
	default:
		s.dropped++
	}
	return len(line), nil
}

// Close writes what is queued, for at most the given time.
func (s *Writer) Close(wait time.Duration) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}

func (s *Writer) write() {
	defer close(s.done)
	for text := range s.lines {
		if _, err := s.w.Write(text); err != nil {
			return // nobody reads the log any more
		}
	}
}
