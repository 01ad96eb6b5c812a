package catalog

import "crocuswing/internal/upstream/link"

// LinkStats returns the sum of the statistics of the links to all present upstreams.
func (c *Catalog) LinkStats() link.Stats {
	var sum link.Stats
	for _, cl := range c.Clusters() {
		for _, r := range cl.Replicas() {
			sum = sum.Add(r.Link().Stats())
		}
	}
	return sum
}
