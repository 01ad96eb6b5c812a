// Package logwriter writes log lines in the background, so that a slow log consumer does not delay requests.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueCapacity is the maximum number of queued lines, about one second of output of a busy instance.
	queueCapacity = 2048
	// burstLines and linesPerSecond limit the volume to one line per request at the highest rate of one instance.
	burstLines     = 2000
	linesPerSecond = 500.0
)

// Writer is an io.Writer that never blocks. It drops lines that exceed its rate or its queue and logs how many it dropped.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	dropped    int
}

// New returns a Writer that writes to out until it is closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{}), tokens: burstLines, refilledAt: time.Now()}
	go w.run()
	return w
}

// Write queues one line, or drops it. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.tokens < 1 {
		w.dropped++
		return len(line), nil
	}
	text := append([]byte(nil), line...)
	if w.dropped > 0 {
		text = append(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines left out\",\"lines\":%d}\n", w.dropped), text...)
	}
	select {
	case w.lines <- text:
		w.tokens--
		w.dropped = 0
	default:
		w.dropped++
	}
	return len(line), nil
}

// Close waits until the queued lines are written, but no longer than timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for text := range w.lines {
		if _, err := w.out.Write(text); err != nil {
			return // the log consumer is gone
		}
	}
}
