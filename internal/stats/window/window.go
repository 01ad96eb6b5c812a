// Package window keeps the most recent durations and gives their quantiles.
package window

import (
	"slices"
	"sync"
	"time"
)

const (
	size      = 1024
	sortEvery = 64
)

// Window keeps the last 1024 durations. It is safe for concurrent use.
type Window struct {
	mu     sync.Mutex
	recent []time.Duration
	next   int
	added  int
	sorted []time.Duration
}

// Add records one duration.
func (w *Window) Add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.recent) < size {
		w.recent = append(w.recent, d)
	} else {
		w.recent[w.next] = d
	}
	w.next = (w.next + 1) % size
	w.added++
}

// Quantile gives the q-quantile, 0 < q < 1, of the recent durations, at most 64 additions old,
// and false while fewer than 16 were recorded.
func (w *Window) Quantile(q float64) (time.Duration, bool) {
	const least = 16
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.recent) < least {
		return 0, false
	}
	if w.sorted == nil || w.added >= sortEvery {
		w.sorted = append(w.sorted[:0], w.recent...)
		slices.Sort(w.sorted)
		w.added = 0
	}
	return w.sorted[int(q*float64(len(w.sorted)))], true
}
