package logwriter

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	released chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestNeverBlocks writes far more than anybody reads.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{released: make(chan struct{})}
		s := New(w)
		start := time.Now()
		for range 10 * queued {
			n, err := s.Write([]byte("{}\n"))
			require.NoError(t, err)
			require.Equal(t, 3, n)
		}
		require.Equal(t, start, time.Now())
		close(w.released)
		synctest.Wait()
		_, err := s.Write([]byte("{\"last\":1}\n"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = s.Write([]byte("{\"later\":1}\n"))
		require.NoError(t, err)
		s.Close(time.Second)
		text := w.buf.String()
		require.LessOrEqual(t, strings.Count(text, "{}"), burstLines)
		require.Contains(t, text, "log lines left out")
		require.Contains(t, text, "later")
	})
}

// TestRate bounds the volume of a long flood.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{released: make(chan struct{})}
		close(w.released)
		s := New(w)
		const seconds = 20
		for range seconds * 1000 {
			for range 5 {
				_, _ = s.Write([]byte("{}\n"))
			}
			time.Sleep(time.Millisecond)
		}
		s.Close(time.Second)
		require.LessOrEqual(t, strings.Count(w.buf.String(), "{}"), burstLines+seconds*int(linesPerSecond))
	})
}

func TestCloseDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stuck{released: make(chan struct{})}
		s := New(w)
		_, _ = s.Write([]byte("{}\n"))
		start := time.Now()
		s.Close(200 * time.Millisecond)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		_, err := s.Write([]byte("{}\n"))
		require.NoError(t, err)
		close(w.released)
	})
}
