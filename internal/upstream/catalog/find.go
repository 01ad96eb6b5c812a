package catalog

import (
	"maps"
	"slices"

	"crocuswing/internal/upstream/cluster"
)

// Clusters returns the clusters of all services in use, by name.
func (c *Catalog) Clusters() []*cluster.Cluster {
	c.mu.Lock()
	defer c.mu.Unlock()
	clusters := make([]*cluster.Cluster, 0, len(c.clusters))
	for _, name := range slices.Sorted(maps.Keys(c.clusters)) {
		clusters = append(clusters, c.clusters[name])
	}
	return clusters
}

// Find returns the cluster of a service. Unlike Cluster it creates none.
func (c *Catalog) Find(service string) (*cluster.Cluster, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found, ok := c.clusters[service]
	return found, ok
}
