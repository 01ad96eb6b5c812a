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

// blockedWriter blocks all writes until released is closed.
type blockedWriter struct {
	mu       sync.Mutex
	buf      bytes.Buffer
	released chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// TestNeverBlocks writes far more lines than the queue holds while the log consumer is blocked.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{released: make(chan struct{})}
		w := New(out)
		start := time.Now()
		for range 10 * queueCapacity {
			n, err := w.Write([]byte("{}\n"))
			require.NoError(t, err)
			require.Equal(t, 3, n)
		}
		require.Equal(t, start, time.Now())
		close(out.released)
		synctest.Wait()
		_, err := w.Write([]byte("{\"last\":1}\n"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = w.Write([]byte("{\"later\":1}\n"))
		require.NoError(t, err)
		w.Close(time.Second)
		text := out.buf.String()
		require.LessOrEqual(t, strings.Count(text, "{}"), burstLines)
		require.Contains(t, text, "log lines left out")
		require.Contains(t, text, "later")
	})
}

// TestRate checks that the volume of a sustained flood of lines is limited.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{released: make(chan struct{})}
		close(out.released)
		w := New(out)
		const seconds = 20
		for range seconds * 1000 {
			for range 5 {
				_, _ = w.Write([]byte("{}\n"))
			}
			time.Sleep(time.Millisecond)
		}
		w.Close(time.Second)
		require.LessOrEqual(t, strings.Count(out.buf.String(), "{}"), burstLines+seconds*int(linesPerSecond))
	})
}

// TestCloseTimeout checks that Close returns after its timeout although the log consumer is blocked.
func TestCloseTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{released: make(chan struct{})}
		w := New(out)
		_, _ = w.Write([]byte("{}\n"))
		start := time.Now()
		w.Close(200 * time.Millisecond)
		require.Equal(t, 200*time.Millisecond, time.Since(start))
		_, err := w.Write([]byte("{}\n"))
		require.NoError(t, err)
		close(out.released)
	})
}
