// Package negativecache holds the snapshots that queries recently found absent, that is, not served by an
// upstream that should hold them. Later queries use another snapshot if there is one.
package negativecache

import (
	"slices"
	"sync"
	"time"
)

// ttl is how long queries skip an absent snapshot before they request it again.
const ttl = time.Second

// Cache holds the absent snapshots of each service. It is safe for concurrent use.
type Cache struct {
	mu      sync.Mutex
	entries map[string][]entry
}

type entry struct {
	snapshot string
	expiry   time.Time
}

// New returns an empty cache.
func New() *Cache { return &Cache{entries: make(map[string][]entry)} }

// Add records that the snapshot was absent at now.
func (c *Cache) Add(service, snapshot string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(service, now)
	kept := slices.DeleteFunc(c.entries[service], func(e entry) bool { return e.snapshot == snapshot })
	c.entries[service] = append(kept, entry{snapshot: snapshot, expiry: now.Add(ttl)})
}

// Snapshots returns the snapshots of a service that were absent within the last second.
func (c *Cache) Snapshots(service string, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(service, now)
	var names []string
	for _, e := range c.entries[service] {
		names = append(names, e.snapshot)
	}
	return names
}

func (c *Cache) expire(service string, now time.Time) {
	if len(c.entries[service]) == 0 {
		return
	}
	c.entries[service] = slices.DeleteFunc(c.entries[service], func(e entry) bool { return !now.Before(e.expiry) })
	if len(c.entries[service]) == 0 {
		delete(c.entries, service)
	}
}
