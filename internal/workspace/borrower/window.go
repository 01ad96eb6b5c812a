package borrower

import "time"

// parts is the number of parts into which a window is divided. The counts of one more part are kept, so that those of any whole window are.
const parts = 4

// window counts events in a sliding window, at most a part too long.
type window struct {
	counts  [parts + 1]int
	current int
	start   time.Time // of the current part
}

// take counts an event and returns true if there are at most limit ones in the window with it.
func (w *window) take(now time.Time, length time.Duration, limit int) bool {
	part := max(1, length/parts)
	switch elapsed := now.Sub(w.start); {
	case w.start.IsZero() || elapsed >= (parts+1)*part:
		*w = window{start: now}
	default:
		for ; elapsed >= part; elapsed -= part {
			w.start = w.start.Add(part)
			w.current = (w.current + 1) % len(w.counts)
			w.counts[w.current] = 0
		}
	}
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	if sum >= limit {
		return false
	}
	w.counts[w.current]++
	return true
}
