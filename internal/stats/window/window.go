// Package window estimates quantiles of the most recent durations. Hedge delays are derived from them.
package window

import (
	"slices"
	"sync"
	"time"
)

const (
	size         = 1024 // samples
	sortInterval = 64   // additions between two sorts
)

// Window keeps the last 1024 durations. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	samples []time.Duration
	next    int
	added   int
	sorted  []time.Duration
}

// Add records one duration.
func (w *Window) Add(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.samples) < size {
		w.samples = append(w.samples, d)
	} else {
		w.samples[w.next] = d
	}
	w.next = (w.next + 1) % size
	w.added++
}

// Quantile returns the q-quantile, 0 < q < 1, of the recent durations. The samples are sorted at most
// every 64 additions, so the result may not reflect the latest ones. It returns false while there are fewer than 16 samples.
func (w *Window) Quantile(q float64) (time.Duration, bool) {
	const minSamples = 16
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.samples) < minSamples {
		return 0, false
	}
	if w.sorted == nil || w.added >= sortInterval {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.added = 0
	}
	return w.sorted[int(q*float64(len(w.sorted)))], true
}
