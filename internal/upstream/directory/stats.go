package directory

import "crocuswing/internal/upstream/link"

// LinkStats returns the sum of the statistics of all open links.
func (d *Directory) LinkStats() link.Stats {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var sum link.Stats
	for _, e := range d.entries {
		if l, ok := e.link.(*link.Link); ok {
			sum = sum.Add(l.Stats())
		}
	}
	return sum
}
