// Package negativecache remembers which snapshots the upstreams were found not to serve.
package negativecache

import (
	"slices"
	"sync"
	"time"
)

// period is the time after which an absent snapshot is tried again.
const period = time.Second

// Cache holds the absent snapshots by service. It is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	absent map[string][]entry
}

type entry struct {
	snapshot string
	until    time.Time
}

// New makes a cache that knows of none.
func New() *Cache { return &Cache{absent: make(map[string][]entry)} }

// Add records that the snapshot was found absent at now.
func (a *Cache) Add(service, snapshot string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(service, now)
	others := slices.DeleteFunc(a.absent[service], func(e entry) bool { return e.snapshot == snapshot })
	a.absent[service] = append(others, entry{snapshot: snapshot, until: now.Add(period)})
}

// Snapshots gives the snapshots of a service that were found absent within the last second.
func (a *Cache) Snapshots(service string, now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(service, now)
	var names []string
	for _, e := range a.absent[service] {
		names = append(names, e.snapshot)
	}
	return names
}

func (a *Cache) expire(service string, now time.Time) {
	if len(a.absent[service]) == 0 {
		return
	}
	a.absent[service] = slices.DeleteFunc(a.absent[service], func(e entry) bool { return !now.Before(e.until) })
	if len(a.absent[service]) == 0 {
		delete(a.absent, service)
	}
}
